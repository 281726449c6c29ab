/**
 * Contact of a vm with the quota allocator, as the vm sees it.
 * An allocator counts a vm as in contact only while the vm knows it too: otherwise the vm may use its share of the quotas and the allocator grant the same tokens.
 */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant, type VmId,
} from '@guavapitch/core';

/** Report of a vm to the quota allocator. */
export type ContactReport = Readonly<{
	vm: VmId;
	/** Identifier of this run of its process. */
	run: string;
	/** Number of this report, rising with each report of the run. */
	sequence: number;
	/** Number of the last report that this allocator answered in time; absent while the vm is bound to another allocator. */
	answered?: number | undefined;
	/** Number of vms by which this vm computes its share, and both sides the time for which an answered report counts. */
	vmCount: number;
}>;

/** How often a vm reports, also until the allocator counts it as in contact, and when it counts as out of contact, in milliseconds. */
export type ContactTiming = Readonly<{intervalMs: number; firstIntervalMs: number; silenceMs: number}>;

/** A report that was sent, to be recorded when its answer arrives. `suspensionSentAt` is the same instant on the suspension clock. */
export type SentReport = Readonly<{report: ContactReport; epoch: number; sentAt: Instant; suspensionSentAt: Instant}>;

/** Clocks of a process. One that stands still during a suspension is used where a right begins, and one that may only run ahead where a right ends, so that neither a suspension nor a step of the time of day lets two processes have the same right. */
export type Clocks = Readonly<{now: () => Instant; readSuspensionClock: () => Instant}>;

/** Contact of a vm with the quota allocator. */
export type AllocatorContact = Readonly<{
	/** Creates the next report to the allocator of an epoch. */
	createReport: (epoch: number, vmCount: number) => SentReport;
	/** Records that the allocator answered a report; an answer after `REPORT_TIMEOUT_MS` does not count. */
	recordAnswer: (sent: SentReport) => void;
	/** Records that the allocator of an epoch has forgotten this vm. */
	recordRelease: (epoch: number) => void;
	/** Tells whether the allocator of an epoch has answered lately. */
	isAnswering: (epoch: number | undefined) => boolean;
	/** Tells whether the allocator of an epoch has answered a report that named an answered one, and so counts this vm as in contact. */
	isEstablished: (epoch: number | undefined) => boolean;
	/** Returns since when no allocator counts this vm as in contact, so that it may use its share; `undefined` while one may. */
	getFreeSince: () => Instant | undefined;
	/** Returns the epoch of the allocator that may count this vm as in contact; `undefined` if none may. */
	getBoundEpoch: () => number | undefined;
	/** Returns the number of vms by which this vm computes its share: the largest since its last contact. */
	getVmCount: (currentCount: number) => number;
}>;

/** Time in which an answer to a report must arrive, in milliseconds: several round trips between regions. */
export const REPORT_TIMEOUT_MS = 100;
/** Minimum interval between reports, and between those of a vm that the allocator does not count yet, in milliseconds. */
const MIN_INTERVAL_MS = 100;
const MIN_FIRST_INTERVAL_MS = 50;
/** Interval for each vm of the fleet, in milliseconds: the allocator of a large fleet gets at most 250 reports a second. */
const INTERVAL_MS_PER_VM = 4;
/** The same for vms that it does not count yet, which are all of them when the allocator starts. */
const FIRST_INTERVAL_MS_PER_VM = 1;
/** Number of intervals without an answered report after which contact is lost: a report shows only that the one before was answered. */
const SILENT_INTERVALS = 3;

/** Computes how often the vms of a fleet report. */
export const computeContactTiming = (vmCount: number): ContactTiming => {
	const intervalMs = Math.max(MIN_INTERVAL_MS, INTERVAL_MS_PER_VM * vmCount);
	return {intervalMs, firstIntervalMs: Math.max(MIN_FIRST_INTERVAL_MS, FIRST_INTERVAL_MS_PER_VM * vmCount), silenceMs: REPORT_TIMEOUT_MS + (SILENT_INTERVALS * intervalMs)};
};

/** Creates the contact of a vm that has reported to no allocator yet. */
export const createAllocatorContact = (clocks: Clocks, vm: VmId, run: string): AllocatorContact => {
	let sequence = 0;
	/** Epoch of the allocator that may count this vm as in contact until `boundUntil`. */
	let boundEpoch: number | undefined;
	let boundUntil = createDeadline(clocks.now(), 0);
	let answered: number | undefined;
	let answeringEpoch: number | undefined;
	let answeringUntil: Deadline = PAST;
	let establishedEpoch: number | undefined;
	/** Largest number of vms in a report since the last answered one. */
	let largestVmCount = 0;

	const isFree = (): boolean => isPast(boundUntil, clocks.now());

	return {
		createReport(epoch, vmCount) {
			sequence++;
			if (boundEpoch !== epoch && isFree()) {
				boundEpoch = epoch;
				answered = undefined;
			}

			largestVmCount = Math.max(largestVmCount, vmCount);
			return {
				report: {
					vm, run, sequence, answered: boundEpoch === epoch ? answered : undefined, vmCount,
				},
				epoch,
				sentAt: clocks.now(),
				suspensionSentAt: clocks.readSuspensionClock(),
			};
		},
		recordAnswer({report, epoch, sentAt, suspensionSentAt}) {
			if (clocks.readSuspensionClock() - suspensionSentAt > REPORT_TIMEOUT_MS) {
				return;
			}

			answeringEpoch = epoch;
			answeringUntil = createDeadline(sentAt, computeContactTiming(report.vmCount).silenceMs);
			if (epoch === boundEpoch) {
				establishedEpoch = report.answered === undefined ? establishedEpoch : epoch;
				answered = report.sequence;
				boundUntil = answeringUntil;
				largestVmCount = report.vmCount;
			}
		},
		recordRelease(epoch) {
			establishedEpoch = epoch === establishedEpoch ? undefined : establishedEpoch;
			answeringUntil = epoch === answeringEpoch ? PAST : answeringUntil;
			if (epoch === boundEpoch) {
				boundEpoch = undefined;
				boundUntil = createDeadline(clocks.now(), 0);
			}
		},
		isAnswering: epoch => epoch !== undefined && epoch === answeringEpoch && !isPast(answeringUntil, clocks.now()),
		isEstablished: epoch => epoch !== undefined && epoch === establishedEpoch && epoch === boundEpoch && !isFree(),
		getFreeSince: () => isFree() ? boundUntil as number as Instant : undefined,
		getBoundEpoch: () => isFree() ? undefined : boundEpoch,
		getVmCount: currentCount => Math.max(largestVmCount, currentCount),
	};
};
