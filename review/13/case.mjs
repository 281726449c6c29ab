/** A key passes from one customer to another while a transaction of its client is open; the transaction goes on under the customer that no longer holds the key. */
/* eslint-disable no-await-in-loop -- callers send one statement after another */

import {
	BROKEN, getRouteNames, HAS_TROUBLE, HELD, openClient, runCase, UNUSABLE, wait,
} from '../harness-3/harness.mjs';

const DATABASE = 'ledger';
const ROUTE = getRouteNames(DATABASE).latest;
const FORMER = 'cafe';
const LATTER = 'depot';
const KEY = 'key-of-the-client';
const OTHER_KEY = 'key-of-depot';
const QUOTA = {rate: 81, burst: 81};
/** Time within which a configuration is in force, in milliseconds: `config_apply_ms`. */
const APPLY_MS = 3000;
/** Pause between the statements of the transaction, in milliseconds; below `tx_idle_ms`. */
const PAUSE_MS = 500;
/** Number of writes in the transaction; with its commit they are within the 12 statements that the pages allow. */
const WRITES = 10;

await runCase(import.meta.url, async ({record, start}) => {
	const before = [{name: FORMER, keys: [KEY], ...QUOTA}, {name: LATTER, keys: [OTHER_KEY], ...QUOTA}];
	const after = [{name: FORMER, keys: [], ...QUOTA}, {name: LATTER, keys: [OTHER_KEY, KEY], ...QUOTA}];
	const {platform, fleet} = await start({databases: [DATABASE], customers: before}, 3);
	record.add(`the fleet is ready; ${FORMER} holds ${KEY}`);
	const client = await openClient(fleet.vms[0].callerAddress, ROUTE, KEY);
	if (typeof client !== 'object') {
		return UNUSABLE;
	}

	const sentAt = new Map();
	const send = async (id, text) => {
		sentAt.set(id, performance.now());
		const answer = await client.query(id, text);
		record.add(`sent ${id} ${text}; answered ${answer ? answer.code ?? `COMPLETE ${answer.signature}` : 'nothing'}`);
		return answer;
	};

	await send('begin', 'BEGIN');
	const first = await send('write1', 'WRITE item1 data1');
	if (!first?.signature) {
		return UNUSABLE;
	}

	let changedAt = Number.POSITIVE_INFINITY;
	if (HAS_TROUBLE) {
		platform.configure(after);
		changedAt = performance.now();
		record.add(`the store has accepted the configuration in which ${LATTER} holds ${KEY}`);
	}

	for (let count = 2; count <= WRITES; count++) {
		await wait(PAUSE_MS);
		await send(`write${count}`, `WRITE item${count} data${count}`);
	}

	await send('commit', 'COMMIT');
	await send('single', 'WRITE item data');
	const runs = platform.groups.get(DATABASE).executedStatements.filter(({id}) => sentAt.has(id));
	for (const {id, customer, target} of runs) {
		record.add(`${target} ran ${id} for ${customer}, sent ${((sentAt.get(id) - changedAt) / 1000).toFixed(1)} s after the change`);
	}

	const isWrong = ({id, customer}) => sentAt.get(id) >= changedAt + APPLY_MS && customer !== LATTER;
	return runs.some(run => isWrong(run)) ? BROKEN : HELD;
});
