/** Authorization of callers: a vm refuses for good only what its configuration was confirmed to say. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {brandId, type CustomerId, type DatabaseId} from '@guavapitch/core';
import type {Route} from '@guavapitch/callers';
import type {EventFields} from '@guavapitch/telemetry';
import {createAuthorizer} from '../authorization.js';
import type {Configuration} from '../configuration.js';
import type {VmContext} from '../context.js';

const APPLY_MS = 3000;

const ROUTE: Partial<Route> = {service: 'svc', database: brandId<DatabaseId>('db'), isPublic: false};
const CONFIGURATION: Partial<Configuration> = {
	version: 7,
	routes: new Map([['svc', ROUTE as Route]]),
	customersByKey: new Map([['known', brandId<CustomerId>('klub')]]),
	allowedRegions: new Map(),
};

const createSetup = (entriesAgeMs: number) => {
	const events: EventFields[] = [];
	const settings: Partial<VmContext['settings']> = {configurationApplyMs: APPLY_MS, regions: new Map()};
	const authorize = createAuthorizer({
		settings: settings as VmContext['settings'],
		emit(_kind, fields = {}) {
			events.push(fields);
		},
	}, {getConfiguration: () => CONFIGURATION as Configuration, getEntriesAgeMs: () => entriesAgeMs});
	const getRefusal = (service: string, key: string) => {
		const authorized = authorize(service, key);
		assert.ok(authorized.err && authorized.val.kind === 'refused');
		return authorized.val;
	};

	return {authorize, getRefusal, events};
};

describe('authorization', () => {
	describe('by a configuration that was confirmed within the time for changes', () => {
		it('refuses unknown services and keys for good', () => {
			const {getRefusal} = createSetup(APPLY_MS);
			assert.equal(getRefusal('added', 'known').code, 'noDatabase');
			assert.equal(getRefusal('svc', 'added').code, 'noKey');
		});
	});

	describe('by a configuration that may be behind', () => {
		for (const ageMs of [APPLY_MS + 1, Number.POSITIVE_INFINITY]) {
			it(`does not say that a route or key which a newer version has added does not exist, ${ageMs} ms after its confirmation`, () => {
				const {getRefusal, events} = createSetup(ageMs);
				for (const [service, key] of [['added', 'known'], ['svc', 'added']] as const) {
					const refusal = getRefusal(service, key);
					assert.equal(refusal.code, 'busy');
					assert.ok(refusal.retryAfterMs > 0);
				}

				assert.deepEqual(events.map(({code, version}) => [code, version]), [['busy', 7], ['busy', 7]]);
			});
		}

		it('goes on serving callers that it knows', () => {
			assert.ok(createSetup(Number.POSITIVE_INFINITY).authorize('svc', 'known').ok);
		});
	});
});
