/** Callers that press beyond the quota of their customer, and the check of the rule on quotas. */
/* eslint-disable no-await-in-loop -- callers send one statement after another */

import {getRouteNames, openClient, wait} from './harness.mjs';

/** Bounds of the site file. */
const WINDOW_MS = 5000;
const TOLERANCE = 0.1;
const SLACK = 20;
const MS_PER_SECOND = 1000;
/** Pause of a caller after a refusal, and after a connection that could not be opened, in milliseconds. */
const RETRY_MS = 100;

/** Computes how many requests of a customer may run in one window. */
export const computeLimit = ({rate, burst}) => {
	const allowed = ((rate * WINDOW_MS) / MS_PER_SECOND) + burst;
	return (allowed * (1 + TOLERANCE)) + SLACK;
};

/** Sends reads on one session, one after another, until `isOver` tells otherwise; opens a new session when it ends. */
const runCaller = async ({address, route, key, name, pauseMs, timeoutMs, sent, isOver}) => {
	let client;
	let count = 0;
	while (!isOver()) {
		if (typeof client !== 'object' || client.isEnded()) {
			client = await openClient(address, route, key);
			if (typeof client !== 'object') {
				await wait(RETRY_MS);
				continue;
			}
		}

		count++;
		const id = `${name}-${count}`;
		sent.push({id, at: performance.now()});
		const answer = await client.query(id, `READ item${count}`, timeoutMs);
		await wait(answer?.signature ? pauseMs : Math.max(pauseMs, RETRY_MS / 2));
	}

	if (typeof client === 'object') {
		client[Symbol.dispose]();
	}
};

/** Starts callers of one customer at every vm and for every database; returns what was sent, and a promise of their end. */
export const pressQuota = ({fleet, databases, key, callersEach, pauseMs, timeoutMs, isOver}) => {
	const sent = [];
	const callers = fleet.vms.flatMap(vm => databases.flatMap(database => Array.from({length: callersEach}, async (_, index) => runCaller({
		address: vm.callerAddress, route: getRouteNames(database).bounded, key, name: `${vm.name}-${database}-${index}`, pauseMs, timeoutMs, sent, isOver,
	}))));
	return {sent, ended: Promise.all(callers)};
};

/** Finds the window in which most requests of a customer were both sent and run, from an instant on; the instants are of the monotonic clock of this process. */
export const findBusiestWindow = (platform, customer, sent, from) => {
	const sentAt = new Map(sent.map(({id, at}) => [id, at]));
	const runs = [...platform.groups.values()].flatMap(({executedStatements}) => executedStatements)
		.filter(run => run.customer === customer && sentAt.get(run.id) >= from)
		.map(({id, atMs}) => ({sentAt: sentAt.get(id), ranAt: atMs}))
		.toSorted((a, b) => a.ranAt - b.ranAt);
	let busiest = {count: 0, start: from};
	for (const {sentAt: start} of runs) {
		const count = runs.filter(run => run.sentAt >= start && run.ranAt <= start + WINDOW_MS).length;
		if (count > busiest.count) {
			busiest = {count, start};
		}
	}

	return busiest;
};

/** Records how many requests were sent and run in each second. */
export const recordSeconds = (record, platform, {customer, sent, from, until}) => {
	const runs = [...platform.groups.values()].flatMap(({executedStatements}) => executedStatements).filter(run => run.customer === customer);
	for (let start = from; start < until; start += MS_PER_SECOND) {
		const isInside = at => at >= start && at < start + MS_PER_SECOND;
		record.add(`second ${Math.round((start - from) / MS_PER_SECOND)}: ${sent.filter(({at}) => isInside(at)).length} sent, ${runs.filter(({atMs}) => isInside(atMs)).length} run`);
	}
};
