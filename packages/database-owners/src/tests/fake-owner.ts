/** A database owner with fake targets, for tests on a virtual clock. */

import {
	createSuspensionClock, NEVER, Ok, brandId, type CustomerId, type Runtime,
} from '@guavapitch/core';
import {SELF_FENCING_APPOINTMENTS, type Appointments} from '../appointments.js';
import {createDatabaseOwner, type DatabaseOwner, type DatabaseOwnerContext} from '../database-owner.js';
import {
	createFakeDial, DATABASE, readFakeStatus, type FakeTarget,
} from './fake-targets.js';

/** Creates a database owner whose registry lists the given targets; `overrides` replace parts of its context. */
export const createFakeOwner = (
	targets: readonly FakeTarget[],
	runtime: Runtime,
	appointments: Appointments = SELF_FENCING_APPOINTMENTS,
	overrides: Partial<DatabaseOwnerContext> = {},
): DatabaseOwner => {
	const owner = createDatabaseOwner({
		runtime,
		readSuspensionClock: createSuspensionClock(runtime),
		database: DATABASE,
		dial: createFakeDial(targets, runtime),
		readStatus: readFakeStatus(targets),
		appointments,
		getEvacuationDeadline: () => NEVER,
		getColdLimit: () => undefined,
		getTargetsCompleteAt: runtime.now,
		isDataCentreReachable: () => true,
		getConnectionLimit: () => 8,
		getAnyCustomer: () => brandId<CustomerId>('club'),
		getIdleTransactionMs: () => 3000,
		acquireToken: async () => Ok(undefined),
		onDecision: () => undefined,
		...overrides,
	});
	owner.setTargets(targets.map(({description}) => description));
	return owner;
};
