/** Model of a fleet whose vms press on one quota through drawn cuts, suspensions and changes of the allocator. Former allocators never stop by themselves. */

import {
	brandId, createDeadline, createVirtualRuntime, Err, NEVER, Ok, type CustomerId, type Instant, type Runtime, type VmId,
} from '@guavapitch/core';
import {computeContactTiming, createAllocatorContact, REPORT_TIMEOUT_MS} from '../allocator-contact.js';
import type {Quota} from '../bucket.js';
import {createQuotaAllocator, type QuotaAllocator} from '../quota-allocator.js';
import {createQuotaClient} from '../quota-client.js';
import {computeShare, createShareLedger, type ShareLedger} from '../quota-shares.js';

/** A run of the model; times in milliseconds. */
export type FleetRun = Readonly<{
	vmCount: number;
	quota: Quota;
	seed: number;
	lengthMs: number;
	/** Fraction of the vms that press on the quota. */
	pressing: number;
	/** Length of the bursts and pauses of those that press, on average; 0 if they press all the time. */
	burstMs: number;
	faults: readonly Fault[];
	/** Part of the quota that each vm gives out while no allocator responds to it, instead of its share; allocators then grant the whole quota. */
	fallback?: Quota;
}>;

/** A fault that begins at a time. `cut`: a part of the vms is cut off from the others, in one direction only with `isOneWay`, or each from every other with `isScattered`. `suspend`: a part of the vms stops. `appoint`: another vm becomes the allocator for the part of the vms that learns of it. `return`: a part of the vms goes back to the first allocator. `step`: the time of day of a part of the vms jumps ahead by `forMs`, which their suspension clock takes for a suspension. */
export type Fault = Readonly<{
	kind: 'cut' | 'suspend' | 'appoint' | 'return' | 'step';
	at: number;
	forMs: number;
	share: number;
	isOneWay: boolean;
	isScattered: boolean;
}>;

/** What a run has seen: when tokens were taken, and how many came from shares. */
export type FleetResult = Readonly<{times: readonly number[]; sharedCount: number; grantedCount: number}>;

const CUSTOMER = brandId<CustomerId>('klub');
const MAX_DELAY_MS = 10;
/** Shortest sleep, in milliseconds: a rounding error of two clocks must not let a task wait for no time again and again. */
const MIN_SLEEP_MS = 0.001;

/** Plays a run. */
export const runFleet = async (run: FleetRun): Promise<FleetResult> => {
	const {runtime, advance} = createVirtualRuntime(run.seed);
	const times: number[] = [];
	const vms = Array.from({length: run.vmCount}, (_, index) => ({vm: brandId<VmId>(`vm-${index}`), run: `run-${index}`}));
	const suspendedUntil = vms.map(() => 0);
	/** Time that each vm has been suspended so far, up to the suspension in progress. */
	const suspendedMs = vms.map(() => 0);
	/** Time by which the suspension clock of each vm is ahead. */
	const aheadMs = vms.map(() => 0);
	const createClocks = (index: number) => ({
		/** The clock that stands still during a suspension; no code of the vm reads it meanwhile. */
		now: () => runtime.now() - (suspendedMs[index] ?? 0) as Instant,
		readSuspensionClock: () => runtime.now() + (aheadMs[index] ?? 0) as Instant,
	});
	/** Cuts in force: tells whether messages from one vm to another are lost. */
	const cuts = new Set<(from: number, to: number) => boolean>();
	/** Allocator that each vm knows. */
	const knownEpochs = vms.map(() => 1);
	const allocators = new Map<number, Readonly<{at: number; ledger: ShareLedger; allocator: QuotaAllocator}>>();
	let isRunning = true;

	const appoint = (epoch: number, at: number) => {
		const clocks = createClocks(at);
		const ledger = createShareLedger(() => vms, clocks);
		allocators.set(epoch, {
			at,
			ledger,
			allocator: createQuotaAllocator({
				runtime: {...runtime, now: clocks.now}, epoch, getAuthorityDeadline: () => NEVER, getQuota: () => run.quota, ...(!run.fallback && {computeFractions: ledger.computeFractions}),
			}),
		});
	};

	const waitUntilResumed = async (index: number) => {
		while (runtime.now() < (suspendedUntil[index] ?? 0)) {
			await runtime.sleep(Math.max(MIN_SLEEP_MS, (suspendedUntil[index] ?? 0) - runtime.now()));
		}
	};

	/** Carries a message; resolves to `false` if it is lost. */
	const deliver = async (from: number, to: number): Promise<boolean> => {
		if (from === to) {
			return true;
		}

		await runtime.sleep(runtime.random() * MAX_DELAY_MS);
		await waitUntilResumed(to);
		return ![...cuts].some(isCut => isCut(from, to));
	};

	/** Calls the allocator that a vm knows; resolves to `undefined` if there is no answer in time. */
	const call = async <Answer>(index: number, timeoutMs: number, serve: (epoch: number) => Answer | undefined): Promise<Answer | undefined> => {
		const epoch = knownEpochs[index] ?? 1;
		const at = allocators.get(epoch)?.at ?? 0;
		const deadline = createDeadline(runtime.now(), timeoutMs);
		const answering = (async () => {
			const isReceived = await deliver(index, at);
			const answer = isReceived ? serve(epoch) : undefined;
			return await deliver(at, index) ? answer : undefined;
		})();
		const answer = await Promise.race([answering, runtime.sleep(timeoutMs).then(() => undefined)]);
		await waitUntilResumed(index);
		return runtime.now() > deadline ? undefined : answer;
	};

	const runVm = async (index: number) => {
		const self = vms[index] ?? {vm: brandId<VmId>(''), run: ''};
		const clocks = createClocks(index);
		const vmRuntime: Runtime = {
			...runtime,
			now: clocks.now,
			async sleep(ms, signal) {
				await runtime.sleep(Math.max(MIN_SLEEP_MS, ms), signal);
				await waitUntilResumed(index);
			},
		};
		const contact = createAllocatorContact(clocks, self.vm, self.run);
		const client = createQuotaClient(async request => {
			if (run.fallback === undefined && !contact.isAnswering(knownEpochs[index])) {
				return Err({code: 'notSent', message: 'no allocator answers'});
			}

			const grant = await call(index, 300, epoch => allocators.get(epoch)?.allocator.grantTokens(request));
			return grant ? Ok(grant) : Err({code: 'noKeeper', message: 'no answer'});
		}, vmRuntime, () => {
			if (run.fallback) {
				return {quota: run.fallback, since: 0 as Instant};
			}

			const since = contact.getFreeSince();
			const quota = computeShare(CUSTOMER, run.quota, self.vm, {vms: vms.map(({vm}) => vm), vmCount: contact.getVmCount(vms.length)});
			return since === undefined || !quota ? undefined : {quota, since};
		}, clocks.readSuspensionClock);
		const report = async () => {
			while (isRunning) {
				const sent = contact.createReport(knownEpochs[index] ?? 1, vms.length);
				const isCounted = await call(index, REPORT_TIMEOUT_MS, epoch => {
					allocators.get(epoch)?.ledger.record(sent.report);
					return true;
				});
				if (isCounted) {
					contact.recordAnswer(sent);
				}

				const {intervalMs, firstIntervalMs} = computeContactTiming(vms.length);
				await vmRuntime.sleep(contact.isEstablished(knownEpochs[index]) ? intervalMs : firstIntervalMs);
			}
		};

		const press = async () => {
			let pauseAt = 0;
			while (isRunning) {
				if (run.burstMs > 0 && runtime.now() >= pauseAt) {
					await vmRuntime.sleep(runtime.random() * 2 * run.burstMs);
					pauseAt = runtime.now() + (runtime.random() * 2 * run.burstMs);
				}

				const acquired = await client.acquire(CUSTOMER, createDeadline(vmRuntime.now(), 400));
				await waitUntilResumed(index);
				if (acquired.ok) {
					times.push(runtime.now());
				}

				await vmRuntime.sleep(acquired.ok ? 1 : 20);
			}
		};

		await Promise.all([report(), ...(index < run.pressing * vms.length ? [press()] : [])]);
		const {granted = 0, shared = 0} = client.getAcquiredCounts().get(CUSTOMER) ?? {};
		return {granted, shared};
	};

	const applyFault = async (fault: Fault) => {
		await runtime.sleep(fault.at);
		const affected = new Set([...vms.keys()].filter(() => runtime.random() < fault.share));
		switch (fault.kind) {
			case 'suspend': {
				for (const index of affected) {
					const until = Math.max(suspendedUntil[index] ?? 0, runtime.now() + fault.forMs);
					suspendedMs[index] = (suspendedMs[index] ?? 0) + until - Math.max(runtime.now(), suspendedUntil[index] ?? 0);
					suspendedUntil[index] = until;
				}

				break;
			}

			case 'appoint': {
				const epoch = allocators.size + 1;
				appoint(epoch, Math.floor(runtime.random() * vms.length));
				await runtime.sleep(runtime.random() * 500);
				for (const index of affected) {
					knownEpochs[index] = epoch;
				}

				break;
			}

			case 'step': {
				for (const index of affected) {
					aheadMs[index] = (aheadMs[index] ?? 0) + fault.forMs;
				}

				break;
			}

			case 'return': {
				for (const index of affected) {
					knownEpochs[index] = 1;
				}

				break;
			}

			default: {
				const isCut = (from: number, to: number) => affected.has(from) === affected.has(to)
					? fault.isScattered && affected.has(from)
					: !fault.isOneWay || affected.has(from);
				cuts.add(isCut);
				await runtime.sleep(fault.forMs);
				cuts.delete(isCut);
			}
		}
	};

	appoint(1, 0);
	const running = Promise.all(vms.map(async (_, index) => runVm(index)));
	const disturbing = Promise.all(run.faults.map(async fault => applyFault(fault)));
	await advance(run.lengthMs);
	isRunning = false;
	await advance(20_000);
	await disturbing;
	const counts = await running;
	return {
		times,
		sharedCount: counts.reduce((sum, {shared}) => sum + shared, 0),
		grantedCount: counts.reduce((sum, {granted}) => sum + granted, 0),
	};
};

/** Computes by how many tokens a list of times, in ascending order, exceeds rate × t + burst in its worst window; negative if it stays below. */
export const computeExcess = (times: readonly number[], {rate, burst}: Quota): number => {
	let worst = Number.NEGATIVE_INFINITY;
	/** Least value of count − rate × time so far, from which the worst window of each token begins. */
	let least = Number.POSITIVE_INFINITY;
	for (const [count, time] of times.entries()) {
		const level = count - (rate * time / 1000);
		least = Math.min(least, level);
		worst = Math.max(worst, level + 1 - least - burst);
	}

	return worst;
};
