/** Runs the quota allocators of this process, and requests tokens for the entry from the allocator of a customer. */

import {
	Err, Ok, brandId, type CustomerId, type Failure, type Result, type Runtime,
} from '@guavapitch/core';
import {
	createQuotaAllocator, isTokenGrant, type TokenGrant, type TokenRequest, type RequestTokens, type QuotaAllocator,
} from '@guavapitch/limits';
import {
	chooseSlot, parseSlotRecord, ROLE_PREFIX, type Authority,
} from '@guavapitch/roles';
import type {CallVm, ClusterView} from './cluster-view.js';

/** Quota allocators of one process. */
export type QuotaAllocators = Readonly<{
	/** Allocates quota to the customers of a slot until the signal aborts. */
	runAsHolder: (authority: Authority, signal: AbortSignal) => Promise<void>;
	/** Grants tokens to an entry; `undefined` if this process is not the customer's quota allocator. */
	grantTokens: (request: TokenRequest) => TokenGrant | undefined;
	/** Requests tokens from the quota allocator of a customer, which may run on another vm. */
	requestTokens: RequestTokens;
}>;

const REQUEST_TIMEOUT_MS = 250;
const NO_ALLOCATOR: Failure = {code: 'noKeeper', message: 'The customer has no active quota allocator'};

/** Creates the quota allocators of a process; none is active until a slot is gained. */
export const createQuotaAllocators = (runtime: Runtime, clusterView: ClusterView, callVm: CallVm): QuotaAllocators => {
	const allocators = new Map<string, QuotaAllocator>();

	const getSlot = (customer: CustomerId): string => chooseSlot('keeper', clusterView.activeConfiguration.getInventory()?.fleet.keeperSlots ?? 1, customer);

	const getQuota = (customer: CustomerId) => clusterView.activeConfiguration.getInventory()?.customers[customer];

	return {
		async runAsHolder(authority, signal) {
			const allocator = createQuotaAllocator({
				runtime, epoch: authority.epoch, getAuthorityDeadline: authority.getDeadline, getQuota,
			});
			allocators.set(authority.slot, allocator);
			await new Promise<void>(resolve => {
				if (signal.aborted) {
					resolve();
				}

				signal.addEventListener('abort', () => {
					resolve();
				}, {once: true});
			});
			allocators.delete(authority.slot);
		},
		grantTokens: request => allocators.get(getSlot(brandId<CustomerId>(request.customer)))?.grantTokens(request),
		async requestTokens(request): Promise<Result<TokenGrant, Failure>> {
			const entry = clusterView.storeCache.get(`${ROLE_PREFIX}${getSlot(request.customer)}`);
			const record = entry ? parseSlotRecord(entry.value) : undefined;
			if (!record?.ok) {
				return Err(NO_ALLOCATOR);
			}

			const response = await callVm<unknown>(record.val.holder.vm, 'allot', request, REQUEST_TIMEOUT_MS);
			return response.andThen(grant => isTokenGrant(grant) ? Ok(grant) : Err(NO_ALLOCATOR));
		},
	};
};
