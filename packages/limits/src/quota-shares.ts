/**
 * Shares of a quota: the part that each vm may use by itself while no quota allocator answers it.
 * At any time each share is used either by its vm or by the one allocator that is in contact with the vm, so together they never exceed the quota.
 */

import {
	createDeadline, isPast, PAST, rankCandidates, type CustomerId, type Deadline, type Instant, type VmId,
} from '@guavapitch/core';
import {
	computeContactTiming, REPORT_TIMEOUT_MS, type Clocks, type ContactReport,
} from './allocator-contact.js';
import type {Quota} from './bucket.js';

/** A vm according to the store. */
export type ShareHolder = Readonly<{vm: VmId; run: string}>;

/** Fractions of a quota that an allocator may grant: now, all the time since they were computed last, and on average since then. */
export type GrantableFractions = Readonly<{current: number; continuous: number; average: number}>;

/** Vms that an allocator is in contact with. */
export type ShareLedger = Readonly<{
	/** Records a report of a vm. */
	record: (report: ContactReport) => void;
	/** Forgets a vm whose report was refused. */
	forget: (vm: VmId) => void;
	/** Computes the fractions of a customer's quota that the allocator may grant: the shares of the vms that are in contact. */
	computeFractions: (customer: CustomerId, quota: Quota) => GrantableFractions;
	/** Counts the vms that are in contact, and those whose shares are withheld, for logging. */
	countVms: () => Readonly<{inContact: number; withheld: number}>;
}>;

/** Maximum age of a vm's view of the store with which it uses shares, in milliseconds. */
export const SHARE_MAX_AGE_MS = 30_000;
/** Time for which a vm that is no longer registered keeps its share, in milliseconds: it may use it until its view of the store is too old, and views lag. */
const REMOVED_SHARE_MS = SHARE_MAX_AGE_MS + 5000;

/** Computes how many vms hold a share: a share of less than one token could never be used. */
export const computeHolderCount = (quota: Quota, vmCount: number): number => Math.max(1, Math.min(vmCount, Math.floor(quota.burst)));

/** Chooses the vms that hold a share of a customer's quota, by rendezvous hashing. */
export const chooseShareHolders = (customer: CustomerId, vms: readonly VmId[], count: number): ReadonlySet<VmId> => new Set(count >= vms.length
	? vms
	: rankCandidates(customer, vms).slice(0, count));

/** Computes the share of a quota that a vm may use by itself; `undefined` if it holds none. `vmCount` may be larger than the number of `vms`. */
export const computeShare = (customer: CustomerId, quota: Quota, vm: VmId, {vms, vmCount}: Readonly<{vms: readonly VmId[]; vmCount: number}>): Quota | undefined => {
	const count = computeHolderCount(quota, vmCount);
	return chooseShareHolders(customer, vms, count).has(vm) ? {rate: quota.rate / count, burst: quota.burst / count} : undefined;
};

/** What an allocator knows of one vm. */
type VmRecord = Readonly<{
	run: string;
	/** Until when the reports that are not known to be answered would keep contact, by their sequence. */
	contactUntilBySequence: ReadonlyMap<number, Deadline>;
	inContactSince: Instant | undefined;
	inContactUntil: Deadline;
	/** Number of vms by which the vm computes its share; `undefined` if it has not reported. */
	vmCount: number | undefined;
}>;

/** Number of reports of a vm that are remembered; the answer to an older one has long timed out. */
const MAX_UNANSWERED = 8;

const createRecord = (run: string): VmRecord => ({
	run, contactUntilBySequence: new Map(), inContactSince: undefined, inContactUntil: PAST, vmCount: undefined,
});

const applyReport = (previous: VmRecord, report: ContactReport, now: Instant): VmRecord => {
	const answeredUntil = report.answered === undefined ? undefined : previous.contactUntilBySequence.get(report.answered);
	// The vm sent the report up to REPORT_TIMEOUT_MS before it arrived, and counts from then.
	const until = createDeadline(now, computeContactTiming(report.vmCount).silenceMs - REPORT_TIMEOUT_MS);
	const contactUntilBySequence = new Map([...previous.contactUntilBySequence, [report.sequence, until] as const]
		.filter(([sequence]) => sequence >= (report.answered ?? 0))
		.slice(-MAX_UNANSWERED));
	return {
		...previous,
		contactUntilBySequence,
		vmCount: report.vmCount,
		...(answeredUntil !== undefined && {
			inContactSince: isPast(previous.inContactUntil, now) ? now : previous.inContactSince,
			inContactUntil: Math.max(previous.inContactUntil, answeredUntil) as Deadline,
		}),
	};
};

/** Creates the ledger of an allocator that is in contact with no vm yet; `listVms` returns a new list whenever the registered vms change. */
export const createShareLedger = (listVms: () => readonly ShareHolder[], clocks: Clocks): ShareLedger => {
	const createdAt = clocks.readSuspensionClock();
	const records = new Map<VmId, VmRecord>();
	/** Vms that are no longer registered, with the time until which they keep their share, on the clock that stands still during a suspension. */
	const removedUntil = new Map<VmId, Deadline>();
	/** When the fractions of each customer were computed last. */
	const computedAt = new Map<CustomerId, Instant>();
	const holdersByCustomer = new Map<CustomerId, Readonly<{count: number; holders: ReadonlySet<VmId>}>>();
	let knownVms: readonly ShareHolder[] = [];
	let vmIds: readonly VmId[] = [];

	/** Applies changes of the registered vms. */
	const refreshVms = () => {
		const now = clocks.now();
		const vms = listVms();
		if (vms !== knownVms) {
			const registered = new Set(vms.map(({vm}) => vm));
			for (const {vm} of knownVms) {
				if (!registered.has(vm)) {
					removedUntil.set(vm, createDeadline(now, REMOVED_SHARE_MS));
				}
			}

			for (const {vm, run} of vms) {
				removedUntil.delete(vm);
				// A vm starts a new run only when the former one has ended.
				if (records.get(vm)?.run !== run) {
					records.set(vm, createRecord(run));
				}
			}

			knownVms = vms;
			vmIds = vms.map(({vm}) => vm);
			holdersByCustomer.clear();
		}

		for (const [vm, until] of removedUntil) {
			if (isPast(until, now)) {
				removedUntil.delete(vm);
				records.delete(vm);
			}
		}
	};

	const getHolders = (customer: CustomerId, count: number): ReadonlySet<VmId> => {
		const known = holdersByCustomer.get(customer);
		if (known?.count === count) {
			return known.holders;
		}

		const holders = chooseShareHolders(customer, vmIds, count);
		holdersByCustomer.set(customer, {count, holders});
		return holders;
	};

	const isInContact = (vm: VmId, now: Instant): boolean => !isPast(records.get(vm)?.inContactUntil ?? PAST, now);

	/** Computes for which fraction of the time from `since` until now a vm was in contact; contact before it was last lost does not count. */
	const computeContactFraction = (vm: VmId, since: Instant, now: Instant): number => {
		const {inContactSince, inContactUntil = PAST} = records.get(vm) ?? {};
		if (inContactSince === undefined) {
			return 0;
		}

		const from = Math.max(since, inContactSince);
		return now > since ? Math.max(0, Math.min(now, inContactUntil) - from) / (now - since) : Number(from === since);
	};

	return {
		record(report) {
			refreshVms();
			const now = clocks.readSuspensionClock();
			const known = records.get(report.vm);
			records.set(report.vm, applyReport(known?.run === report.run ? known : createRecord(report.run), report, now));
			if (!vmIds.includes(report.vm) && !removedUntil.has(report.vm)) {
				removedUntil.set(report.vm, createDeadline(clocks.now(), REMOVED_SHARE_MS));
			}
		},
		forget(vm) {
			const known = records.get(vm);
			if (known) {
				records.set(vm, createRecord(known.run));
			}
		},
		computeFractions(customer, quota) {
			refreshVms();
			const now = clocks.readSuspensionClock();
			const since = computedAt.get(customer) ?? createdAt;
			computedAt.set(customer, now);
			const count = computeHolderCount(quota, vmIds.length);
			let withheldNow = 0;
			let interrupted = 0;
			let withheldSince = 0;
			for (const vm of [...getHolders(customer, count), ...removedUntil.keys()]) {
				const share = 1 / computeHolderCount(quota, records.get(vm)?.vmCount ?? vmIds.length);
				const contactFraction = computeContactFraction(vm, since, now);
				withheldNow += isInContact(vm, now) ? 0 : share;
				interrupted += isInContact(vm, now) && contactFraction === 1 ? 0 : share;
				withheldSince += share * (1 - contactFraction);
			}

			return {current: Math.max(0, 1 - withheldNow), continuous: Math.max(0, 1 - interrupted), average: Math.max(0, 1 - withheldSince)};
		},
		countVms() {
			refreshVms();
			const now = clocks.readSuspensionClock();
			const vms = [...vmIds, ...removedUntil.keys()];
			const inContact = vms.filter(vm => isInContact(vm, now)).length;
			return {inContact, withheld: vms.length - inContact};
		},
	};
};
