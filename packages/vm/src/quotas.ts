/** Customer quotas across the fleet: the quota clients of a vm, its contact with the quota allocator, and the allocator while the vm holds that role. */

import {
	createDeadline, Err, getRemainingMs, Ok, PAST, type CustomerId, type Deadline, type Failure, type Result,
} from '@guavapitch/core';
import {
	computeContactTiming, computeShare, createAllocatorContact, createQuotaClient, createQuotaAllocator, createShareLedger, isTokenGrant, isTokenRequest, isZeroQuota,
	MAX_TOKEN_WAIT_MS, REPORT_TIMEOUT_MS, SHARE_MAX_AGE_MS,
	type Clocks, type ContactReport, type QuotaAllocator, type QuotaClient, type QuotaRefusal, type ShareHolder, type ShareLedger, type TokenGrant, type TokenRequest, type UsableShare,
} from '@guavapitch/limits';
import type {HolderRecord, RoleClaims} from '@guavapitch/roles';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import type {Member} from './members.js';
import type {PeerClient} from './peer-client.js';
import type {ClusterView} from './cluster-view.js';
import {ALLOCATOR_ROLE} from './role-names.js';
import {createViewAge} from './view-age.js';

/** Method by which vms request tokens from the quota allocator. */
export const GRANT_TOKENS_METHOD = 'allot';
/** Method by which vms report to the quota allocator, so that each knows that the other is there. */
export const REPORT_CONTACT_METHOD = 'contact';

/** Request of a vm to the quota allocator, with the age of the vm's view of the store. */
export type TokenRequestMessage = Readonly<{request: TokenRequest; feedAgeMs: number}>;

/** Report of a vm to the quota allocator of an epoch; one with `isLeaving` asks it to forget the vm. Sent often, so it names neither the vm nor its run, which are known from the connection. */
export type ContactMessage = Omit<ContactReport, 'vm' | 'run'> & Readonly<{epoch: number; feedAgeMs: number; isLeaving?: boolean}>;

/** Quota clients and quota allocator of one vm. */
export type Quotas = Readonly<{
	/** Acquires a token at the owner of a database; succeeds at once for a customer without a quota, and fails at once for one whose quota allows nothing, or if no allocator responds (`unallocated`). */
	acquireAtOwner: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, QuotaRefusal>>;
	/** Acquires a token at the vm at which a request arrived, whose owner has no allocator: from the allocator, or from the share of this vm. */
	acquireAtEntry: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, QuotaRefusal>>;
	/** Grants tokens as the quota allocator; returns `undefined` if this vm does not hold that role. */
	grantTokens: (message: TokenRequestMessage) => TokenGrant | undefined;
	/** Records the report of a vm as the quota allocator; returns `false` if this vm does not hold that role in the epoch, and has forgotten the other vm. */
	receiveReport: (message: ContactMessage, from: ShareHolder) => boolean;
	/** Reports to the quota allocator until the signal aborts. */
	reportContact: (signal: AbortSignal) => Promise<void>;
}>;

/** Dependencies of the quotas of a vm. */
export type QuotaDependencies = Readonly<{
	view: ClusterView;
	getPeerClient: () => PeerClient;
	getRoleClaims: () => RoleClaims;
	/** Returns the age of this vm's view of the store, in milliseconds. */
	getFeedAgeMs: () => number;
}>;

/** The allocator of one epoch, and the vms that it is in contact with. */
type ActiveAllocator = Readonly<{epoch: number; allocator: QuotaAllocator; ledger: ShareLedger}>;

const TOKEN_REQUEST_TIMEOUT_MS = 300;
/** Validity of the allocator's authority after each check, in milliseconds; every request checks it again. */
const AUTHORITY_VALIDITY_MS = 1000;
/** Age of a vm's view of the store above which the vm counts as out of contact with the store, so that it cannot have learned of another allocator, in milliseconds. */
const STALE_CONTACT_MS = 1500;

/** Creates the quotas of a vm. */
export const createQuotas = (context: VmContext, dependencies: QuotaDependencies): Quotas => {
	const {
		runtime, settings, emit, metrics, readSuspensionClock,
	} = context;
	const {view} = dependencies;
	const clocks: Clocks = {now: runtime.now, readSuspensionClock};
	const viewAge = createViewAge(clocks, dependencies.getFeedAgeMs);
	const contact = createAllocatorContact(clocks, settings.vm, settings.run);
	let active: ActiveAllocator | undefined;
	/** Time at which a vm in contact with the store last sent a request while this vm's lease was not confirmed. */
	let lastFreshRequestAtMs = Number.NEGATIVE_INFINITY;
	/** Holder of the role to which this vm is bound; a former one may no longer be registered. */
	let boundHolder: Readonly<{holder: HolderRecord; member: Member}> | undefined;

	const getFeedAgeMs = (): number => Math.round(Math.min(dependencies.getFeedAgeMs(), Number.MAX_SAFE_INTEGER));
	const getHolder = (): HolderRecord | undefined => dependencies.getRoleClaims().getHolder(ALLOCATOR_ROLE);

	/**
	 * An allocator whose lease cannot be renewed continues while no vm that sends it requests is in contact with the store:
	 * no other vm in contact with it can then have taken over the role. Another one that has grants only the shares of the vms in contact with that.
	 */
	const getAuthorityDeadline = (): Deadline => {
		const isLeaseConfirmed = dependencies.getRoleClaims().isHeld(ALLOCATOR_ROLE);
		const isStoreContactStale = dependencies.getFeedAgeMs() > STALE_CONTACT_MS && runtime.now() - lastFreshRequestAtMs > STALE_CONTACT_MS;
		return isLeaseConfirmed || isStoreContactStale ? createDeadline(runtime.now(), AUTHORITY_VALIDITY_MS) : PAST;
	};

	const getActive = (): ActiveAllocator | undefined => {
		const holder = getHolder();
		if (holder?.run !== settings.run) {
			active = undefined;
			return undefined;
		}

		if (active?.epoch !== holder.epoch) {
			const ledger = createShareLedger(view.listMembers, clocks);
			active = {
				epoch: holder.epoch,
				ledger,
				allocator: createQuotaAllocator({
					runtime,
					epoch: holder.epoch,
					getAuthorityDeadline,
					getQuota: customer => view.getConfiguration()?.quotas.get(customer),
					computeFractions: ledger.computeFractions,
				}),
			};
		}

		return active;
	};

	const recordFreshness = (feedAgeMs: number) => {
		if (feedAgeMs < STALE_CONTACT_MS && !dependencies.getRoleClaims().isHeld(ALLOCATOR_ROLE)) {
			lastFreshRequestAtMs = runtime.now();
		}
	};

	const grantTokens = ({request, feedAgeMs}: TokenRequestMessage): TokenGrant | undefined => {
		recordFreshness(feedAgeMs);
		return isTokenRequest(request) ? getActive()?.allocator.grantTokens(request) : undefined;
	};

	const receiveReport = ({epoch, feedAgeMs, isLeaving, ...report}: ContactMessage, from: ShareHolder): boolean => {
		recordFreshness(feedAgeMs);
		const current = getActive();
		if (current?.epoch !== epoch) {
			return false;
		}

		if (isLeaving === true || getAuthorityDeadline() === PAST) {
			current.ledger.forget(from.vm);
			return false;
		}

		current.ledger.record({...report, vm: from.vm, run: from.run});
		return true;
	};

	const findMember = (holder: HolderRecord): Member | undefined => view.listMembers().find(({run}) => run === holder.run);

	const requestTokens = async (request: TokenRequest): Promise<Result<TokenGrant, Failure>> => {
		const message: TokenRequestMessage = {request, feedAgeMs: getFeedAgeMs()};
		const holder = getHolder();
		const member = holder && findMember(holder);
		if (!member || !contact.isAnswering(holder.epoch)) {
			return Err({code: 'notSent', message: 'No vm is known to hold the quota allocator role, or it does not answer'});
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

	/** Returns the share of a customer's quota that this vm may use by itself; `undefined` if it may use none. */
	const getShare = (customer: CustomerId): UsableShare | undefined => {
		const quota = view.getConfiguration()?.quotas.get(customer);
		const since = contact.getFreeSince();
		const members = view.listMembers();
		if (!quota || since === undefined || viewAge.getAgeMs() > SHARE_MAX_AGE_MS || !members.some(({run}) => run === settings.run)) {
			return undefined;
		}

		const share = computeShare(customer, quota, settings.vm, {vms: members.map(({vm}) => vm), vmCount: contact.getVmCount(members.length)});
		return share && {quota: share, since};
	};

	const quotaClient = createQuotaClient(requestTokens, runtime, getShare, readSuspensionClock);

	const acquire = async (customer: CustomerId, deadline: Deadline, acquireToken: QuotaClient['acquireOrDecline']): Promise<Result<undefined, QuotaRefusal>> => {
		const quota = view.getConfiguration()?.quotas.get(customer);
		if (!quota) {
			return Ok(undefined);
		}

		return isZeroQuota(quota)
			? Err({code: 'limitExceeded', message: 'The quota of the customer allows no requests', retryAfterMs: MAX_TOKEN_WAIT_MS})
			: acquireToken(customer, deadline);
	};

	/** Sends a report to a holder of the role; resolves to its answer, `undefined` if there is none. */
	const callHolder = async (member: Member, epoch: number, {vm, run, ...report}: ContactReport, isLeaving: boolean): Promise<boolean | undefined> => {
		const message: ContactMessage = {
			...report, epoch, feedAgeMs: getFeedAgeMs(), ...(isLeaving && {isLeaving}),
		};
		if (member.run === run) {
			return receiveReport(message, {vm, run});
		}

		const response = await dependencies.getPeerClient().call(member, REPORT_CONTACT_METHOD, message, REPORT_TIMEOUT_MS);
		return response.ok && typeof response.val === 'boolean' ? response.val : undefined;
	};

	/** Reports to the holder of the role, and asks a former one to forget this vm; resolves to whether the holder answered. */
	const reportOnce = async (): Promise<boolean> => {
		const holder = getHolder();
		const boundEpoch = contact.getBoundEpoch();
		if (boundHolder && boundEpoch === boundHolder.holder.epoch && holder?.epoch !== boundEpoch) {
			const {report} = contact.createReport(boundEpoch, view.listMembers().length);
			if (await callHolder(boundHolder.member, boundEpoch, report, true) === false) {
				contact.recordRelease(boundEpoch);
			}
		}

		const member = holder && findMember(holder);
		if (!member) {
			return false;
		}

		if (contact.getBoundEpoch() === undefined) {
			boundHolder = {holder, member};
		}

		const sent = contact.createReport(holder.epoch, view.listMembers().length);
		const isCounted = await callHolder(member, holder.epoch, sent.report, false);
		if (isCounted) {
			contact.recordAnswer(sent);
		} else if (isCounted === false) {
			contact.recordRelease(holder.epoch);
		}

		return isCounted === true;
	};

	let wasFree = true;

	/** Logs when this vm begins or ends to use its shares, with the tokens that its customers have acquired so far. */
	const recordRegime = () => {
		const isFree = contact.getFreeSince() !== undefined;
		metrics.gauge('quota.free', isFree ? 1 : 0);
		if (active) {
			const {inContact, withheld} = active.ledger.countVms();
			metrics.gauge('quota.inContact', inContact);
			metrics.gauge('quota.withheld', withheld);
		}

		if (isFree !== wasFree) {
			wasFree = isFree;
			const counts = [...quotaClient.getAcquiredCounts()].filter(([, {shared}]) => shared > 0);
			emit(EVENTS.quotaRegimeChanged, {
				regime: isFree ? 'share' : 'allocator',
				epoch: getHolder()?.epoch,
				vms: view.listMembers().length,
				customers: counts.map(([customer, {granted, shared}]) => `${customer}: ${granted} granted, ${shared} shared`),
			});
		}
	};

	return {
		acquireAtOwner: async (customer, deadline) => acquire(customer, deadline, quotaClient.acquireOrDecline),
		acquireAtEntry: async (customer, deadline) => acquire(customer, deadline, quotaClient.acquire),
		grantTokens,
		receiveReport,
		async reportContact(signal) {
			while (!signal.aborted) {
				const startedAt = runtime.now();
				viewAge.sample();
				const isAnswered = Boolean(view.getConfiguration()?.quotas.size) && await reportOnce();
				recordRegime();

				const epoch = getHolder()?.epoch;
				if (isAnswered && contact.isAnswering(epoch) && contact.getBoundEpoch() === epoch && !contact.isEstablished(epoch)) {
					// The allocator counts this vm from the next report on, which names the answered one.
					continue;
				}

				const {intervalMs, firstIntervalMs} = computeContactTiming(view.listMembers().length);
				const nextAt = createDeadline(startedAt, contact.isEstablished(epoch) ? intervalMs : firstIntervalMs);
				await runtime.sleep(getRemainingMs(nextAt, runtime.now()), signal).catch(() => undefined);
			}
		},
	};
};
