/** Claims and holds a slot of a role: one task per slot, which claims the slot, extends its authority, and starts again after a loss. */

import {
	chooseEarliest, createDeadline, getRemainingMs, isPast, PAST, type Deadline, type Failure, type Result, type Runtime,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import type {ProcessLease} from './lease.js';
import type {TakeoverPromises, TakeoverPromiseRequest} from './takeover-promises.js';
import {
	HOLDER_LEASE_PREFIX, formatSlotRecord, parseSlotRecord, ROLE_PREFIX, type Candidate, type SlotRecord,
} from './records.js';

/** Authority over a slot. It is valid until a deadline, which is extended while the slot is held. */
export type Authority = Readonly<{
	slot: string;
	/** Epoch of the slot record with which the slot was claimed. */
	epoch: number;
	/** Returns the current deadline. Code that acts under the authority must check it after every wait. */
	getDeadline: () => Deadline;
}>;

/** What the authority was extended by: the store lease, or takeover promises of the candidates. */
export type ExtensionSource = 'lease' | 'promises';

/** Dependencies of the task that claims and holds a slot. */
export type SlotContext = Readonly<{
	runtime: Runtime;
	store: Store;
	lease: ProcessLease;
	takeoverPromises: TakeoverPromises;
	self: Candidate;
	slot: string;
	/** Ranks the live vms for the slot, the best first. */
	rankCandidates: () => readonly Candidate[];
	/** Asks a candidate to promise not to take over. */
	requestPromise: (candidate: Candidate, request: TakeoverPromiseRequest) => Promise<Result<boolean, Failure>>;
	/** Tells whether a run of a process is confirmed to have ended: another run of the same vm responds, or the vm has been removed from the platform's list. */
	hasRunEnded: (candidate: Candidate) => boolean;
	/** Performs the role until the signal aborts. */
	runAsHolder: (authority: Authority, signal: AbortSignal) => Promise<void>;
	/** Called when this process has claimed the slot. */
	onGained: (slot: string, epoch: number) => void;
	/** Called when the role has stopped, because the authority has ended or the signal has aborted. */
	onLost: (slot: string, epoch: number) => void;
	/** Called when the authority is extended by another source than before. */
	onExtended: (slot: string, source: ExtensionSource) => void;
}>;

/** Validity of a takeover promise, in milliseconds. */
export const PROMISE_VALIDITY_MS = 1500;

/** Number of best-ranked vms that may claim a slot. */
const MAX_ELIGIBLE_VMS = 3;
/** Number of candidates in the record of a slot. */
const MAX_RECORDED_CANDIDATES = 2;
/** Mean interval between attempts to claim a slot, in milliseconds. */
const CLAIM_INTERVAL_MS = 400;
const RENEWAL_INTERVAL_MS = 400;
/** Safety margin for clocks that run at different rates, in milliseconds. */
const CLOCK_DRIFT_MS = 100;

type Claim = Readonly<{record: SlotRecord; revision: number}>;

const isSameRun = (a: Candidate, b: Candidate): boolean => a.vm === b.vm && a.incarnation === b.incarnation;

const formatHolder = (candidate: Candidate): string => `${candidate.vm}/${candidate.incarnation}`;

const chooseCandidates = (context: SlotContext): readonly Candidate[] => context.rankCandidates()
	.filter(candidate => candidate.vm !== context.self.vm && candidate.incarnation !== '')
	.slice(0, MAX_RECORDED_CANDIDATES);

/** Deadlines of the last promises that ended runs may have given, by run; each counts from when this process learned that the run had ended. */
type LastPromises = Map<string, Deadline>;

/** Tells whether a candidate has ended and its last promise too. */
const hasLastPromiseEnded = (context: SlotContext, candidate: Candidate, lastPromises: LastPromises): boolean => {
	if (!context.hasRunEnded(candidate)) {
		return false;
	}

	const now = context.runtime.now();
	const key = formatHolder(candidate);
	const deadline = lastPromises.get(key) ?? createDeadline(now, PROMISE_VALIDITY_MS);
	lastPromises.set(key, deadline);
	return isPast(deadline, now);
};

/**
 * Tells whether this process may claim a slot that no other process holds in the store: the last holder and the recorded candidates may.
 * Other eligible vms may only if the last holder cannot extend its authority by promises, because it recorded no candidates or one of them has ended
 * so long ago that its last promise has ended as well.
 */
const mayClaim = (context: SlotContext, record: SlotRecord | undefined, lastPromises: LastPromises): boolean => {
	const {self} = context;
	if (!record || isSameRun(record.holder, self) || record.candidates.some(candidate => isSameRun(candidate, self))) {
		return true;
	}

	const isEligible = context.rankCandidates().slice(0, MAX_ELIGIBLE_VMS).some(candidate => isSameRun(candidate, self));
	return isEligible && (record.candidates.length === 0 || record.candidates.some(candidate => hasLastPromiseEnded(context, candidate, lastPromises)));
};

/** State of a slot in the store on which a claim is based. */
type SlotState = Readonly<{record: SlotRecord | undefined; recordRevision: number; leaseEntryRevision: number}>;

/** Reads the state of a slot; returns `undefined` if this process may not claim it, or if the store does not answer. */
const readSlotState = async (context: SlotContext, lastPromises: LastPromises): Promise<SlotState | undefined> => {
	const {store, slot, self} = context;
	const leaseEntry = await store.read(`${HOLDER_LEASE_PREFIX}${slot}`);
	if (leaseEntry.err || (leaseEntry.val !== undefined && leaseEntry.val.value !== formatHolder(self))) {
		return undefined;
	}

	const recordEntry = await store.read(`${ROLE_PREFIX}${slot}`);
	const record = recordEntry.ok && recordEntry.val ? parseSlotRecord(recordEntry.val.value).unwrapOr(undefined) : undefined;
	return recordEntry.err || !mayClaim(context, record, lastPromises)
		? undefined
		: {record, recordRevision: recordEntry.val?.revision ?? 0, leaseEntryRevision: leaseEntry.val?.revision ?? 0};
};

/** Writes the lease entry of a slot and then its record; returns `undefined` if another process holds the slot or the store does not answer. */
const claimSlot = async (context: SlotContext, lastPromises: LastPromises): Promise<Claim | undefined> => {
	const {store, slot, self, lease, takeoverPromises} = context;
	const state = await readSlotState(context, lastPromises);
	const acquiredLease = state ? await lease.acquire() : undefined;
	if (!state || !acquiredLease?.ok || !takeoverPromises.beginClaim(slot)) {
		return undefined;
	}

	// No promise is in effect, and from here on none is made.
	using claiming = {
		[Symbol.dispose]() {
			takeoverPromises.endClaim(slot);
		},
	};
	const attached = await store.compareAndSwap(`${HOLDER_LEASE_PREFIX}${slot}`, state.leaseEntryRevision, formatHolder(self), acquiredLease.val.id);
	if (attached.err || !attached.val.isSwapped) {
		return undefined;
	}

	const newRecord: SlotRecord = {epoch: (state.record?.epoch ?? 0) + 1, holder: self, candidates: chooseCandidates(context)};
	const written = await store.compareAndSwap(`${ROLE_PREFIX}${slot}`, state.recordRevision, formatSlotRecord(newRecord));
	return written.ok && written.val.isSwapped ? {record: newRecord, revision: written.val.current?.revision ?? 0} : undefined;
};

/** Asks every candidate for a promise; returns the deadline until which no candidate takes over. */
const collectPromises = async (context: SlotContext, record: SlotRecord): Promise<Deadline> => {
	const sentAt = context.runtime.now();
	if (record.candidates.length === 0) {
		return PAST;
	}

	const deadlines = await Promise.all(record.candidates.map(async candidate => {
		const response = await context.requestPromise(candidate, {
			slot: context.slot, epoch: record.epoch, validMs: PROMISE_VALIDITY_MS, incarnation: candidate.incarnation,
		});
		return response.ok && response.val ? createDeadline(sentAt, PROMISE_VALIDITY_MS - CLOCK_DRIFT_MS) : PAST;
	}));
	return chooseEarliest(deadlines);
};

/** Updates the recorded candidates after a change of the ranking. Only the best-ranked vms claim slots, so only they can take over in time. */
const refreshCandidates = async (context: SlotContext, claim: Claim): Promise<Claim> => {
	const candidates = chooseCandidates(context);
	const isCurrent = candidates.length === claim.record.candidates.length
		&& candidates.every(candidate => claim.record.candidates.some(recorded => isSameRun(recorded, candidate)));
	if (isCurrent) {
		return claim;
	}

	const record: SlotRecord = {...claim.record, candidates};
	const written = await context.store.compareAndSwap(`${ROLE_PREFIX}${context.slot}`, claim.revision, formatSlotRecord(record));
	return written.ok && written.val.isSwapped ? {record, revision: written.val.current?.revision ?? 0} : claim;
};

/** Attaches a held slot to a new lease after the old one has expired, unless another process has claimed the slot in the meantime. */
const reattachSlot = async (context: SlotContext, claim: Claim): Promise<boolean> => {
	const {store, slot, self, lease} = context;
	const acquiredLease = await lease.acquire();
	const leaseEntry = await store.read(`${HOLDER_LEASE_PREFIX}${slot}`);
	if (acquiredLease.err || leaseEntry.err || (leaseEntry.val && leaseEntry.val.value !== formatHolder(self))) {
		return false;
	}

	const attached = await store.compareAndSwap(`${HOLDER_LEASE_PREFIX}${slot}`, leaseEntry.val?.revision ?? 0, formatHolder(self), acquiredLease.val.id);
	const record = await store.read(`${ROLE_PREFIX}${slot}`);
	return attached.ok && attached.val.isSwapped && record.ok && record.val?.revision === claim.revision;
};

/** Holds a claimed slot until its authority has ended. */
const holdSlot = async (context: SlotContext, initialClaim: Claim, signal: AbortSignal): Promise<void> => {
	const {runtime, lease, slot} = context;
	const roleAbort = new AbortController();
	const createLeaseDeadline = () => createDeadline(lease.getDeadline() as number as ReturnType<typeof runtime.now>, -CLOCK_DRIFT_MS);
	let claim = initialClaim;
	let deadline = createLeaseDeadline();
	let extensionSource: ExtensionSource = 'lease';
	const extendByPromises = async (): Promise<Deadline> => {
		const promisedUntil = await collectPromises(context, claim.record);
		deadline = Math.max(deadline, promisedUntil) as Deadline;
		return promisedUntil;
	};

	const roleTask = context.runAsHolder({slot, epoch: initialClaim.record.epoch, getDeadline: () => deadline}, AbortSignal.any([signal, roleAbort.signal]));
	context.onGained(slot, initialClaim.record.epoch);
	while (!signal.aborted && !isPast(deadline, runtime.now())) {
		await runtime.sleep(RENEWAL_INTERVAL_MS, signal).catch(() => undefined);
		// After a failed renewal, promises are requested in parallel with the next one and extend the deadline at once, because that renewal may take just as long to fail.
		const pendingPromises: Promise<Deadline> | undefined = extensionSource === 'promises' ? extendByPromises() : undefined;
		const renewed = await lease.renew();
		const hasLeaseExpired = renewed.err && renewed.val.code === 'leaseLost';
		const promisedUntil: Deadline = renewed.ok ? PAST : await (pendingPromises ?? extendByPromises());
		const isAttached: boolean = renewed.ok || (hasLeaseExpired && !isPast(promisedUntil, runtime.now()) && await reattachSlot(context, claim));
		deadline = isAttached ? Math.max(deadline, createLeaseDeadline()) as Deadline : deadline;
		const newSource: ExtensionSource = isAttached ? 'lease' : 'promises';
		if (newSource !== extensionSource) {
			extensionSource = newSource;
			context.onExtended(slot, newSource);
		}

		if (isAttached) {
			claim = await refreshCandidates(context, claim);
		} else if (hasLeaseExpired && isPast(promisedUntil, runtime.now())) {
			break;
		}
	}

	roleAbort.abort();
	await roleTask;
	context.onLost(slot, initialClaim.record.epoch);
	// Grants issued under this authority may be valid until its deadline.
	await runtime.sleep(getRemainingMs(deadline, runtime.now()), signal).catch(() => undefined);
};

/** Claims a slot whenever this vm is eligible and the slot is free, and holds it until it is lost. */
export const runSlot = async (context: SlotContext, signal: AbortSignal): Promise<void> => {
	const {runtime, takeoverPromises, slot} = context;
	const lastPromises: LastPromises = new Map();
	while (!signal.aborted) {
		await runtime.sleep(CLAIM_INTERVAL_MS * (0.5 + runtime.random()), signal);
		const isEligible = context.rankCandidates().slice(0, MAX_ELIGIBLE_VMS).some(candidate => isSameRun(candidate, context.self));
		if (!isEligible || takeoverPromises.isGiven(slot)) {
			continue;
		}

		const claim = await claimSlot(context, lastPromises);
		if (claim) {
			lastPromises.clear();
			await holdSlot(context, claim, signal);
		}
	}
};
