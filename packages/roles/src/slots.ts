/** Holding a slot: one task from the claim to the loss, again and again. */

import {
	chooseEarliest, createDeadline, getRemainingMs, isPast, PAST, type Deadline, type Failure, type Result, type World,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import type {ProcessLease} from './lease.js';
import type {TakeoverPromises, TakeoverPromiseRequest} from './takeover-promises.js';
import {
	HOLDER_LEASE_PREFIX, formatSlotRecord, parseSlotRecord, ROLE_PREFIX, type Candidate, type SlotRecord,
} from './records.js';

/** Authority over a slot: valid before a deadline, which moves while the slot is held. */
export type Authority = Readonly<{
	slot: string;
	epoch: number;
	/** Gets the deadline; whoever acts under it checks it after every wait. */
	getDeadline: () => Deadline;
}>;

/** Why the authority was extended. */
export type ExtensionSource = 'lease' | 'promises';

/** What the task that holds a slot needs. */
export type SlotContext = Readonly<{
	world: World;
	store: Store;
	lease: ProcessLease;
	promises: TakeoverPromises;
	self: Candidate;
	slot: string;
	/** Ranks the live vms for the slot, best first. */
	rankCandidates: () => readonly Candidate[];
	/** Asks a candidate for a promise. */
	requestPromise: (candidate: Candidate, request: TakeoverPromiseRequest) => Promise<Result<boolean, Failure>>;
	/** Tells whether a run of a process is surely over: another one answers, or the platform's list has dropped the vm. */
	isConfirmedGone: (candidate: Candidate) => boolean;
	/** Acts as holder until the signal aborts. */
	runAsHolder: (authority: Authority, signal: AbortSignal) => Promise<void>;
	onGained: (slot: string, epoch: number) => void;
	onLost: (slot: string, epoch: number) => void;
	onExtended: (slot: string, by: ExtensionSource) => void;
}>;

/** Time for which candidates promise, in milliseconds. */
export const PROMISE_VALIDITY_MS = 1500;

const CONTENDERS = 3;
const CANDIDATES = 2;
const POLL_MS = 400;
const RENEW_MS = 400;
/** Allowance for clocks that run at different rates. */
const DRIFT_MS = 100;

type Claim = Readonly<{record: SlotRecord; revision: number}>;

const isSame = (a: Candidate, b: Candidate): boolean => a.vm === b.vm && a.incarnation === b.incarnation;

const formatOwner = (candidate: Candidate): string => `${candidate.vm}/${candidate.incarnation}`;

const chooseCandidates = (context: SlotContext): readonly Candidate[] => context.rankCandidates()
	.filter(candidate => candidate.vm !== context.self.vm && candidate.incarnation !== '')
	.slice(0, CANDIDATES);

const mayClaim = (context: SlotContext, record: SlotRecord | undefined): boolean => {
	const {self} = context;
	if (!record || isSame(record.holder, self) || record.candidates.some(candidate => isSame(candidate, self))) {
		return true;
	}

	const isContender = context.rankCandidates().slice(0, CONTENDERS).some(candidate => isSame(candidate, self));
	return isContender && (record.candidates.length === 0 || record.candidates.some(candidate => context.isConfirmedGone(candidate)));
};

/** What a claim is based on, as read from the store. */
type Opening = Readonly<{record: SlotRecord | undefined; recordRevision: number; aliveRevision: number}>;

/** Reads whether the slot may be claimed; `undefined` if not, or if the store does not answer. */
const readOpening = async (context: SlotContext): Promise<Opening | undefined> => {
	const {store, slot, self} = context;
	const alive = await store.read(`${HOLDER_LEASE_PREFIX}${slot}`);
	if (alive.err || (alive.val !== undefined && alive.val.value !== formatOwner(self))) {
		return undefined;
	}

	const found = await store.read(`${ROLE_PREFIX}${slot}`);
	const record = found.ok && found.val ? parseSlotRecord(found.val.value).unwrapOr(undefined) : undefined;
	return found.err || !mayClaim(context, record)
		? undefined
		: {record, recordRevision: found.val?.revision ?? 0, aliveRevision: alive.val?.revision ?? 0};
};

/** Takes the slot's living entry and then its record; `undefined` if somebody else holds it or the store does not answer. */
const claimSlot = async (context: SlotContext): Promise<Claim | undefined> => {
	const {store, slot, self, lease, promises} = context;
	const opening = await readOpening(context);
	const living = opening ? await lease.acquire() : undefined;
	if (!opening || !living?.ok || !promises.beginClaim(slot)) {
		return undefined;
	}

	// From here on no promise is given, and none was given before that still holds.
	using claiming = {
		[Symbol.dispose]() {
			promises.endClaim(slot);
		},
	};
	const entered = await store.compareAndSwap(`${HOLDER_LEASE_PREFIX}${slot}`, opening.aliveRevision, formatOwner(self), living.val.id);
	if (entered.err || !entered.val.swapped) {
		return undefined;
	}

	const next: SlotRecord = {epoch: (opening.record?.epoch ?? 0) + 1, holder: self, candidates: chooseCandidates(context)};
	const written = await store.compareAndSwap(`${ROLE_PREFIX}${slot}`, opening.recordRevision, formatSlotRecord(next));
	return written.ok && written.val.swapped ? {record: next, revision: written.val.current?.revision ?? 0} : undefined;
};

/** Asks every candidate for a promise; gives the deadline until which none will take over. */
const collectPromises = async (context: SlotContext, record: SlotRecord): Promise<Deadline> => {
	const askedAt = context.world.now();
	if (record.candidates.length === 0) {
		return PAST;
	}

	const answers = await Promise.all(record.candidates.map(async candidate => {
		const answer = await context.requestPromise(candidate, {
			slot: context.slot, epoch: record.epoch, validMs: PROMISE_VALIDITY_MS, incarnation: candidate.incarnation,
		});
		return answer.ok && answer.val ? createDeadline(askedAt, PROMISE_VALIDITY_MS - DRIFT_MS) : PAST;
	}));
	return chooseEarliest(answers);
};

/** Keeps the candidates in line with the ranking: only the best ranked contend, so only they can take over in time. */
const refreshCandidates = async (context: SlotContext, claim: Claim): Promise<Claim> => {
	const wanted = chooseCandidates(context);
	const isGood = wanted.length === claim.record.candidates.length
		&& wanted.every(candidate => claim.record.candidates.some(one => isSame(one, candidate)));
	if (isGood) {
		return claim;
	}

	const record: SlotRecord = {...claim.record, candidates: wanted};
	const written = await context.store.compareAndSwap(`${ROLE_PREFIX}${context.slot}`, claim.revision, formatSlotRecord(record));
	return written.ok && written.val.swapped ? {record, revision: written.val.current?.revision ?? 0} : claim;
};

/** Attaches a held slot to a new lease after the old one has lapsed, if nobody else has taken it meanwhile. */
const reattachSlot = async (context: SlotContext, claim: Claim): Promise<boolean> => {
	const {store, slot, self, lease} = context;
	const living = await lease.acquire();
	const alive = await store.read(`${HOLDER_LEASE_PREFIX}${slot}`);
	if (living.err || alive.err || (alive.val && alive.val.value !== formatOwner(self))) {
		return false;
	}

	const entered = await store.compareAndSwap(`${HOLDER_LEASE_PREFIX}${slot}`, alive.val?.revision ?? 0, formatOwner(self), living.val.id);
	const record = await store.read(`${ROLE_PREFIX}${slot}`);
	return entered.ok && entered.val.swapped && record.ok && record.val?.revision === claim.revision;
};

/** Keeps a claimed slot until it is lost. */
const holdSlot = async (context: SlotContext, first: Claim, signal: AbortSignal): Promise<void> => {
	const {world, lease, slot} = context;
	const lost = new AbortController();
	const createLeaseDeadline = () => createDeadline(lease.getDeadline() as number as ReturnType<typeof world.now>, -DRIFT_MS);
	let claim = first;
	let deadline = createLeaseDeadline();
	let extension: ExtensionSource = 'lease';
	const extendByPromises = async (): Promise<Deadline> => {
		const promised = await collectPromises(context, claim.record);
		deadline = Math.max(deadline, promised) as Deadline;
		return promised;
	};

	const acting = context.runAsHolder({slot, epoch: first.record.epoch, getDeadline: () => deadline}, AbortSignal.any([signal, lost.signal]));
	context.onGained(slot, first.record.epoch);
	while (!signal.aborted && !isPast(deadline, world.now())) {
		await world.sleep(RENEW_MS, signal).catch(() => undefined);
		// Once a renewal has failed, promises are asked for at the same time, and count at once: the next renewal may fail as slowly.
		const early: Promise<Deadline> | undefined = extension === 'promises' ? extendByPromises() : undefined;
		const renewed = await lease.renew();
		const isLapsed = renewed.err && renewed.val.code === 'leaseLost';
		const promised: Deadline = renewed.ok ? PAST : await (early ?? extendByPromises());
		const isAttached: boolean = renewed.ok || (isLapsed && !isPast(promised, world.now()) && await reattachSlot(context, claim));
		deadline = isAttached ? Math.max(deadline, createLeaseDeadline()) as Deadline : deadline;
		const by: ExtensionSource = isAttached ? 'lease' : 'promises';
		if (by !== extension) {
			extension = by;
			context.onExtended(slot, by);
		}

		if (isAttached) {
			claim = await refreshCandidates(context, claim);
		} else if (isLapsed && isPast(promised, world.now())) {
			break;
		}
	}

	lost.abort();
	await acting;
	context.onLost(slot, first.record.epoch);
	// Whatever was granted under this authority may last until its deadline.
	await world.sleep(getRemainingMs(deadline, world.now()), signal).catch(() => undefined);
};

/** Contends for a slot and holds it whenever it can be had. */
export const runSlot = async (context: SlotContext, signal: AbortSignal): Promise<void> => {
	const {world, promises, slot} = context;
	while (!signal.aborted) {
		await world.sleep(POLL_MS * (0.5 + world.random()), signal);
		const isContender = context.rankCandidates().slice(0, CONTENDERS).some(candidate => isSame(candidate, context.self));
		if (!isContender || promises.isGiven(slot)) {
			continue;
		}

		const claim = await claimSlot(context);
		if (claim) {
			await holdSlot(context, claim, signal);
		}
	}
};
