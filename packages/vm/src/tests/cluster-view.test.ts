/** Cluster view: what a vm knows of the targets, and the events that it logs when that changes. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, Err, Ok, type DatabaseId, type DataCentreId, type TargetId,
} from '@guavapitch/core';
import type {Feed, StoreEntry} from '@guavapitch/feed';
import {createClusterView} from '../cluster-view.js';
import type {VmContext} from '../context.js';

const TARGET_PREFIX = 'servers/';
const DATABASE = brandId<DatabaseId>('ledger');

type TargetEntry = Readonly<{id: string; isDraining?: boolean; startedAtMs?: number}>;

/** Creates a view over entries that a test replaces as a whole. */
const createSetup = () => {
	const events: Array<Readonly<Record<string, unknown>>> = [];
	let entries: readonly StoreEntry[] = [];
	let revision = 0;
	const context: Partial<VmContext> = {
		targetPrefix: TARGET_PREFIX,
		configurationKey: 'op/config',
		emit(kind, fields) {
			events.push({id: kind.id, ...fields});
		},
		parseTarget(entry) {
			try {
				const {id, isDraining = false, startedAtMs = 1} = JSON.parse(entry.value) as TargetEntry;
				return Ok({
					id: brandId<TargetId>(id), database: DATABASE, host: id, port: 1, dataCentre: brandId<DataCentreId>('here'), slots: 2, isDraining, role: 'replica', startedAtMs,
				});
			} catch {
				return Err({code: 'documentMalformed', message: 'not JSON'});
			}
		},
	};
	const feed: Partial<Feed> = {
		get: key => entries.find(entry => entry.key === key),
		list: prefix => entries.filter(({key}) => key.startsWith(prefix)),
		getAgeMs: () => 7,
	};
	const view = createClusterView(context as VmContext, () => feed as Feed);
	const setTargets = (targets: readonly TargetEntry[]) => {
		revision++;
		entries = targets.map(target => ({
			key: `${TARGET_PREFIX}${target.id}`, value: JSON.stringify(target), revision, createdRevision: revision,
		}));
		view.applyChanges([{key: TARGET_PREFIX, revision, entry: undefined}]);
	};

	return {view, events, setTargets};
};

describe('cluster view', () => {
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
