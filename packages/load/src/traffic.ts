/** Traffic: closed loops, and open-loop arrivals that do not wait for answers. */

import type pg from 'pg';
import {build, encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {createRandom} from './random.js';
import {
	connectEntry, wait, type LoginOptions, type EntryAddress,
} from './entries.js';

/** What a run of traffic found; latencies in milliseconds. */
export type TrafficResult = Readonly<{
	sent: number;
	done: number;
	/** Refused over the share, as not run. */
	refused: number;
	/** Any other failure. */
	failed: number;
	/** Other failures by SQLSTATE, or `lost` without one. */
	failures: Readonly<Record<string, number>>;
	p50: number;
	p99: number;
	max: number;
	perSecond: number;
	/** Histogram of latencies in microseconds, in the compressed HDR form. */
	histogram: string;
}>;

/** Plan of open-loop arrivals. */
export type OpenLoopOptions = Readonly<{
	perSecond: number;
	durationMs: number;
	seed: number;
	statement: string;
	/** Hears of progress once a second. */
	onProgress?: (sent: number, done: number) => void;
}>;

/** A statement of a closed loop. */
export type LoopStatement = Readonly<{text: string; values?: readonly unknown[]}>;

const WARM_UP_MS = 500;
const MILLISECONDS = 1000;
const MICROSECONDS = 1000;
const LIMIT_STATE = '53400';

const createResult = (counts: Pick<TrafficResult, 'sent' | 'refused' | 'failed' | 'failures'>, histogram: Histogram, durationMs: number): TrafficResult => ({
	...counts,
	done: histogram.totalCount,
	p50: histogram.getValueAtPercentile(50) / MICROSECONDS,
	p99: histogram.getValueAtPercentile(99) / MICROSECONDS,
	max: histogram.maxValue / MICROSECONDS,
	perSecond: histogram.totalCount * MILLISECONDS / durationMs,
	histogram: encodeIntoCompressedBase64(histogram),
});

const recordMs = (histogram: Histogram, ms: number) => {
	histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS)));
};

/** Runs statements in closed loops on the given clients. */
export const runClosedLoop = async (clients: readonly pg.Client[], durationMs: number, createStatement: (number: number) => LoopStatement): Promise<TrafficResult> => {
	const histogram = build();
	let counting = false;
	let running = true;
	let count = 0;
	const loops = clients.map(async client => {
		while (running) {
			count++;
			const {text, values} = createStatement(count);
			const startedAt = performance.now();
			await client.query(text, [...values ?? []]);
			if (counting) {
				recordMs(histogram, performance.now() - startedAt);
			}
		}
	});
	await wait(WARM_UP_MS);
	counting = true;
	await wait(durationMs);
	counting = false;
	running = false;
	await Promise.all(loops);
	return createResult({
		sent: histogram.totalCount, refused: 0, failed: 0, failures: {},
	}, histogram, durationMs);
};

/** Connects several times, spread over the proxies. */
export const connectAll = async (entries: readonly EntryAddress[], login: LoginOptions, connections: number, first = 0): Promise<readonly pg.Client[]> => {
	const chosen = Array.from({length: connections}, (_, index) => entries[(index + first) % entries.length]);
	return Promise.all(chosen.filter(entry => entry !== undefined).map(async entry => connectEntry(entry, login)));
};

/** Sends statements at random times whatever the answers; a latency counts from the time at which its statement was due. */
export const runOpenLoop = async (clients: readonly pg.Client[], plan: OpenLoopOptions): Promise<TrafficResult> => {
	const random = createRandom(plan.seed);
	const histogram = build();
	const waiting: Array<Promise<void>> = [];
	let sent = 0;
	let refused = 0;
	let failed = 0;
	const failures: Record<string, number> = {};
	const sendOne = async (client: pg.Client, dueAt: number) => {
		try {
			await client.query(plan.statement);
			recordMs(histogram, performance.now() - dueAt);
		} catch (error) {
			const {code} = error as Readonly<{code?: string}>;
			if (code === LIMIT_STATE) {
				refused++;
			} else {
				failed++;
				failures[code ?? 'lost'] = (failures[code ?? 'lost'] ?? 0) + 1;
			}
		}
	};

	const progress = setInterval(() => {
		plan.onProgress?.(sent, histogram.totalCount);
	}, MILLISECONDS);
	const startedAt = performance.now();
	let dueAt = startedAt;
	while (dueAt - startedAt < plan.durationMs) {
		dueAt += -Math.log(1 - random()) * MILLISECONDS / plan.perSecond;
		await wait(Math.max(0, dueAt - performance.now()));
		const client = clients[sent % clients.length];
		sent++;
		if (client) {
			waiting.push(sendOne(client, dueAt));
		}
	}

	await Promise.all(waiting);
	clearInterval(progress);
	return createResult({
		sent, refused, failed, failures,
	}, histogram, plan.durationMs);
};
