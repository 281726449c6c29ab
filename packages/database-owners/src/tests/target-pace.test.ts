/** Pace of a target after a gap: how many of its slots are used while it is slow, fails or is fast at once. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualRuntime, isPast} from '@guavapitch/core';
import {createTargetPace} from '../target-pace.js';
import {createFakeOwner} from './fake-owner.js';
import {createFakeTarget} from './fake-targets.js';

const SLOTS = 4;
const FAST = {
	ms: 20, referenceMs: 20, expectedMs: 40, lateMs: 200, slots: SLOTS,
};
const SLOW = {...FAST, ms: 80};
const LATE = {...FAST, ms: 300};

const createPace = () => {
	const {runtime, advance} = createVirtualRuntime();
	return {runtime, advance, pace: createTargetPace(runtime)};
};

/** Returns a pace in steady service. */
const createSteadyPace = () => {
	const created = createPace();
	for (let answer = 0; answer < SLOTS; answer++) {
		created.pace.recordAnswer(FAST);
	}

	assert.ok(!created.pace.isLimited());
	return created;
};

describe('pace of a target', () => {
	describe('that is fast at once', () => {
		it('opens to all slots within as many answers', () => {
			const {pace} = createPace();
			const limits = Array.from({length: SLOTS}, () => {
				const limit = pace.getLimit(SLOTS);
				pace.recordAnswer(FAST);
				return limit;
			});
			assert.deepEqual(limits, [1, 2, 3, 4]);
			assert.ok(!pace.isLimited());
		});
	});

	describe('that is slow', () => {
		it('stays at one slot, also after a single fast answer', () => {
			const {pace} = createPace();
			for (const answer of [SLOW, SLOW, FAST, SLOW, SLOW]) {
				pace.recordAnswer(answer);
				assert.ok(pace.getLimit(SLOTS) < 2);
			}

			assert.ok(pace.getSlowness() > 2);
		});

		it('is not limited for good: it opens without being as fast as the others', () => {
			const {pace} = createPace();
			for (let answer = 0; answer < 32 * SLOTS; answer++) {
				pace.recordAnswer(SLOW);
			}

			assert.ok(!pace.isLimited());
		});

		it('has room for a fraction of the time after late answers, and at least once a second', async () => {
			const {runtime, advance, pace} = createPace();
			pace.recordAnswer(LATE);
			pace.recordAnswer(LATE);
			assert.ok(!isPast(pace.getRoomFrom(), runtime.now()));
			// A limit below 1 would make admission control refuse work that the pauses do not delay, such as the writes of a leader.
			assert.ok(pace.getWindow(SLOTS) < 1);
			assert.equal(pace.getLimit(SLOTS), 1);
			await advance(1000);
			assert.ok(isPast(pace.getRoomFrom(), runtime.now()));
		});
	});

	describe('in steady service', () => {
		it('keeps all slots after late answers', () => {
			const {pace} = createSteadyPace();
			pace.recordAnswer(LATE);
			assert.equal(pace.getLimit(SLOTS), SLOTS);
		});

		it('loses half of them by a failure, and has them again after answers in time', () => {
			const {pace} = createSteadyPace();
			pace.recordFailure(100, SLOTS);
			assert.equal(pace.getLimit(SLOTS), 2);
			pace.recordAnswer(FAST);
			pace.recordAnswer(FAST);
			assert.equal(pace.getLimit(SLOTS), SLOTS);
		});
	});

	describe('that recovers', () => {
		it('has one slot beside those of requests that were sent before, whose end says nothing', async () => {
			const {advance, pace} = createSteadyPace();
			await advance(1000);
			pace.recordGap(2);
			assert.equal(pace.getLimit(SLOTS), 3);
			await advance(500);
			pace.recordFailure(1000, SLOTS);
			pace.recordAnswer({...FAST, ms: 1000});
			assert.equal(pace.getLimit(SLOTS), 1);
		});
	});
});

describe('paces of a database owner', () => {
	it('send one request to each target until it has answered', async () => {
		const {runtime, advance} = createVirtualRuntime();
		const primary = createFakeTarget('primary', 'primary', SLOTS);
		const owner = createFakeOwner([primary], runtime);
		const serve = async (index: number) => owner.serve({
			id: `${index}`,
			database: primary.description.database,
			customer: 'club' as never,
			statement: {kind: 'text', access: 'write', text: 'w'},
			consistency: {kind: 'latest'},
			floor: undefined,
			values: [],
			transaction: undefined,
			remainingMs: 1000,
			promptMs: 500,
			priority: 0,
		});
		const responses = Array.from({length: 12}, async (_, index) => serve(index));
		await advance(5);
		assert.equal(primary.runningCount, 1);
		await advance(1000);
		assert.equal(primary.maxRunningCount, SLOTS);
		assert.ok((await Promise.all(responses)).every(({outcome}) => outcome.kind === 'done'));
	});
});
