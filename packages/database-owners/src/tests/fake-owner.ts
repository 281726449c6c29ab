/** A database owner with fake targets, for tests on a virtual clock. */

import {
	createSuspensionClock, Ok, brandId, type CustomerId, type Runtime,
} from '@guavapitch/core';
import {SELF_FENCING_APPOINTMENTS, type Appointments} from '../appointments.js';
import type {KnownGroup} from '../commit-proofs.js';
import {createDatabaseOwner, type DatabaseOwner} from '../database-owner.js';
import {
	createFakeDial, DATABASE, readFakeStatus, type FakeTarget,
} from './fake-targets.js';

/** Creates a database owner whose registry lists the given targets. */
export const createFakeOwner = (
	targets: readonly FakeTarget[],
	runtime: Runtime,
	appointments: Appointments = SELF_FENCING_APPOINTMENTS,
	getKnownGroup: () => KnownGroup | undefined = () => undefined,
): DatabaseOwner => {
	const owner = createDatabaseOwner({
		runtime,
		readSuspensionClock: createSuspensionClock(runtime),
		database: DATABASE,
		dial: createFakeDial(targets, runtime),
		readStatus: readFakeStatus(targets),
		appointments,
		getKnownGroup,
		getConnectionLimit: () => 8,
		getAnyCustomer: () => brandId<CustomerId>('club'),
		getIdleTransactionMs: () => 3000,
		acquireToken: async () => Ok(undefined),
		onDecision: () => undefined,
	});
	owner.setTargets(targets.map(({description}) => description));
	return owner;
};
