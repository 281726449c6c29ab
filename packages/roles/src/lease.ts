/** The one lease of a process, shared by all the slots it holds. */

import {
	createSingleFlight, Err, Ok, PAST, type Deadline, type Result, type World,
} from '@guavapitch/core';
import type {Lease, Store, StoreFailure} from '@guavapitch/store';

/** Lease of a process. */
export type ProcessLease = Readonly<{
	/** Gets a living lease, granting one if there is none. */
	acquire: () => Promise<Result<Lease, StoreFailure>>;
	/** Renews the lease; calls at the same time share one renewal. */
	renew: () => Promise<Result<Lease, StoreFailure>>;
	/** Gets the deadline until which the lease surely lives. */
	getDeadline: () => Deadline;
	/** Ends the lease. */
	revoke: () => Promise<void>;
}>;

/** Life of a lease without renewal, in whole seconds as the store counts. */
export const LEASE_TTL_SECONDS = 2;

/** Creates the lease of a process; nothing is granted yet. */
export const createProcessLease = (store: Store, world: World): ProcessLease => {
	let lease: Lease | undefined;

	const isLiving = () => lease !== undefined && world.now() < lease.deadline;

	const require = createSingleFlight(async (): Promise<Result<Lease, StoreFailure>> => {
		if (lease && isLiving()) {
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
			return Err({code: 'leaseLost', message: 'There is no lease'});
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
		acquire: require,
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
