/** Traffic for measurements: closed loops, and open-loop arrivals that do not wait for answers. */

import type pg from 'pg';
import {createRandom} from '@guavapitch/load';
import {computePercentile} from './readings.js';
import type {Stack} from './stack.js';
import {connectTo, waitMs} from './workload.js';

/** What a run of traffic found. */
export type TrafficResult = Readonly<{sent: number; done: number; refused: number; failed: number; p50: number; p99: number; perSecond: number; times: readonly number[]}>;

const WARM_UP_MS = 500;
const MILLISECONDS = 1000;

const createResult = (counts: Readonly<{sent: number; refused: number; failed: number}>, times: readonly number[], durationMs: number): TrafficResult => ({
	...counts,
	done: times.length,
	p50: computePercentile(times, 0.5),
	p99: computePercentile(times, 0.99),
	perSecond: times.length * MILLISECONDS / durationMs,
	times,
});

/** A statement of a closed loop. */
export type LoopStatement = Readonly<{text: string; values?: readonly unknown[]}>;

/** Runs a statement in closed loops on the given clients. */
export const runClosed = async (clients: readonly pg.Client[], durationMs: number, createStatement: (number: number) => LoopStatement): Promise<TrafficResult> => {
	const times: number[] = [];
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
				times.push(performance.now() - startedAt);
			}
		}
	});
	await waitMs(WARM_UP_MS);
	counting = true;
	await waitMs(durationMs);
	counting = false;
	running = false;
	await Promise.all(loops);
	return createResult({sent: times.length, refused: 0, failed: 0}, times, durationMs);
};

/** Plan of open-loop arrivals of one customer. */
export type OpenPlan = Readonly<{customer: string; service: string; perSecond: number; durationMs: number; connections: number; seed: number; statement: string}>;

/** Sends statements at random times whatever the answers; latency counts from the time due. */
export const runOpen = async (stack: Stack, plan: OpenPlan): Promise<TrafficResult> => {
	const proxies = [...stack.proxies.values()];
	const random = createRandom(plan.seed);
	const clients = (await Promise.all(Array.from({length: plan.connections}, async (_, index) => {
		const proxy = proxies[(index + plan.seed) % proxies.length];
		return proxy ? connectTo(stack, proxy, plan.customer, plan.service) : undefined;
	}))).filter(client => client !== undefined);
	const times: number[] = [];
	const waiting: Array<Promise<void>> = [];
	let sent = 0;
	let refused = 0;
	let failed = 0;
	const sendOne = async (client: pg.Client, dueAt: number) => {
		try {
			await client.query(plan.statement);
			times.push(performance.now() - dueAt);
		} catch (error) {
			if ((error as Readonly<{code?: string}>).code === '53400') {
				refused++;
			} else {
				failed++;
			}
		}
	};

	const startedAt = performance.now();
	let dueAt = startedAt;
	while (dueAt - startedAt < plan.durationMs) {
		dueAt += -Math.log(1 - random()) * MILLISECONDS / plan.perSecond;
		await waitMs(Math.max(0, dueAt - performance.now()));
		const client = clients[sent % clients.length];
		sent++;
		if (client) {
			waiting.push(sendOne(client, dueAt));
		}
	}

	await Promise.all(waiting);
	await Promise.all(clients.map(async client => client.end().catch(() => undefined)));
	return createResult({sent, refused, failed}, times, plan.durationMs);
};
