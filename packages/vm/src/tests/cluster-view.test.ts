/** Cluster view: what a vm knows of the targets, and the events that it logs when that changes. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, Err, NEVER, Ok, PAST, type DatabaseId, type DataCentreId, type Instant, type RegionId, type TargetId, type VmId,
} from '@guavapitch/core';
import type {Feed, StoreEntry} from '@guavapitch/feed';
import {createClusterView, isRelevantChange, MEMBER_PREFIX} from '../cluster-view.js';
import type {VmContext} from '../context.js';

const TARGET_PREFIX = 'servers/';
const DRAIN_MS = 7000;
const HERE = brandId<DataCentreId>('here');
const EVACUATION_PREFIX = 'op/evacuate/';
const EVACUATION_MS = 5000;
const COLD_START_MS = 10_000;
const DATABASE = brandId<DatabaseId>('ledger');

type TargetEntry = Readonly<{id: string; isDraining?: boolean; startedAtMs?: number; coldRemainingMs?: number; dataCentre?: string}>;

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
		settings: {
			vm: brandId<VmId>('v'),
			run: 'r',
			dataCentre: HERE,
			dataCentreCount: 1,
			region: undefined,
			regions: new Map([[HERE, brandId<RegionId>('home')]]),
			host: 'h',
			port: 1,
			capacity: 1,
			configurationApplyMs: 3000,
		},
		operatorPrefix: 'op/',
		parseEvacuation: key => key.startsWith(EVACUATION_PREFIX) ? brandId<DataCentreId>(key.slice(EVACUATION_PREFIX.length)) : undefined,
		getEvacuationMs: () => EVACUATION_MS,
		runtime,
		readSuspensionClock: runtime.now,
		targetPrefix: TARGET_PREFIX,
		configurationKey: 'op/config',
		getTargetDrainMs: () => DRAIN_MS,
		parseConfiguration(value) {
			const {version, regions} = JSON.parse(value) as Readonly<{version: number; regions: readonly RegionId[]}>;
			return Ok({
				version,
				routes: new Map(),
				databases: new Map([[DATABASE, {
					id: DATABASE, connectionLimit: 8, isReplicated: false, coldStartMs: COLD_START_MS, coldPerSecond: 4,
				}]]),
				customersByKey: new Map(),
				quotas: new Map(),
				allowedRegions: new Map(),
				regionFields: [{path: 'routes.0.allowed_regions', regions}],
				idleTransactionMs: 1,
			});
		},
		emit(kind, fields) {
			events.push({id: kind.id, ...fields});
		},
		parseTarget(entry) {
			try {
				const {
					id, isDraining = false, startedAtMs = 1, coldRemainingMs, dataCentre = 'here',
				} = JSON.parse(entry.value) as TargetEntry;
				return Ok({
					id: brandId<TargetId>(id),
					database: DATABASE,
					host: id,
					port: 1,
					dataCentre: brandId<DataCentreId>(dataCentre),
					slots: 2,
					isDraining,
					role: 'replica',
					startedAtMs,
					...(coldRemainingMs !== undefined && {coldRemainingMs}),
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
	const createEntry = (key: string, value: string): StoreEntry => ({
		key, value, era: 1, revision, createdRevision: revision,
	});
	const setTargets = (targets: readonly TargetEntry[]) => {
		revision++;
		entries = [...entries.filter(({key}) => !key.startsWith(TARGET_PREFIX)), ...targets.map(target => createEntry(`${TARGET_PREFIX}${target.id}`, JSON.stringify(target)))];
		view.applyChanges([{
			key: TARGET_PREFIX, era: 1, revision, entry: undefined,
		}]);
	};

	/** Replaces the operators' evacuations. */
	const setEvacuations = (dataCentres: readonly string[]) => {
		revision++;
		entries = [...entries.filter(({key}) => !key.startsWith('op/')), ...dataCentres.map(name => createEntry(`${EVACUATION_PREFIX}${name}`, '{}'))];
		view.applyChanges([{
			key: `${EVACUATION_PREFIX}here`, era: 1, revision, entry: undefined,
		}]);
	};

	/** Writes a version of the configuration with one route that is restricted to regions. */
	const setConfiguration = (version: number, regions: readonly string[]) => {
		revision++;
		entries = [...entries.filter(({key}) => key !== 'op/config'), createEntry('op/config', JSON.stringify({version, regions}))];
		view.applyChanges([{
			key: 'op/config', era: 1, revision, entry: undefined,
		}]);
	};

	/** Lists a vm in the data centre of the targets. */
	const addMember = () => {
		revision++;
		entries = [...entries, createEntry('guavapitch/vms/v', JSON.stringify({
			vm: 'v', run: 'r', dataCentre: 'here', host: 'h', port: 1, capacity: 1,
		}))];
		view.applyChanges([{
			key: 'guavapitch/vms/v', era: 1, revision, entry: undefined,
		}]);
	};

	/** Returns until when a target accepts new work. */
	const getAcceptsUntil = (id: string) => view.findTarget(brandId<TargetId>(id))?.acceptsUntil;

	return {
		view, events, setTargets, setEvacuations, setConfiguration, addMember, getAcceptsUntil, advance, context, readWallClock: runtime.readWallClock,
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

	describe('an evacuation', () => {
		it('marks the targets of its data centre until the key is removed, and counts from the last moment at which there was no key', () => {
			const {view, events, setTargets, setEvacuations, setCompleteAt} = createSetup();
			setTargets([{id: 'a'}]);
			setCompleteAt(100);
			setEvacuations(['here']);
			setCompleteAt(900);
			setEvacuations(['here', 'there']);
			assert.equal(view.findTarget(brandId<TargetId>('a'))?.isEvacuated, true);
			assert.equal(view.getEvacuationDeadline(HERE), 100 + (0.8 * EVACUATION_MS));
			setEvacuations([]);
			assert.equal(view.findTarget(brandId<TargetId>('a'))?.isEvacuated, false);
			assert.equal(view.getEvacuationDeadline(HERE), NEVER);
			assert.deepEqual(events.filter(({id}) => id === 1107).map(({dataCentre, isEvacuated}) => [dataCentre, isEvacuated]), [['here', true], ['there', true], ['here', false], ['there', false]]);
		});

		it('is in force at once for a vm that reads it first, as one that starts', () => {
			const {view, setTargets, setEvacuations, setCompleteAt} = createSetup();
			setCompleteAt(Number.NEGATIVE_INFINITY);
			setEvacuations(['here']);
			setTargets([{id: 'a'}]);
			assert.equal(view.findTarget(brandId<TargetId>('a'))?.isEvacuated, true);
			assert.equal(view.getEvacuationDeadline(HERE), Number.NEGATIVE_INFINITY);
		});

		it('of a data centre that nothing in the fleet has is reported once, as soon as the fleet is known, and marks no target', () => {
			const {view, events, setTargets, setEvacuations, addMember} = createSetup();
			setEvacuations(['nowhere', 'here']);
			setTargets([{id: 'a'}]);
			assert.deepEqual(events.filter(({id}) => id === 1108), []);
			addMember();
			setEvacuations(['nowhere']);
			assert.deepEqual(events.filter(({id}) => id === 1108), [{id: 1108, field: 'evacuation', name: 'nowhere'}]);
			assert.equal(view.findTarget(brandId<TargetId>('a'))?.isEvacuated, false);
		});

		it('has its counterpart in a region that belongs to no data centre: the configuration is used, and the event names the field once', () => {
			const {view, events, setTargets, setConfiguration, addMember} = createSetup();
			setTargets([{id: 'a'}]);
			addMember();
			setConfiguration(1, ['home', 'hmoe']);
			setConfiguration(2, ['home', 'hmoe']);
			assert.equal(view.getConfiguration()?.version, 2);
			assert.deepEqual(events.filter(({id}) => id === 1108), [{id: 1108, field: 'routes.0.allowed_regions', name: 'hmoe'}]);
		});

		it('is passed on to followers, unlike other entries of operators', () => {
			const {context} = createSetup();
			const isRelevant = (key: string) => isRelevantChange(context as VmContext, {
				key, era: 1, revision: 1, entry: undefined,
			}, undefined);
			assert.deepEqual(['op/config', 'op/evacuate/here', 'op/notes'].map(key => isRelevant(key)), [true, true, false]);
		});
	});

	describe('a cold target', () => {
		const getColdUntil = ({view}: ReturnType<typeof createSetup>) => view.findTarget(brandId<TargetId>('a'))?.coldUntil;

		it('is cold for as long as its entry states, counted from the first one that was read', async () => {
			const setup = createSetup();
			setup.setTargets([{id: 'a', coldRemainingMs: 30_000}]);
			assert.equal(getColdUntil(setup), 30_000);
			await setup.advance(1000);
			setup.setTargets([{id: 'a', coldRemainingMs: 29_900}]);
			assert.equal(getColdUntil(setup), 30_000);
			setup.setTargets([{id: 'a', coldRemainingMs: 0}]);
			assert.equal(getColdUntil(setup), PAST);
			setup.setTargets([{id: 'a', startedAtMs: 2, coldRemainingMs: 30_000}]);
			assert.equal(getColdUntil(setup), 31_000);
		});

		it('is measured by the wall clock if its entry does not say, from the configuration on', () => {
			const setup = createSetup();
			setup.setTargets([{id: 'a', startedAtMs: setup.readWallClock() - 4000}]);
			assert.equal(getColdUntil(setup), PAST);
			setup.setConfiguration(1, []);
			assert.equal(getColdUntil(setup), COLD_START_MS - 4000);
		});

		it('does not change with each heartbeat', () => {
			const {context} = createSetup();
			const isRelevant = (...remainingMs: readonly number[]) => {
				const [before, after] = remainingMs.map(coldRemainingMs => ({
					key: `${TARGET_PREFIX}a`, value: JSON.stringify({id: 'a', coldRemainingMs}), era: 1, revision: 1, createdRevision: 1,
				}));
				return isRelevantChange(context as VmContext, {
					key: `${TARGET_PREFIX}a`, era: 1, revision: 1, entry: after,
				}, before);
			};

			assert.deepEqual([isRelevant(30_000, 29_000), isRelevant(100, 0), isRelevant(0, 30_000)], [false, true, true]);
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
