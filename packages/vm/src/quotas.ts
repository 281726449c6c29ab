/** Customer quotas across the fleet: the quota client of a vm, and its quota allocator while the vm holds that role. */

import {
	createDeadline, Err, Ok, PAST, type CustomerId, type Deadline, type Failure, type Result,
} from '@guavapitch/core';
import {
	createQuotaClient, createQuotaAllocator, isTokenGrant, isTokenRequest, isZeroQuota, MAX_TOKEN_WAIT_MS,
	type TokenGrant, type TokenRequest, type QuotaAllocator, type Quota, type QuotaRefusal,
} from '@guavapitch/limits';
import type {RoleClaims} from '@guavapitch/roles';
import type {VmContext} from './context.js';
import type {Member} from './members.js';
import type {PeerClient} from './peer-client.js';
import type {ClusterView} from './cluster-view.js';
import {ALLOCATOR_ROLE} from './role-names.js';

/** Method by which vms request tokens from the quota allocator. */
export const GRANT_TOKENS_METHOD = 'allot';

/** Request of a vm to the quota allocator, with the age of the vm's view of the store. */
export type TokenRequestMessage = Readonly<{request: TokenRequest; feedAgeMs: number}>;

/** Quota client and quota allocator of one vm. */
export type Quotas = Readonly<{
	/** Acquires a token for one request; succeeds at once for a customer without a quota, and fails at once for one whose quota allows nothing. */
	acquireToken: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, QuotaRefusal>>;
	/** Grants tokens as the quota allocator; returns `undefined` if this vm does not hold that role. */
	grantTokens: (message: TokenRequestMessage) => TokenGrant | undefined;
}>;

/** Dependencies of the quotas of a vm. */
export type QuotaDependencies = Readonly<{
	view: ClusterView;
	getPeerClient: () => PeerClient;
	getRoleClaims: () => RoleClaims;
	/** Returns the age of this vm's view of the store, in milliseconds. */
	getFeedAgeMs: () => number;
}>;

const TOKEN_REQUEST_TIMEOUT_MS = 300;
/** Validity of the allocator's authority after each check, in milliseconds; every request checks it again. */
const AUTHORITY_VALIDITY_MS = 1000;
/** Age of a vm's view of the store above which the vm counts as out of contact with the store, so that it cannot have learned of another allocator, in milliseconds. */
const STALE_CONTACT_MS = 1500;

/** Fraction of a burst that may be used without the allocator, which may have granted the whole burst just before. */
const FALLBACK_BURST_FRACTION = 0.3;

/** Creates the quotas of a vm. */
export const createQuotas = (context: VmContext, dependencies: QuotaDependencies): Quotas => {
	const {runtime, settings} = context;
	const {view} = dependencies;
	let allocator: QuotaAllocator | undefined;
	let allocatorEpoch = -1;
	/** Time at which a vm in contact with the store last sent a request while this vm's lease was not confirmed. */
	let lastFreshRequestAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * An allocator whose lease cannot be renewed continues while no vm that sends it requests is in contact with the store:
	 * no other vm can then have taken over the role.
	 */
	const getAuthorityDeadline = (): Deadline => {
		const isLeaseConfirmed = dependencies.getRoleClaims().isHeld(ALLOCATOR_ROLE);
		const isStoreContactStale = dependencies.getFeedAgeMs() > STALE_CONTACT_MS && runtime.now() - lastFreshRequestAtMs > STALE_CONTACT_MS;
		return isLeaseConfirmed || isStoreContactStale ? createDeadline(runtime.now(), AUTHORITY_VALIDITY_MS) : PAST;
	};

	const getAllocator = (): QuotaAllocator | undefined => {
		const holder = dependencies.getRoleClaims().getHolder(ALLOCATOR_ROLE);
		if (holder?.run !== settings.run) {
			allocator = undefined;
			return undefined;
		}

		if (!allocator || allocatorEpoch !== holder.epoch) {
			allocatorEpoch = holder.epoch;
			allocator = createQuotaAllocator({
				runtime, epoch: holder.epoch, getAuthorityDeadline, getQuota: customer => view.getConfiguration()?.quotas.get(customer),
			});
		}

		return allocator;
	};

	const grantTokens = ({request, feedAgeMs}: TokenRequestMessage): TokenGrant | undefined => {
		if (feedAgeMs < STALE_CONTACT_MS && !dependencies.getRoleClaims().isHeld(ALLOCATOR_ROLE)) {
			lastFreshRequestAtMs = runtime.now();
		}

		return isTokenRequest(request) ? getAllocator()?.grantTokens(request) : undefined;
	};

	const findAllocator = (): Member | undefined => {
		const holder = dependencies.getRoleClaims().getHolder(ALLOCATOR_ROLE);
		return holder && view.listMembers().find(({run}) => run === holder.run);
	};

	const requestTokens = async (request: TokenRequest): Promise<Result<TokenGrant, Failure>> => {
		const message: TokenRequestMessage = {request, feedAgeMs: Math.round(Math.min(dependencies.getFeedAgeMs(), Number.MAX_SAFE_INTEGER))};
		const member = findAllocator();
		if (!member) {
			return Err({code: 'noKeeper', message: 'No vm is known to hold the quota allocator role'});
		}

		if (member.run === settings.run) {
			const grant = grantTokens(message);
			return grant ? Ok(grant) : Err({code: 'noKeeper', message: 'This vm no longer holds the quota allocator role'});
		}

		const response = await dependencies.getPeerClient().call(member, GRANT_TOKENS_METHOD, message, TOKEN_REQUEST_TIMEOUT_MS);
		if (response.err) {
			return response;
		}

		return isTokenGrant(response.val)
			? Ok(response.val)
			: Err({code: 'noKeeper', message: 'The vm that received the token request does not hold the quota allocator role, or sent a malformed grant'});
	};

	/** Returns the fallback quota of a customer at one database; `undefined` if the customer has no quota. Each database has one owner, so the equal fractions of all databases add up to the quota. */
	const getFallbackQuota = (customer: CustomerId): Quota | undefined => {
		const configuration = view.getConfiguration();
		const quota = configuration?.quotas.get(customer);
		const databaseCount = Math.max(1, configuration?.databases.size ?? 1);
		return quota && {rate: quota.rate / databaseCount, burst: Math.max(1, quota.burst * FALLBACK_BURST_FRACTION / databaseCount)};
	};

	const quotaClient = createQuotaClient(requestTokens, runtime, getFallbackQuota);

	return {
		async acquireToken(customer, deadline) {
			const quota = view.getConfiguration()?.quotas.get(customer);
			if (!quota) {
				return Ok(undefined);
			}

			return isZeroQuota(quota)
				? Err({code: 'limitExceeded', message: 'The quota of the customer allows no requests', retryAfterMs: MAX_TOKEN_WAIT_MS})
				: quotaClient.acquire(customer, deadline);
		},
		grantTokens,
	};
};
