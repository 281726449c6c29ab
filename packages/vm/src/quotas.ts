/** Shares of customers over the fleet: this vm's tokens, and the keeper that gives them. */

import {
	createDeadline, Err, Ok, PAST, type CustomerId, type Deadline, type Failure, type Result,
} from '@guavapitch/core';
import {
	createQuotaClient, createQuotaAllocator, type TokenGrant, type TokenRequest, type QuotaClient, type QuotaAllocator, type Quota,
} from '@guavapitch/limits';
import type {RoleClaims} from '@guavapitch/roles';
import type {VmContext} from './context.js';
import type {Member} from './members.js';
import type {PeerClient} from './peer-client.js';
import type {ClusterView} from './cluster-view.js';

/** Duty of the keeper of all customers. */
export const ALLOCATOR_ROLE = 'shares';
/** Method by which vms ask the keeper. */
export const ALLOT_METHOD = 'allot';

/** What a vm asks the keeper, with what it knows of the store. */
export type TokenGrantMessage = Readonly<{request: TokenRequest; feedAgeMs: number}>;

/** Shares at one vm. */
export type Quotas = Readonly<{
	quotaClient: QuotaClient;
	/** Answers as keeper; `undefined` if this vm is not the keeper. */
	grantTokens: (question: TokenGrantMessage) => TokenGrant | undefined;
}>;

/** What the shares need of the vm. */
export type QuotaDependencies = Readonly<{
	view: ClusterView;
	getPeerClient: () => PeerClient;
	getRoleClaims: () => RoleClaims;
	getFeedAgeMs: () => number;
}>;

const ALLOT_TIMEOUT_MS = 300;
/** Validity of the keeper's authority at each answer, in milliseconds; it is checked again at the next one. */
const AUTHORITY_MS = 1000;
/** Age of knowledge above which a vm cannot have heard of another keeper, in milliseconds. */
const BLIND_MS = 1500;

/** Part of a burst that may be spent without the keeper, which may have given the whole of it away just before. */
const OWN_BURST_PART = 0.3;

/** Creates the shares of a vm. */
export const createQuotas = (context: VmContext, parts: QuotaDependencies): Quotas => {
	const {world, settings} = context;
	const {view} = parts;
	let keeper: QuotaAllocator | undefined;
	let keeperEpoch = -1;
	/** When somebody that knows the store's present state last asked while this vm's lease had lapsed. */
	let contradictedAt = Number.NEGATIVE_INFINITY;

	/**
	 * A keeper whose lease cannot be renewed goes on while nobody who asks it is in touch with the store:
	 * then nobody can have taken its place.
	 */
	const getAuthority = (): Deadline => {
		const isSure = parts.getRoleClaims().isHeld(ALLOCATOR_ROLE);
		const isBlind = parts.getFeedAgeMs() > BLIND_MS && world.now() - contradictedAt > BLIND_MS;
		return isSure || isBlind ? createDeadline(world.now(), AUTHORITY_MS) : PAST;
	};

	const getKeeper = (): QuotaAllocator | undefined => {
		const holder = parts.getRoleClaims().getHolder(ALLOCATOR_ROLE);
		if (holder?.run !== settings.run) {
			keeper = undefined;
			return undefined;
		}

		if (!keeper || keeperEpoch !== holder.epoch) {
			keeperEpoch = holder.epoch;
			keeper = createQuotaAllocator({
				world, epoch: holder.epoch, getAuthorityDeadline: getAuthority, getQuota: customer => view.getConfiguration()?.quotas.get(customer),
			});
		}

		return keeper;
	};

	const allot = ({request, feedAgeMs}: TokenGrantMessage): TokenGrant | undefined => {
		if (feedAgeMs < BLIND_MS && !parts.getRoleClaims().isHeld(ALLOCATOR_ROLE)) {
			contradictedAt = world.now();
		}

		return getKeeper()?.grantTokens(request);
	};

	const findKeeper = (): Member | undefined => {
		const holder = parts.getRoleClaims().getHolder(ALLOCATOR_ROLE);
		return holder && view.listMembers().find(({run}) => run === holder.run);
	};

	const ask = async (request: TokenRequest): Promise<Result<TokenGrant, Failure>> => {
		const question: TokenGrantMessage = {request, feedAgeMs: Math.round(Math.min(parts.getFeedAgeMs(), Number.MAX_SAFE_INTEGER))};
		const member = findKeeper();
		if (!member) {
			return Err({code: 'noKeeper', message: 'No keeper is known'});
		}

		if (member.run === settings.run) {
			const own = allot(question);
			return own ? Ok(own) : Err({code: 'noKeeper', message: 'This vm is no longer the keeper'});
		}

		const answer = await parts.getPeerClient().call(member, ALLOT_METHOD, question, ALLOT_TIMEOUT_MS);
		if (answer.err) {
			return answer;
		}

		return answer.val ? Ok(answer.val as TokenGrant) : Err({code: 'noKeeper', message: 'The vm is not the keeper'});
	};

	/** A database has one home, so that equal parts for each database add up to the share. */
	const getOwnPart = (customer: CustomerId): Quota | undefined => {
		const rules = view.getConfiguration();
		const share = rules?.quotas.get(customer);
		const parts = Math.max(1, rules?.databases.size ?? 1);
		return share && {rate: share.rate / parts, burst: Math.max(1, share.burst * OWN_BURST_PART / parts)};
	};

	return {
		quotaClient: createQuotaClient(ask, world, getOwnPart),
		grantTokens: allot,
	};
};
