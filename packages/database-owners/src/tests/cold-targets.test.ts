/** Cold targets: in any second they receive no more than their bound, also from two owners and after a start that is not known yet. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, PAST, type CustomerId, type Deadline, type Instant, type TargetId,
} from '@guavapitch/core';
import type {Consistency, StatementRequest, TargetStatement} from '@guavapitch/sessions';
import {createColdTargets} from '../cold-targets.js';
import {createFakeOwner} from './fake-owner.js';
import {createFakeTarget, DATABASE} from './fake-targets.js';

const TARGET = brandId<TargetId>('a');
const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};
const COMMIT: TargetStatement = {kind: 'commit', text: 'COMMIT'};
const BOUNDED: Consistency = {kind: 'bounded', maxStalenessMs: 1500};

/** Returns the highest number of instants in any second. */
const countInAnySecond = (instants: readonly number[]): number => Math.max(0, ...instants.map(start => instants.filter(at => at >= start && at < start + 1000).length));

const createLimits = (limit: number | undefined, coldUntilMs = Number.POSITIVE_INFINITY) => {
	const {runtime, advance} = createVirtualRuntime(2);
	let completeAt = 0 as Instant;
	let wakeCount = 0;
	const coldTargets = createColdTargets({
		runtime,
		readSuspensionClock: runtime.now,
		getLimit: () => limit,
		getColdUntil: () => coldUntilMs as Deadline,
		areConnectionsLost: () => false,
		getTargetsCompleteAt: () => completeAt,
		onAvailable() {
			wakeCount++;
		},
	});

	/** Sends as many requests as possible for a time; returns when each was sent. */
	const flood = async (ms: number): Promise<readonly number[]> => {
		const sentAt: number[] = [];
		const endsAt = runtime.now() + ms;
		while (runtime.now() < endsAt) {
			while (sentAt.length < 100_000 && coldTargets.hasRoom(TARGET, 1) && coldTargets.take(TARGET, 1) && sentAt.filter(at => at === runtime.now()).length < 50) {
				sentAt.push(runtime.now());
			}

			await advance(7);
		}

		return sentAt;
	};

	return {
		coldTargets, flood, advance, runtime, getWakeCount: () => wakeCount,
		setCompleteAt(ms: number) {
			completeAt = ms as Instant;
		},
	};
};

describe('cold targets', () => {
	describe('the limit of one owner', () => {
		it('is kept in any second and used, also if it is below one request', async () => {
			for (const limit of [0.4, 2.5, 17.5]) {
				const sentAt = await createLimits(limit).flood(5000);
				assert.ok(countInAnySecond(sentAt) <= Math.max(1, limit), `${limit}: ${countInAnySecond(sentAt)}`);
				assert.ok(sentAt.length >= Math.floor(limit * 3.5), `${limit}: only ${sentAt.length}`);
			}
		});

		it('holds until the target is no longer cold, and not at all without a configuration', async () => {
			const sentAt = await createLimits(4, 2000).flood(3000);
			assert.ok(countInAnySecond(sentAt.filter(at => at < 2000)) <= 4);
			assert.ok(sentAt.filter(at => at >= 2000).length > 100);
			assert.ok((await createLimits(undefined).flood(500)).length > 100);
		});

		it('wakes waiting requests when there is room again, and lets a begin with its statement pass even if it is below two', async () => {
			const {coldTargets, advance, getWakeCount} = createLimits(1);
			assert.equal(coldTargets.take(TARGET, 2), true);
			assert.equal(coldTargets.hasRoom(TARGET, 1), false);
			await advance(1000);
			assert.equal(getWakeCount(), 0);
			await advance(200);
			assert.equal(getWakeCount(), 1);
			assert.equal(coldTargets.hasRoom(TARGET, 1), true);
		});
	});

	describe('a target to which all connections were lost', () => {
		// A target that has started again accepts connections before the vm has read from its entry that it is cold.
		it('counts as cold until its entry was read, and no longer than a missing entry is waited for', async () => {
			const {coldTargets, flood, setCompleteAt, runtime} = createLimits(4, PAST);
			coldTargets.recordGap(TARGET);
			assert.ok(countInAnySecond(await flood(2000)) <= 4);
			setCompleteAt(1100);
			assert.ok(countInAnySecond(await flood(300)) > 100);
			coldTargets.recordGap(TARGET);
			const gapAt = runtime.now();
			const sentAt = await flood(5000);
			assert.ok(countInAnySecond(sentAt.filter(at => at < gapAt + 4000)) <= 4);
			assert.ok(sentAt.some(at => at < gapAt + 4100 && at >= gapAt + 4000));
		});
	});

	describe('requests of an owner', () => {
		const createSetup = () => {
			const {runtime, advance} = createVirtualRuntime(9);
			const targets = [createFakeTarget('primary', 'primary', 3), createFakeTarget('replica-1', 'replica', 3)] as const;
			const createOwner = () => {
				const owner = createFakeOwner(targets, runtime, {getColdLimit: () => 5});
				owner.setTargets(targets.map(({description}) => description.role === 'primary' ? {...description, coldUntil: 6000 as Deadline} : description));
				return owner;
			};

			const createRequest = (statement: TargetStatement, overrides: Partial<StatementRequest>): StatementRequest => ({
				id: 'q',
				database: DATABASE,
				customer: brandId<CustomerId>('club'),
				statement,
				consistency: {kind: 'latest'},
				floor: undefined,
				values: [],
				transaction: undefined,
				remainingMs: 1500,
				promptMs: 300,
				priority: 1,
				...overrides,
			});
			return {
				targets, createOwner, createRequest, advance, runtime,
			};
		};

		it('stay within the bound at a cold primary from two owners: writes, transactions with their begins, and reads of the latest state', async () => {
			const {targets: [primary], createOwner, createRequest, advance, runtime} = createSetup();
			const owners = [createOwner(), createOwner()];
			const begunAt: number[] = [];
			const runCaller = async (index: number) => {
				const owner = owners[index % owners.length];
				for (let count = 0; owner && runtime.now() < 6000; count++) {
					if (index % 3 === 0) {
						await owner.serve(createRequest(WRITE, {}));
					} else if (index % 3 === 1) {
						const response = await owner.serve(createRequest(READ, {}));
						begunAt.push(...(response.outcome.kind === 'done' ? [runtime.now()] : []));
					} else {
						const id = `${index}-${count}`;
						const response = await owner.serve(createRequest(WRITE, {transaction: {id, readOnly: false, isFirst: true}}));
						begunAt.push(...(response.status === 'open' ? [runtime.now()] : []));
						await owner.serve(createRequest(COMMIT, {transaction: {id, readOnly: false, isFirst: false}}));
					}

					await runtime.sleep(1);
				}
			};

			for (let index = 0; index < 12; index++) {
				void runCaller(index);
			}

			await advance(9000);
			const requestedAt = [...primary.executed.map(({at}) => at), ...begunAt].filter(at => at < 6000);
			assert.ok(countInAnySecond(requestedAt) <= 10, `${countInAnySecond(requestedAt)} requests in a second`);
			assert.ok(requestedAt.length > 30, `only ${requestedAt.length} requests in six seconds`);
		});

		it('are limited after the primary may have started again, before its entry says so', async () => {
			const {targets: [primary], createRequest, advance, runtime} = createSetup();
			const owner = createFakeOwner([primary], runtime, {getColdLimit: () => 5, getTargetsCompleteAt: () => 0 as Instant});
			const runWrites = async (count: number) => {
				void Promise.all(Array.from({length: count}, async () => owner.serve(createRequest(WRITE, {}))));
				await advance(900);
			};

			await runWrites(40);
			assert.equal(primary.executed.length, 40);
			primary.fault = 'refuses';
			await runWrites(3);
			primary.fault = 'none';
			await advance(500);
			await runWrites(40);
			assert.ok(primary.executed.length <= 45 && primary.executed.length > 40, `${primary.executed.length - 40} writes in 900 ms`);
		});

		it('go to a warm target at once if they can, and without a limit once the target is warm', async () => {
			const {targets: [primary, replica], createOwner, createRequest, advance, runtime} = createSetup();
			const owner = createOwner();
			const runReads = async (untilMs: number) => {
				const times: number[] = [];
				while (runtime.now() < untilMs) {
					const startedAt = runtime.now();
					let isDone = false;
					void owner.serve(createRequest(READ, {consistency: BOUNDED})).then(({outcome}) => {
						isDone = outcome.kind === 'done';
					});
					while (!isDone) {
						await advance(1);
						assert.ok(runtime.now() < startedAt + 1000);
					}

					times.push(runtime.now() - startedAt);
				}

				return times;
			};

			const times = await runReads(2000);
			assert.ok(Math.max(...times) < 100 && replica.executed.length > 100);
			await advance(4500);
			const before = primary.executed.length;
			const writes = Array.from({length: 60}, async () => owner.serve(createRequest(WRITE, {})));
			await advance(1000);
			assert.ok((await Promise.all(writes)).every(({outcome}) => outcome.kind === 'done'));
			assert.equal(primary.executed.length - before, 60);
		});
	});
});
