/** Authorization of callers: a vm refuses for good only what its configuration was confirmed to say. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, Err, Ok, type CustomerId, type DatabaseId,
} from '@guavapitch/core';
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
	customersByKey: new Map([['known', brandId<CustomerId>('klub')], ['spaced', brandId<CustomerId>('klub dom')]]),
	allowedRegions: new Map(),
};

const createSetup = (entriesAgeMs: number) => {
	const events: EventFields[] = [];
	const settings: Partial<VmContext['settings']> = {configurationApplyMs: APPLY_MS, regions: new Map()};
	const {authorize, authorizeOn} = createAuthorizer({
		settings: settings as VmContext['settings'],
		checkName: name => name.includes(' ') ? Err({code: 'nameUnsendable', message: `the name ${JSON.stringify(name)} holds a space`}) : Ok(undefined),
		emit(_kind, fields = {}) {
			events.push(fields);
		},
	}, {getConfiguration: () => CONFIGURATION as Configuration, getEntriesAgeMs: () => entriesAgeMs});
	const getRefusal = (service: string, key: string) => {
		const authorized = authorize(service, key);
		assert.ok(authorized.err && authorized.val.kind === 'refused');
		return authorized.val;
	};

	return {
		authorize, authorizeOn, getRefusal, events,
	};
};

describe('authorization', () => {
	describe('by a configuration that was confirmed within the time for changes', () => {
		it('refuses unknown services and keys for good', () => {
			const {getRefusal} = createSetup(APPLY_MS);
			assert.equal(getRefusal('added', 'known').code, 'noDatabase');
			assert.equal(getRefusal('svc', 'added').code, 'noKey');
		});
	});

	describe('of a customer whose name targets cannot be told', () => {
		it('is refused at once with the name (each of its statements failed at every target instead)', () => {
			const {getRefusal, events} = createSetup(APPLY_MS);
			const refusal = getRefusal('svc', 'spaced');
			assert.deepEqual([refusal.code, refusal.reason], ['malformed', 'the name "klub dom" holds a space']);
			assert.deepEqual(events.map(({code, reason}) => [code, reason]), [['malformed', 'the name "klub dom" holds a space']]);
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

	describe('on the route of an open transaction', () => {
		it('is by the key alone, also once the service has no route', () => {
			const {authorizeOn} = createSetup(APPLY_MS);
			const formerRoute: Partial<Route> = {...ROUTE, service: 'former'};
			const authorized = authorizeOn(formerRoute as Route, 'known');
			assert.deepEqual(authorized.ok && [authorized.val.customer, authorized.val.version], ['klub', 7]);
			const refused = authorizeOn(formerRoute as Route, 'withdrawn');
			assert.equal(refused.err && refused.val.kind === 'refused' && refused.val.code, 'noKey');
		});

		// A transaction went on under the customer whose key was withdrawn, as a public route refuses no key.
		it('that is public is that of the customer without a name once the key is withdrawn', () => {
			const {authorizeOn} = createSetup(APPLY_MS);
			const publicRoute: Partial<Route> = {...ROUTE, isPublic: true};
			const authorized = authorizeOn(publicRoute as Route, 'withdrawn');
			assert.equal(authorized.ok && authorized.val.customer, '-');
		});
	});
});
