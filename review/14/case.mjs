/** Operators take a customer's quota down to zero and later back to what it was; its requests run without any limit from the first change on. */

import {
	BROKEN, HAS_TROUBLE, HELD, runCase, wait,
} from '../harness-3/harness.mjs';
import {
	computeLimit, findBusiestWindow, pressQuota, recordSeconds,
} from '../harness-3/quota.mjs';

const DATABASE = 'ledger';
const CUSTOMER = 'cafe';
const KEY = 'key-cafe';
const QUOTA = {rate: 81, burst: 81};
const ZERO = {rate: 0, burst: 0};
/** Time before the change, in milliseconds. */
const BEFORE_MS = 6000;
/** Time after which the new quota binds: `config_apply_ms`, and a window. */
const BINDS_AFTER_MS = 8000;
/** Time for which each quota is measured once it binds, in milliseconds: two windows. */
const MEASURED_MS = 10_000;

await runCase(import.meta.url, async ({record, start}) => {
	const configure = (platform, quota) => platform.configure([{name: CUSTOMER, keys: [KEY], ...quota}]);
	const {platform, fleet} = await start({databases: [DATABASE], customers: [{name: CUSTOMER, keys: [KEY], ...QUOTA}]}, 3);
	const startedAt = performance.now();
	record.add(`the fleet is ready; quota of ${CUSTOMER}: ${QUOTA.rate}/s, burst ${QUOTA.burst}`);
	let isOver = false;
	const {sent, ended} = pressQuota({
		fleet, databases: [DATABASE], key: KEY, callersEach: 4, pauseMs: 20, timeoutMs: 2000, isOver: () => isOver,
	});
	await wait(BEFORE_MS);

	/** Changes the quota, and returns whether more requests run in a window than it allows once it binds. */
	const isExceededAfter = async quota => {
		let changedAt = startedAt;
		if (HAS_TROUBLE) {
			configure(platform, quota);
			changedAt = performance.now();
			record.add(`the store has accepted the configuration with the quota ${quota.rate}/s, burst ${quota.burst}`);
		}

		await wait(BINDS_AFTER_MS + MEASURED_MS);
		const limit = computeLimit(HAS_TROUBLE ? quota : QUOTA);
		const {count} = findBusiestWindow(platform, CUSTOMER, sent, changedAt + (HAS_TROUBLE ? BINDS_AFTER_MS : 0));
		record.add(`busiest window of 5 s: ${count} requests sent and run, ${Math.floor(limit)} allowed`);
		return count > limit;
	};

	const isZeroExceeded = await isExceededAfter(ZERO);
	const isRestoredExceeded = await isExceededAfter(QUOTA);
	isOver = true;
	await ended;
	recordSeconds(record, platform, {
		customer: CUSTOMER, sent, from: startedAt, until: performance.now(),
	});
	return isZeroExceeded || isRestoredExceeded ? BROKEN : HELD;
});
