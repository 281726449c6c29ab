/** Traffic generators: closed loops, and open loops whose arrivals do not wait for responses. */

import type pg from 'pg';
import {build, encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {createRandom} from './random.js';
import {
	connectEntry, wait, type LoginOptions, type EntryAddress,
} from './entries.js';

/** Result of a run; latencies in milliseconds. */
export type TrafficResult = Readonly<{
	sent: number;
	done: number;
	/** Number of statements refused as not run because the customer exceeded its quota. */
	refused: number;
	/** Number of all other failures. */
	failed: number;
	/** Other failures by SQLSTATE; `lost` stands for a failure without one. */
	failures: Readonly<Record<string, number>>;
	p50: number;
	p99: number;
	max: number;
	/** Number of completed statements per second. */
	perSecond: number;
	/** Histogram of the latencies in microseconds, in the compressed HDR format. */
	histogram: string;
}>;

/** Options of an open-loop run. */
export type OpenLoopOptions = Readonly<{
	/** Mean number of statements to send per second. */
	perSecond: number;
	durationMs: number;
	seed: number;
	statement: string;
	/** Called once per second with the number of statements sent and completed so far. */
	onProgress?: (sent: number, done: number) => void;
}>;

/** Statement of a closed loop, with its parameter values. */
export type LoopStatement = Readonly<{text: string; values?: readonly unknown[]}>;

const WARM_UP_MS = 500;
const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_MS = 1000;
const LIMIT_EXCEEDED_SQLSTATE = '53400';

const createResult = (counts: Pick<TrafficResult, 'sent' | 'refused' | 'failed' | 'failures'>, histogram: Histogram, durationMs: number): TrafficResult => ({
	...counts,
	done: histogram.totalCount,
	p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
	p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
	max: histogram.maxValue / MICROSECONDS_PER_MS,
	perSecond: histogram.totalCount * MS_PER_SECOND / durationMs,
	histogram: encodeIntoCompressedBase64(histogram),
});

const recordLatency = (histogram: Histogram, latencyMs: number) => {
	histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)));
};

/** Runs statements in one closed loop per client; latencies of the warm-up are not recorded. Rejects if a statement fails. */
export const runClosedLoop = async (clients: readonly pg.Client[], durationMs: number, createStatement: (sequenceNumber: number) => LoopStatement): Promise<TrafficResult> => {
	const histogram = build();
	let isRecording = false;
	let isRunning = true;
	let statementCount = 0;
	const loops = clients.map(async client => {
		while (isRunning) {
			statementCount++;
			const {text, values} = createStatement(statementCount);
			const startedAt = performance.now();
			await client.query(text, [...values ?? []]);
			if (isRecording) {
				recordLatency(histogram, performance.now() - startedAt);
			}
		}
	});
	await wait(WARM_UP_MS);
	isRecording = true;
	await wait(durationMs);
	isRecording = false;
	isRunning = false;
	await Promise.all(loops);
	return createResult({
		sent: histogram.totalCount, refused: 0, failed: 0, failures: {},
	}, histogram, durationMs);
};

/** Opens connections distributed evenly over the proxies, beginning with the proxy at `firstIndex`. */
export const connectClients = async (entries: readonly EntryAddress[], login: LoginOptions, connectionCount: number, firstIndex = 0): Promise<readonly pg.Client[]> => {
	const assignedEntries = Array.from({length: connectionCount}, (_, index) => entries[(index + firstIndex) % entries.length]);
	return Promise.all(assignedEntries.filter(entry => entry !== undefined).map(async entry => connectEntry(entry, login)));
};

/** Sends statements at random times without waiting for responses; a latency is measured from the time at which its statement was due. */
export const runOpenLoop = async (clients: readonly pg.Client[], options: OpenLoopOptions): Promise<TrafficResult> => {
	const random = createRandom(options.seed);
	const histogram = build();
	const pending: Array<Promise<void>> = [];
	let sent = 0;
	let refused = 0;
	let failed = 0;
	const failures: Record<string, number> = {};
	const sendStatement = async (client: pg.Client, dueAt: number) => {
		try {
			await client.query(options.statement);
			recordLatency(histogram, performance.now() - dueAt);
		} catch (error) {
			const {code} = error as Readonly<{code?: string}>;
			if (code === LIMIT_EXCEEDED_SQLSTATE) {
				refused++;
			} else {
				failed++;
				failures[code ?? 'lost'] = (failures[code ?? 'lost'] ?? 0) + 1;
			}
		}
	};

	const progressTimer = setInterval(() => {
		options.onProgress?.(sent, histogram.totalCount);
	}, MS_PER_SECOND);
	const startedAt = performance.now();
	let dueAt = startedAt;
	while (dueAt - startedAt < options.durationMs) {
		dueAt += -Math.log(1 - random()) * MS_PER_SECOND / options.perSecond;
		await wait(Math.max(0, dueAt - performance.now()));
		const client = clients[sent % clients.length];
		sent++;
		if (client) {
			pending.push(sendStatement(client, dueAt));
		}
	}

	await Promise.all(pending);
	clearInterval(progressTimer);
	return createResult({
		sent, refused, failed, failures,
	}, histogram, options.durationMs);
};
