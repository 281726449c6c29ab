/** Admission control: what is refused at once, when a waiting request is refused, what a refused caller is told, and estimates of service times. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, brandId, type CustomerId, type Instant, type Result, type TargetId,
} from '@guavapitch/core';
import {
	checkAdmission, computeRetryAfter, LATE_LEVEL, type TargetCapacity,
} from '../admission.js';
import {createServiceTimes} from '../service-times.js';
import {
	createSlotScheduler, type Slot, type SlotRefusal, type SlotSchedulerOptions,
} from '../slot-scheduler.js';

const TARGET = brandId<TargetId>('target');
const OTHER = brandId<TargetId>('other');
const KIND = {group: 'read', name: 'read 9'};

describe('admission control', () => {
	const capacity: TargetCapacity = {slotLimit: 2, runningMs: 20, getDemandedSlots: () => 0};
	const createAhead = (count: number, level: number) => Array.from({length: count}, () => ({level, expectedMs: [10]}));
	const request = {
		work: {level: 1, expectedMs: [10]}, promptMs: 100, remainingMs: 1000, isMeasured: true,
	};

	it('counts work in slot time: it refuses only what is expected after the deadline', () => {
		const decide = (promptCount: number, lateCount: number) => {
			const ahead = [...createAhead(promptCount, 1), ...createAhead(lateCount, LATE_LEVEL)];
			return checkAdmission({capacities: [capacity], ahead, reservedMs: 0}, request).kind;
		};

		assert.deepEqual([decide(1, 250), decide(50, 50), decide(50, 250)], ['prompt', 'late', 'refused']);
	});

	it('queues what no target is known for, as one may appear', () => {
		assert.equal(checkAdmission({capacities: [capacity], ahead: [], reservedMs: 0}, {...request, work: {level: 1, expectedMs: [undefined]}}).kind, 'prompt');
	});

	it('tells callers that are refused together different times to return, none beyond the longest useful one', () => {
		const decision = {
			kind: 'refused', queuedWorkMs: 4000, expectedMs: 2000, remainingMs: 1000,
		} as const;
		let placesEndAt = 0 as Instant;
		const times = Array.from({length: 100}, () => {
			const time = computeRetryAfter({
				now: 0 as Instant, decision, workMs: 20, returnSlots: 0.2, placesEndAt, random: () => 0.5,
			});
			placesEndAt = time.placesEndAt ?? placesEndAt;
			return time.retryAfterMs;
		});
		assert.deepEqual(times.slice(0, 3), [250, 350, 450]);
		assert.ok(Math.max(...times) <= 4000);
	});

	describe('of a scheduler', () => {
		const createSetup = (options?: SlotSchedulerOptions) => {
			const {runtime, advance} = createVirtualRuntime(3);
			const scheduler = createSlotScheduler(runtime, options);
			const usable = new Set([TARGET, OTHER]);
			scheduler.setTargets([{id: TARGET, slots: 1}, {id: OTHER, slots: 1}]);
			const results: Array<Readonly<{result: Result<Slot, SlotRefusal>; atMs: number}>> = [];
			const send = (deadlineMs: number, customer = 'club', serviceMs = 10) => {
				void scheduler.acquire({
					customer: brandId<CustomerId>(customer),
					kind: KIND,
					priority: 1,
					latencyDeadline: createDeadline(runtime.now(), deadlineMs / 4),
					deadline: createDeadline(runtime.now(), deadlineMs),
					answerDeadline: createDeadline(runtime.now(), deadlineMs),
					isPinned: false,
					chooseTarget: loads => loads.find(({id}) => usable.has(id))?.id,
				}).then(async result => {
					results.push({result, atMs: runtime.now()});
					if (result.ok) {
						await runtime.sleep(serviceMs);
						result.val.release(serviceMs);
					}
				});
			};

			const listRefusals = () => results.flatMap(({result, atMs}) => result.err ? [{...result.val, atMs}] : []);
			return {
				advance, scheduler, usable, send, listRefusals, results,
			};
		};

		it('refuses at once what the slots can\'t do before the deadline, with a time to return', async () => {
			const {advance, send, listRefusals} = createSetup();
			for (let count = 0; count < 300; count++) {
				send(400);
			}

			await advance(1);
			const refusals = listRefusals();
			assert.ok(refusals.length > 100, `${refusals.length} refused`);
			assert.ok(refusals.every(({code, retryAfterMs}) => code === 'notInTime' && retryAfterMs >= 100));
		});

		it('refuses waiting requests as soon as a lost target leaves too little capacity', async () => {
			const {advance, scheduler, usable, send, listRefusals} = createSetup();
			send(400);
			await advance(20);
			for (let count = 0; count < 60; count++) {
				send(400);
			}

			await advance(30);
			const refusedCount = listRefusals().length;
			usable.delete(OTHER);
			scheduler.admitWaiting();
			await advance(1);
			assert.ok(listRefusals().length > refusedCount, 'refused after the target was lost');
			assert.ok(listRefusals().every(({atMs}) => atMs <= 51));
		});

		it('keeps the place of a caller that returns when told, during a flood', async () => {
			const {advance, send, listRefusals, results} = createSetup();
			for (let count = 0; count < 300; count++) {
				send(400);
			}

			send(400, 'returning');
			await advance(1);
			const told = listRefusals().findLast(({code}) => code === 'notInTime');
			for (let ms = 0; ms < (told?.retryAfterMs ?? 0); ms += 2) {
				send(400);
				await advance(2);
			}

			const index = results.length;
			send(400, 'returning');
			await advance(1);
			assert.ok(results.slice(index).every(({result}) => result.ok || result.val.code !== 'notInTime'), 'refused again');
		});

		it('uses no more slots than the limit that it is given', async () => {
			const limits = new Map([[TARGET, 0.5], [OTHER, 0]]);
			const {advance, send, results} = createSetup({getSlotLimit: target => limits.get(target) ?? 0});
			send(400);
			send(400);
			await advance(5);
			assert.equal(results.filter(({result}) => result.ok).length, 1);
		});
	});
});

describe('service times', () => {
	const createEstimate = () => {
		const serviceTimes = createServiceTimes();
		let nowMs = 0;
		const answer = (target: TargetId, ms: number, count = 1) => {
			for (let index = 0; index < count; index++) {
				nowMs += 10;
				serviceTimes.recordAnswer(KIND, target, {ms, now: nowMs as Instant});
			}
		};

		answer(TARGET, 10, 20);
		answer(OTHER, 10, 20);
		return {answer, estimate: (afterMs = 0, kind = KIND) => serviceTimes.estimate(kind, TARGET, (nowMs + afterMs) as Instant)};
	};

	it('follow a target that turns slow within ten answers, also for kinds that it has not answered', () => {
		const {answer, estimate} = createEstimate();
		answer(TARGET, 80, 10);
		assert.ok(estimate() >= 64, `${estimate()} ms`);
	});

	it('forget slowness without answers, and within a few answers once the target is probed', () => {
		const {answer, estimate} = createEstimate();
		answer(TARGET, 80, 10);
		assert.ok(estimate(11_000) <= 32, `${estimate(11_000)} ms`);
		answer(OTHER, 10, 200);
		answer(TARGET, 10, 4);
		assert.ok(estimate() <= 32, `${estimate()} ms`);
	});

	it('stay positive after answers in no time, whose ratio would be undefined', () => {
		const {answer, estimate} = createEstimate();
		answer(TARGET, 0, 20);
		answer(OTHER, 0, 20);
		assert.ok(estimate() > 0);
	});
});
