/** Guards against writes acknowledged at a primary that was replaced, after a restored store has forgotten its successor. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, Err, Ok, brandId, type TargetId,
} from '@guavapitch/core';
import {createPrimaryAppointments} from '../primary-appointments.js';
import {MODEL_DATABASE} from './model-targets.js';

const TARGET = brandId<TargetId>('a');
const ERA = 2;
const FIRST_TOKEN_OF_ERA = (ERA * 1_000_000_000) + 1;

/** Creates appointments over a store of the second era that holds a record with a fencing token. */
const createSetup = (token: number) => {
	const {runtime, advance} = createVirtualRuntime(1);
	const value = JSON.stringify({target: TARGET, token});
	const failure = Err({code: 'storeUnreachable', message: 'not used'} as const);
	const appointments = createPrimaryAppointments({
		runtime,
		store: {
			grantLease: async () => failure, renewLease: async () => failure, revokeLease: async () => failure, transact: async () => failure, read: async () => Ok({value, revision: 5, era: ERA}),
		},
		areTargetsSelfFencing: false,
	}, {
		getFeed: () => ({
			get: key => ({
				key, value, era: ERA, revision: 5, createdRevision: 5,
			}), getEra: () => ERA,
		}),
		getRoleClaims: () => ({isHeld: () => false, drawFencingToken: async () => undefined}),
		askCoordinator: async () => undefined,
	}).get(MODEL_DATABASE);
	return {appointments, advance};
};

describe('appointments of a vm', () => {
	it('count if they were recorded in the present era of the store', async () => {
		const {appointments} = createSetup(FIRST_TOKEN_OF_ERA);
		assert.equal(appointments.getAppointed(), TARGET);
		assert.ok(appointments.canConfirm());
		assert.ok(await appointments.startProof(TARGET).confirm());
	});

	it('count as none if the store was restored since', async () => {
		const {appointments} = createSetup(7);
		assert.equal(appointments.getAppointed(), undefined);
		assert.ok(!appointments.canConfirm());
		assert.ok(!await appointments.startProof(TARGET).confirm());
	});
});
