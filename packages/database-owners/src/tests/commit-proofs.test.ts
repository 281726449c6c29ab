/** Proofs of commits: a commit that a promotion may remove is not acknowledged, and one that is kept is, also while the store is away. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, Err, Ok, brandId, type TargetId,
} from '@guavapitch/core';
import {createAppointments, type Appointment} from '../appointments.js';
import {createCommitProofs} from '../commit-proofs.js';
import type {TargetStatus} from '../targets.js';
import {createFakeTarget} from './fake-targets.js';

const POSITION = {term: 1, number: 9};
const TIMEOUT_MS = 500;

const createStatus = (number: number, overrides: Partial<TargetStatus> = {}): TargetStatus => ({
	role: 'replica', term: 1, received: {term: 1, number}, heldTerm: 0, lagMs: 0, ...overrides,
});

/** Creates proofs for a primary and two members, of which only the first one is registered. */
const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(1);
	const [primary, registered, unregistered] = ['primary', 'replica-1', 'replica-2'].map(name => createFakeTarget(name, 'replica').description);
	assert.ok(primary && registered && unregistered);
	const appointment: Appointment = {target: primary.id, fencingToken: 1};
	const state = {
		appointment,
		isStoreDown: false,
		members: [primary, registered, unregistered],
		statuses: new Map<TargetId, TargetStatus>([[registered.id, createStatus(9)], [unregistered.id, createStatus(9)]]),
	};
	const appointments = createAppointments({
		runtime,
		getRecord: () => appointment,
		readRecord: async () => state.isStoreDown ? Err({code: 'storeUnreachable', message: 'down'}) : Ok(state.appointment),
		isAuthorized: () => false,
	});
	const proofs = createCommitProofs({
		runtime,
		getKnownGroup: () => ({appointments, members: state.members}),
		listTargets: () => [primary, registered],
		async queryStatus({id}) {
			await runtime.sleep(1);
			const status = state.statuses.get(id);
			return status ? Ok(status) : Err({code: 'silent', message: 'silent'});
		},
	});
	const confirm = async (): Promise<boolean | undefined> => {
		let isConfirmed: boolean | undefined;
		void proofs.start(primary.id).confirm(POSITION, createDeadline(runtime.now(), TIMEOUT_MS)).then(value => {
			isConfirmed = value;
		});
		await advance(TIMEOUT_MS * 2);
		return isConfirmed;
	};

	return {
		runtime, state, confirm, registered: registered.id, unregistered: unregistered.id,
	};
};

describe('proofs of commits', () => {
	describe('with a store that responds', () => {
		it('hold while the same target is appointed, whatever the members have', async () => {
			const {state, confirm} = createSetup();
			state.statuses.clear();
			assert.equal(await confirm(), true);
		});

		// The joined target has the commit, the one that is being promoted need not have it.
		it('fail once another target is appointed, even if all members that are known have the commit', async () => {
			const {state, confirm} = createSetup();
			state.appointment = {target: brandId<TargetId>('other'), fencingToken: 2};
			assert.equal(await confirm(), false);
		});
	});

	describe('with a store that is away', () => {
		it('hold once every member has the commit, also one that receives it later', async () => {
			const {runtime, state, confirm, registered} = createSetup();
			state.isStoreDown = true;
			state.statuses.set(registered, createStatus(8));
			runtime.schedule(TIMEOUT_MS / 2, () => {
				state.statuses.set(registered, createStatus(9));
			});
			assert.equal(await confirm(), true);
		});

		it('fail if an unregistered member does not respond, lacks the commit, leads, or has another term', async () => {
			for (const status of [undefined, createStatus(8), createStatus(9, {role: 'primary'}), createStatus(9, {received: {term: 2, number: 9}})]) {
				const {state, confirm, unregistered} = createSetup();
				state.isStoreDown = true;
				state.statuses.delete(unregistered);
				if (status) {
					state.statuses.set(unregistered, status);
				}

				assert.equal(await confirm(), false, JSON.stringify(status));
			}
		});

		it('fail if no record of the members is known', async () => {
			const {state, confirm} = createSetup();
			state.isStoreDown = true;
			state.members = [];
			assert.equal(await confirm(), false);
		});
	});
});
