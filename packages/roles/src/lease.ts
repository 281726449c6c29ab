/** The single store lease of a process, shared by all slots that it holds. */

import {
	createSingleFlight, Err, Ok, PAST, type Deadline, type Result, type Runtime,
} from '@guavapitch/core';
import type {Lease, Store, StoreFailure} from '@guavapitch/store';

/** Store lease of a process. */
export type ProcessLease = Readonly<{
	/** Returns the current lease if it is still valid; requests a new one from the store otherwise. */
	acquire: () => Promise<Result<Lease, StoreFailure>>;
	/** Renews the lease; concurrent calls share one renewal. Fails with `leaseLost` if there is no lease or it has expired in the store. */
	renew: () => Promise<Result<Lease, StoreFailure>>;
	/** Returns the deadline until which the lease is confirmed to be valid; in the past if there is no lease. */
	getDeadline: () => Deadline;
	/** Revokes the lease in the store. */
	revoke: () => Promise<void>;
}>;

/** Lifetime of a lease without renewal, in whole seconds because the store counts in seconds. */
export const LEASE_TTL_SECONDS = 2;

/** Creates the lease of a process; the store is not contacted yet. */
export const createProcessLease = (store: Store, runtime: Runtime): ProcessLease => {
	let lease: Lease | undefined;

	const isValid = () => lease !== undefined && runtime.now() < lease.deadline;

	const acquire = createSingleFlight(async (): Promise<Result<Lease, StoreFailure>> => {
		if (lease && isValid()) {
			return Ok(lease);
		}

		const granted = await store.grantLease(LEASE_TTL_SECONDS);
		if (granted.ok) {
			lease = granted.val;
		}

		return granted;
	});

	const renew = createSingleFlight(async (): Promise<Result<Lease, StoreFailure>> => {
		if (!lease) {
			return Err({code: 'leaseLost', message: 'The process has no store lease to renew'});
		}

		const renewed = await store.renewLease(lease.id);
		if (renewed.ok) {
			lease = renewed.val;
		} else if (renewed.val.code === 'leaseLost') {
			lease = undefined;
		}

		return renewed;
	});

	return {
		acquire,
		renew,
		getDeadline: () => lease?.deadline ?? PAST,
		async revoke() {
			if (lease) {
				await store.revokeLease(lease.id);
				lease = undefined;
			}
		},
	};
};
