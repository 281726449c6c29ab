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
import type {CallVm, Fleet} from './fleet.js';

/** Keepers of one process. */
export type Keepers = Readonly<{
	/** Keeps the customers of a slot until the signal aborts. */
	act: (authority: Authority, signal: AbortSignal) => Promise<void>;
	/** Answers an entry; `undefined` if this process is not the keeper. */
	allot: (request: TokenRequest) => TokenGrant | undefined;
	/** Asks the keeper of a customer, wherever it runs. */
	ask: RequestTokens;
}>;

const ASK_TIMEOUT_MS = 250;
const NO_KEEPER: Failure = {code: 'noKeeper', message: 'The customer has no keeper now'};

/** Creates the keepers of a process. */
export const createKeepers = (world: World, fleet: Fleet, callVm: CallVm): Keepers => {
	const held = new Map<string, QuotaAllocator>();

	const getSlot = (customer: CustomerId): string => chooseSlot('keeper', fleet.inForce.getInventory()?.fleet.keeperSlots ?? 1, customer);

	const getShare = (customer: CustomerId) => fleet.inForce.getInventory()?.customers[customer];

	return {
		async act(authority, signal) {
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
		allot: request => held.get(getSlot(parseId<CustomerId>(request.customer)))?.grantTokens(request),
		async ask(request): Promise<Result<TokenGrant, Failure>> {
			const entry = fleet.facts.get(`${ROLE_PREFIX}${getSlot(request.customer)}`);
			const record = entry ? parseSlotRecord(entry.value) : undefined;
			if (!record?.ok) {
				return Err(NO_KEEPER);
			}

			const reply = await callVm<TokenGrant | null>(record.val.holder.vm, 'allot', request, ASK_TIMEOUT_MS);
			return reply.andThen(allotment => allotment ? reply.map(() => allotment) : Err(NO_KEEPER));
		},
	};
};
