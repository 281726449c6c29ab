/** Cluster view: what a vm knows of the targets, and the events that it logs when that changes. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, Err, NEVER, Ok, type DatabaseId, type DataCentreId, type Instant, type TargetId,
} from '@guavapitch/core';
import type {Feed, StoreEntry} from '@guavapitch/feed';
import {createClusterView, MEMBER_PREFIX} from '../cluster-view.js';
import type {VmContext} from '../context.js';

const TARGET_PREFIX = 'servers/';
const DRAIN_MS = 7000;
const DATABASE = brandId<DatabaseId>('ledger');

type TargetEntry = Readonly<{id: string; isDraining?: boolean; startedAtMs?: number; dataCentre?: string}>;

/** Entries of two vms in two data centres. */
const MEMBERS: readonly StoreEntry[] = ['here', 'there'].map(dataCentre => ({
	key: `${MEMBER_PREFIX}${dataCentre}`,
	value: JSON.stringify({
		vm: `vm-${dataCentre}`, run: '1', dataCentre, host: dataCentre, port: 1, capacity: 1,
	}),
	era: 1,
	revision: 1,
	createdRevision: 1,
}));

/** Creates a view over entries that a test replaces as a whole. */
const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(1);
	let droppedCount = 0;
	const events: Array<Readonly<Record<string, unknown>>> = [];
	let entries: readonly StoreEntry[] = [];
	let revision = 0;
	let completeAt = 0 as Instant;
	const context: Partial<VmContext> = {
		runtime,
		readSuspensionClock: runtime.now,
		targetPrefix: TARGET_PREFIX,
		configurationKey: 'op/config',
		getTargetDrainMs: () => DRAIN_MS,
		emit(kind, fields) {
			events.push({id: kind.id, ...fields});
		},
		parseTarget(entry) {
			try {
				const {id, isDraining = false, startedAtMs = 1, dataCentre = 'here'} = JSON.parse(entry.value) as TargetEntry;
				return Ok({
					id: brandId<TargetId>(id), database: DATABASE, host: id, port: 1, dataCentre: brandId<DataCentreId>(dataCentre), slots: 2, isDraining, role: 'replica', startedAtMs,
				});
			} catch {
				return Err({code: 'documentMalformed', message: 'not JSON'});
			}
		},
	};
	const feed: Partial<Feed> = {
		get: key => entries.find(entry => entry.key === key),
		list: prefix => [...entries, ...MEMBERS].filter(({key}) => key.startsWith(prefix)),
		getAgeMs: () => 7,
		getCompleteAt: () => completeAt,
	};
	const view = createClusterView(context as VmContext, {
		getFeed: () => feed as Feed,
		onTargetsDropped() {
			droppedCount++;
		},
	});
	const setTargets = (targets: readonly TargetEntry[]) => {
		revision++;
		entries = targets.map(target => ({
			key: `${TARGET_PREFIX}${target.id}`, value: JSON.stringify(target), era: 1, revision, createdRevision: revision,
		}));
		view.applyChanges([{
			key: TARGET_PREFIX, era: 1, revision, entry: undefined,
		}]);
	};

	/** Returns until when a target accepts new work. */
	const getAcceptsUntil = (id: string) => view.findTarget(brandId<TargetId>(id))?.acceptsUntil;

	return {
		view, events, setTargets, getAcceptsUntil, advance,
		getDroppedCount: () => droppedCount,
		setCompleteAt(ms: number) {
			completeAt = ms as Instant;
		},
	};
};

describe('cluster view', () => {
	describe('the drain time of a leaving target', () => {
		it('counts from the last moment at which it had certainly not announced that it leaves', () => {
			const {setTargets, setCompleteAt, getAcceptsUntil} = createSetup();
			setTargets([{id: 'a'}]);
			assert.equal(getAcceptsUntil('a'), NEVER);
			setCompleteAt(100);
			setTargets([{id: 'a', isDraining: true}]);
			assert.equal(getAcceptsUntil('a'), 100 + DRAIN_MS);
		});

		it('does not start again while the entry is missing or when a heartbeat changes it', () => {
			const {setTargets, setCompleteAt, getAcceptsUntil} = createSetup();
			setTargets([{id: 'a'}]);
			setTargets([{id: 'a', isDraining: true}]);
			setCompleteAt(5000);
			setTargets([]);
			setTargets([{id: 'a', isDraining: true}]);
			assert.equal(getAcceptsUntil('a'), DRAIN_MS);
		});

		it('has passed if the target was leaving before the first read', () => {
			const {setTargets, setCompleteAt, getAcceptsUntil} = createSetup();
			setCompleteAt(Number.NEGATIVE_INFINITY);
			setTargets([{id: 'a', isDraining: true}]);
			assert.equal(getAcceptsUntil('a'), Number.NEGATIVE_INFINITY);
		});

		it('goes on if a restored store lists the target as it was before it announced that it leaves', () => {
			const {view, setTargets, getAcceptsUntil} = createSetup();
			setTargets([{id: 'a'}]);
			setTargets([{id: 'a', isDraining: true}]);
			setTargets([{id: 'a'}]);
			assert.equal(getAcceptsUntil('a'), DRAIN_MS);
			assert.equal(view.findTarget(brandId<TargetId>('a'))?.isDraining, true);
		});

		it('ends with the run of the target', () => {
			const {setTargets, getAcceptsUntil} = createSetup();
			setTargets([{id: 'a', isDraining: true}]);
			setTargets([{id: 'a', startedAtMs: 2}]);
			assert.equal(getAcceptsUntil('a'), NEVER);
		});
	});

	describe('a target whose entry is missing', () => {
		// Entries lapse while the store is away: a sound primary must not be taken for one that is gone.
		it('counts as present until its entry had time to come back after an outage of the store', async () => {
			const {view, setTargets, advance, getDroppedCount} = createSetup();
			setTargets([{id: 'a'}, {id: 'b'}]);
			setTargets([{id: 'b'}]);
			await advance(3900);
			assert.deepEqual(view.listTargets(DATABASE).map(({id}) => id).toSorted(), ['a', 'b']);
			await advance(200);
			assert.deepEqual(view.listTargets(DATABASE).map(({id}) => id), ['b']);
			assert.equal(getDroppedCount(), 1);
		});

		it('accepts work no longer than one that announced that it leaves', () => {
			const {setTargets, setCompleteAt, getAcceptsUntil} = createSetup();
			setCompleteAt(-5000);
			setTargets([{id: 'a'}]);
			setTargets([]);
			assert.equal(getAcceptsUntil('a'), 2000);
		});

		it('is kept as it is listed again', async () => {
			const {view, setTargets, advance, getAcceptsUntil} = createSetup();
			setTargets([{id: 'a'}]);
			setTargets([]);
			await advance(1000);
			setTargets([{id: 'a'}]);
			await advance(10_000);
			assert.equal(getAcceptsUntil('a'), NEVER);
			setTargets([]);
			await advance(3900);
			assert.equal(view.listTargets(DATABASE).length, 1);
		});

		it('is gone at once if it had announced that it leaves', () => {
			const {view, setTargets} = createSetup();
			setTargets([{id: 'a', isDraining: true}]);
			setTargets([]);
			assert.deepEqual(view.listTargets(DATABASE), []);
		});
	});

	describe('a target that was announced as promoted', () => {
		it('decides where owners are ranked until the registry had time to follow', async () => {
			const {view, advance, setTargets} = createSetup();
			setTargets([{id: 'a'}, {id: 'b', dataCentre: 'there'}]);
			view.applyChanges([{
				key: MEMBER_PREFIX, era: 1, revision: 1, entry: undefined,
			}]);
			const getFirst = () => view.rankOwners(DATABASE)[0]?.dataCentre;
			const before = getFirst();
			view.recordLeader(DATABASE, brandId<TargetId>('b'));
			assert.equal(getFirst(), 'there');
			assert.equal(view.getAnnouncedLeader(DATABASE)?.id, 'b');
			await advance(6001);
			setTargets([{id: 'a'}, {id: 'b', dataCentre: 'there'}]);
			assert.equal(getFirst(), before);
			assert.equal(view.getAnnouncedLeader(DATABASE), undefined);
		});

		it('is ignored if it is not registered', () => {
			const {view, setTargets} = createSetup();
			setTargets([{id: 'a'}]);
			view.recordLeader(DATABASE, brandId<TargetId>('gone'));
			assert.equal(view.getAnnouncedLeader(DATABASE), undefined);
		});
	});

	describe('events about targets', () => {
		it('name the target, what has changed, and how many targets of its database stay', () => {
			const {events, setTargets} = createSetup();
			setTargets([{id: 'a'}, {id: 'b'}]);
			events.length = 0;
			setTargets([{id: 'a', isDraining: true}, {id: 'b', startedAtMs: 2}]);
			setTargets([{id: 'b', startedAtMs: 2}]);
			assert.deepEqual(events.map(({id, change, target, stayingTargets, ageMs}) => [id, change, target, stayingTargets, ageMs]), [
				[1406, 'draining', 'a', 1, 7],
				[1406, 'restarted', 'b', 1, 7],
				[1406, 'removed', 'a', 1, 7],
			]);
		});

		it('are not written for heartbeats', () => {
			const {events, setTargets} = createSetup();
			setTargets([{id: 'a'}]);
			events.length = 0;
			setTargets([{id: 'a'}]);
			assert.deepEqual(events, []);
		});
	});
});
