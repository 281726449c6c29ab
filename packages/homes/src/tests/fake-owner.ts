/** A home over fake targets, for tests on a virtual clock. */

import {
	createSuspensionClock, Ok, parseId, type CustomerId, type World,
} from '@guavapitch/core';
import {createDatabaseOwner, type DatabaseOwner} from '../database-owner.js';
import {
	createFakeDial, DATABASE, readFakeStatus, type FakeTarget,
} from './fake-targets.js';

/** Creates a home that knows the targets as they describe themselves. */
export const createFakeOwner = (targets: readonly FakeTarget[], world: World): DatabaseOwner => {
	const home = createDatabaseOwner({
		world,
		readClock: createSuspensionClock(world),
		database: DATABASE,
		dial: createFakeDial(targets, world),
		readStatus: readFakeStatus(targets),
		getConnectionLimit: () => 8,
		getAnyCustomer: () => parseId<CustomerId>('club'),
		getIdleTransactionMs: () => 3000,
		acquireToken: async () => Ok(undefined),
		onDecision: () => undefined,
	});
	home.setTargets(targets.map(({description}) => description));
	return home;
};
