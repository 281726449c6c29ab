/** A database owner with fake targets, for tests on a virtual clock. */

import {
	createSuspensionClock, Ok, brandId, type CustomerId, type Runtime,
} from '@guavapitch/core';
import {SELF_FENCING_APPOINTMENTS} from '../appointments.js';
import {createDatabaseOwner, type DatabaseOwner, type DatabaseOwnerContext} from '../database-owner.js';
import {
	createFakeDial, DATABASE, readFakeStatus, type FakeTarget,
} from './fake-targets.js';

/** Creates a database owner whose registry lists the given targets; `overrides` replaces functions of its context. */
export const createFakeOwner = (targets: readonly FakeTarget[], runtime: Runtime, overrides: Partial<DatabaseOwnerContext> = {}): DatabaseOwner => {
	const owner = createDatabaseOwner({
		runtime,
		readSuspensionClock: createSuspensionClock(runtime),
		database: DATABASE,
		dial: createFakeDial(targets, runtime),
		readStatus: readFakeStatus(targets),
		appointments: SELF_FENCING_APPOINTMENTS,
		isDataCentreReachable: () => true,
		getKnownGroup: () => undefined,
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
