/* eslint-disable camelcase, no-await-in-loop -- fields of the configuration; a caller sends one message after the other */
/** A transaction that has only read is committed at a primary that was replaced meanwhile, while replicas fall behind; reads must still have every commit that is older than the bound. */

import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {getRouteNames} from '../../platform/dist/tests/standin/platform.js';
import {
	createRecord, HAS_TROUBLE, runCase, sleep,
} from '../harness-2/system.mjs';

const DATABASE = 'motions';
const ROUTES = getRouteNames(DATABASE);
const KEY = 'key-klub';
const ITEM = '1a4';
/** `max_staleness_ms` of the route with bounded staleness. */
const MAX_STALENESS_MS = 1500;
/** How far replicas fall behind, in milliseconds: 150 times the usual 60 ms. */
const LAG_MS = 9000;
/** Time in which a replica without this lag has a commit, in milliseconds. */
const REPLICATION_MS = 80;
const PROMOTION_TIMEOUT_MS = 4000;
/** Pause between the reads of the transaction, in milliseconds. */
const READ_PAUSE_MS = 400;
/** Time from the last write until the transaction is committed, in milliseconds. */
const PAUSE_MS = 250;
/** Limit of the pauses in a transaction, in milliseconds: `tx_idle_ms` of the configuration. */
const IDLE_LIMIT_MS = 3000;
/** Time for which reads go on after the commit, in milliseconds, and the pause between the reads of one reader. */
const READING_MS = 1800;
const READ_INTERVAL_MS = 5;
const READERS = 3;
/** Time for which only reads run, in milliseconds, so that all targets are in steady service. */
const WARM_UP_MS = 1500;
const MAX_ATTEMPTS = 5;
const RETRY_MS = 20;
const ROUNDS = 3;

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));

/** Writes the configuration of the stand-in again, with the idle limit of the pages' example. */
const configure = ({store}) => {
	const configuration = JSON.parse(store.get('op/config'));
	store.put('op/config', {...configuration, version: configuration.version + 1, limits: {tx_idle_ms: IDLE_LIMIT_MS}});
};

const waitUntil = async (condition, timeoutMs) => {
	const deadline = performance.now() + timeoutMs;
	while (!condition() && performance.now() < deadline) {
		await sleep(5);
	}

	return condition();
};

/** Runs one statement, and records what was sent and answered. */
const query = async (client, id, text) => {
	const sentAt = performance.now();
	const response = await client.query(id, text);
	const outcome = response?.code ?? (response ? 'done' : 'none');
	record(`${id} ${text}: ${outcome}${response?.rows.length > 0 ? `, rows ${response.rows.join(' ')}` : ''}`);
	return {
		outcome, rows: response?.rows ?? [], sentAt, answeredAt: performance.now(),
	};
};

/** Reads the item again and again until the signal aborts; checks that each read has every commit that is older than the bound. */
const runReader = async (system, name, acknowledged, signal) => {
	const group = system.platform.groups.get(DATABASE);
	const client = await system.connect(ROUTES.bounded, KEY);
	let readCount = 0;
	let staleCount = 0;
	while (!signal.aborted && !client.isEnded()) {
		const id = `${name}-${readCount}`;
		const sentAt = performance.now();
		const response = await client.query(id, `READ ${ITEM}`);
		readCount++;
		const missing = acknowledged.filter(({data, at}) => at < sentAt - MAX_STALENESS_MS && !response?.rows.includes(data));
		if (response && response.code === undefined && missing.length > 0) {
			staleCount++;
			const {target} = group.executedStatements.findLast(execution => execution.id === id);
			record(`STALE ${id} at ${target} lacks ${missing.map(({data, at}) => `${data}, acknowledged ${Math.round(sentAt - at)} ms before it was sent`).join('; ')}`);
		}

		await sleep(READ_INTERVAL_MS);
	}

	client[Symbol.dispose]();
	record(`READER ${name}: ${readCount} reads answered, ${staleCount} too stale`);
	return staleCount;
};

/** Replaces the primary by draining it, while the transaction goes on reading there; resolves to whether that worked. */
const replacePrimary = async (platform, group, idler, round) => {
	const before = group.getPrimary().id;
	platform.drain(before);
	record(`DRAINING ${before}`);
	const deadline = performance.now() + PROMOTION_TIMEOUT_MS;
	for (let index = 0; group.getPrimary().id === before && performance.now() < deadline; index++) {
		const {outcome} = await query(idler, `t${round}-read${index}`, `READ ${ITEM}`);
		if (outcome !== 'done') {
			return false;
		}

		await waitUntil(() => group.getPrimary().id !== before, READ_PAUSE_MS);
	}

	record(`PROMOTED ${group.getPrimary().id}`);
	return group.getPrimary().id !== before;
};

/** Plays one round beside readers; resolves to the number of reads that lack a commit which they must have, or to `undefined` if a step failed. */
const playRound = async (system, round) => {
	const {platform} = system;
	const group = platform.groups.get(DATABASE);
	const acknowledged = [];
	const ended = new AbortController();
	const readers = Array.from({length: READERS}, async (_, index) => runReader(system, `r${round}-${index}`, acknowledged, ended.signal));
	const writer = await system.connect(ROUTES.latest, KEY);
	const idler = await system.connect(ROUTES.latest, KEY);
	const setLag = ms => {
		for (const replica of group.replicas.values()) {
			replica.lagMs = ms;
		}
	};

	const write = async name => {
		for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			const {outcome, answeredAt} = await query(writer, `w${round}-${name}-${attempt}`, `WRITE ${ITEM} ${name}${round}`);
			if (outcome === 'done') {
				acknowledged.push({data: `${name}${round}`, at: answeredAt});
				return true;
			}

			if (outcome !== 'BUSY') {
				return false;
			}

			await sleep(RETRY_MS);
		}

		return false;
	};

	const run = async () => {
		await sleep(WARM_UP_MS);
		await write('first');
		await query(idler, `t${round}-begin`, 'BEGIN');
		await query(idler, `t${round}-read`, `READ ${ITEM}`);
		if (HAS_TROUBLE && !await replacePrimary(platform, group, idler, round)) {
			return false;
		}

		if (!await write('second')) {
			return false;
		}

		await sleep(REPLICATION_MS);
		setLag(HAS_TROUBLE ? LAG_MS : 0);
		if (!await write('third')) {
			return false;
		}

		await sleep(PAUSE_MS);
		const {outcome} = await query(idler, `t${round}-commit`, 'COMMIT');
		await sleep(READING_MS);
		return outcome === 'done';
	};

	const isPlayed = await run();
	setLag(0);
	ended.abort();
	const staleCounts = await Promise.all(readers);
	for (const client of [writer, idler]) {
		client[Symbol.dispose]();
	}

	return isPlayed ? staleCounts.reduce((sum, count) => sum + count, 0) : undefined;
};

const CUSTOMERS = [{
	name: 'klub', keys: [KEY], rate: 400, burst: 200,
}];

await runCase(record, {databases: [DATABASE], customers: CUSTOMERS, dataCentres: ['north']}, async system => {
	configure(system.platform);
	await sleep(4000);
	const staleCounts = [];
	for (let round = 0; round < ROUNDS; round++) {
		staleCounts.push(await playRound(system, round));
		await sleep(1000);
		if (HAS_TROUBLE) {
			for (const {target} of system.platform.targets) {
				system.platform.replaceDrained(target.id);
			}
		}

		await sleep(4000);
	}

	const played = staleCounts.filter(count => count !== undefined);
	record(`ROUNDS played: ${played.length} of ${ROUNDS}; stale reads in each: ${played.join(', ')}`);
	return played.length === 0 ? undefined : played.some(count => count > 0);
});
