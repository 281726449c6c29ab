/** The keepers that run in this process, and how entries ask the keeper of a customer. */

import {
	Err, parseId, type CustomerId, type Failure, type Result, type World,
} from '@guavapitch/core';
import {
	createQuotaAllocator, type TokenGrant, type TokenRequest, type RequestTokens, type QuotaAllocator,
} from '@guavapitch/limits';
import {
	chooseSlot, parseSlotRecord, ROLE_PREFIX, type Authority,
} from '@guavapitch/roles';
import type {CallVm, ClusterView} from './cluster-view.js';

/** Keepers of one process. */
export type QuotaAllocators = Readonly<{
	/** Keeps the customers of a slot until the signal aborts. */
	runAsHolder: (authority: Authority, signal: AbortSignal) => Promise<void>;
	/** Answers an entry; `undefined` if this process is not the keeper. */
	grantTokens: (request: TokenRequest) => TokenGrant | undefined;
	/** Asks the keeper of a customer, wherever it runs. */
	requestTokens: RequestTokens;
}>;

const ASK_TIMEOUT_MS = 250;
const NO_KEEPER: Failure = {code: 'noKeeper', message: 'The customer has no keeper now'};

/** Creates the keepers of a process. */
export const createQuotaAllocators = (world: World, fleet: ClusterView, callVm: CallVm): QuotaAllocators => {
	const held = new Map<string, QuotaAllocator>();

	const getSlot = (customer: CustomerId): string => chooseSlot('keeper', fleet.inForce.getInventory()?.fleet.keeperSlots ?? 1, customer);

	const getShare = (customer: CustomerId) => fleet.inForce.getInventory()?.customers[customer];

	return {
		async runAsHolder(authority, signal) {
			const keeper = createQuotaAllocator({
				world, epoch: authority.epoch, getAuthorityDeadline: authority.getDeadline, getQuota: getShare,
			});
			held.set(authority.slot, keeper);
			await new Promise<void>(resolve => {
				if (signal.aborted) {
					resolve();
				}

				signal.addEventListener('abort', () => {
					resolve();
				}, {once: true});
			});
			held.delete(authority.slot);
		},
		grantTokens: request => held.get(getSlot(parseId<CustomerId>(request.customer)))?.grantTokens(request),
		async requestTokens(request): Promise<Result<TokenGrant, Failure>> {
			const entry = fleet.storeCache.get(`${ROLE_PREFIX}${getSlot(request.customer)}`);
			const record = entry ? parseSlotRecord(entry.value) : undefined;
			if (!record?.ok) {
				return Err(NO_KEEPER);
			}

			const reply = await callVm<TokenGrant | null>(record.val.holder.vm, 'allot', request, ASK_TIMEOUT_MS);
			return reply.andThen(allotment => allotment ? reply.map(() => allotment) : Err(NO_KEEPER));
		},
	};
};
