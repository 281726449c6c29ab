/** Limits the requests to targets that have started a short time ago, whose caches are cold. */

import {
	createDeadline, getRemainingMs, isPast, PAST, type Deadline, type Instant, type Result, type Runtime, type TargetId,
} from '@guavapitch/core';
import type {
	Slot, SlotRefusal, SlotRequest, SlotScheduler,
} from './slot-scheduler.js';

/** Dependencies of the limits. */
export type ColdTargetsContext = Readonly<{
	runtime: Runtime;
	/** Reads a clock that keeps running while the process or its machine is suspended. */
	readSuspensionClock: () => Instant;
	/** Returns the requests per second that this owner may send to a cold target; `undefined` if they are not limited. */
	getLimit: () => number | undefined;
	/** Returns the deadline of the suspension clock until which a target is cold; `PAST` if it is not. */
	getColdUntil: (target: TargetId) => Deadline;
	/** Tells whether all connections to a target have ended while they were idle. */
	areConnectionsLost: (target: TargetId) => boolean;
	/** Returns an instant of the suspension clock at which the known entries of the targets were certainly complete. */
	getTargetsCompleteAt: () => Instant;
	/** Called when a target for which a request was held back may receive one. */
	onAvailable: () => void;
}>;

/** Limits of one owner for the targets of its database. */
export type ColdTargets = Readonly<{
	/** Tells whether a number of requests may be sent to a target now. If not, `onAvailable` is called when they may. */
	hasRoom: (target: TargetId, count: number) => boolean;
	/** Records requests that are about to be sent; returns `false`, and records nothing, if they may not be. */
	take: (target: TargetId, count: number) => boolean;
	/** Records that all connections to a target were lost: it may have started again, and counts as cold until its entry shows that it has not. */
	recordGap: (target: TargetId) => void;
	remove: (target: TargetId) => void;
}>;

/** Number of requests with which a transaction begins: its begin, and its first statement. */
export const BEGINNING_REQUESTS = 2;
/** Period in which the requests are counted, in milliseconds: a second, and a margin for requests that reach the target closer together than they were sent. */
const WINDOW_MS = 1100;
/** Time after the start of a target by which its entry is certainly written, in milliseconds; targets write it when they start and several times a second. */
const ENTRY_DELAY_MS = 1000;
/** Longest time for which a target counts as cold after a gap without its entry being read, in milliseconds: as long as a missing entry is waited for. */
const MAX_UNCONFIRMED_MS = 4000;

/** Creates the limits of an owner. */
export const createColdTargets = (context: ColdTargetsContext): ColdTargets => {
	const {runtime} = context;
	/** When the latest requests to each cold target were sent. */
	const sentAt = new Map<TargetId, readonly Instant[]>();
	const gapsAt = new Map<TargetId, Instant>();
	const scheduledTargets = new Set<TargetId>();

	const recordGap = (target: TargetId) => {
		gapsAt.set(target, context.readSuspensionClock());
	};

	const isUnconfirmed = (target: TargetId): boolean => {
		if (context.areConnectionsLost(target)) {
			recordGap(target);
		}

		const gapAt = gapsAt.get(target);
		if (gapAt === undefined) {
			return false;
		}

		const isConfirmed = isPast(createDeadline(gapAt, ENTRY_DELAY_MS), context.getTargetsCompleteAt()) || isPast(createDeadline(gapAt, MAX_UNCONFIRMED_MS), context.readSuspensionClock());
		if (isConfirmed) {
			gapsAt.delete(target);
		}

		return !isConfirmed;
	};

	const isCold = (target: TargetId): boolean => !isPast(context.getColdUntil(target), context.readSuspensionClock()) || isUnconfirmed(target);

	/** Computes until when a number of requests must be held back; `PAST` if they need not be. */
	const computeHeldUntil = (target: TargetId, count: number): Deadline => {
		const limit = context.getLimit();
		if (limit === undefined || !isCold(target)) {
			sentAt.delete(target);
			return PAST;
		}

		// Below one request a second, the period is longer instead.
		const windowMs = WINDOW_MS * Math.max(1, 1 / limit);
		const maxCount = Math.max(1, Math.floor(limit));
		const now = runtime.now();
		const sent = (sentAt.get(target) ?? []).filter(at => !isPast(createDeadline(at, windowMs), now));
		sentAt.set(target, sent);
		// Requests that exceed the limit by themselves, such as a begin and its first statement, are sent when nothing else was.
		const blocking = sent[Math.min(sent.length, sent.length + count - maxCount) - 1];
		return blocking === undefined ? PAST : createDeadline(blocking, windowMs);
	};

	return {
		hasRoom(target, count) {
			const heldUntil = computeHeldUntil(target, count);
			if (heldUntil === PAST) {
				return true;
			}

			if (!scheduledTargets.has(target)) {
				scheduledTargets.add(target);
				runtime.schedule(getRemainingMs(heldUntil, runtime.now()), () => {
					scheduledTargets.delete(target);
					context.onAvailable();
				});
			}

			return false;
		},
		take(target, count) {
			if (computeHeldUntil(target, count) !== PAST) {
				return false;
			}

			const sent = sentAt.get(target);
			if (sent) {
				sentAt.set(target, [...sent, ...Array.from({length: count}, () => runtime.now())]);
			}

			return true;
		},
		recordGap,
		remove(target) {
			sentAt.delete(target);
			gapsAt.delete(target);
		},
	};
};

/** Takes a slot on a target that may receive a number of requests now. */
export const takePacedSlot = async (
	{scheduler, coldTargets}: Readonly<{scheduler: SlotScheduler; coldTargets: ColdTargets}>,
	request: SlotRequest,
	count: number,
): Promise<Result<Slot, SlotRefusal>> => {
	while (true) {
		const slot = await scheduler.acquire({
			...request,
			chooseTarget: freeTargets => request.chooseTarget(freeTargets.filter(({id}) => coldTargets.hasRoom(id, count))),
		});
		if (slot.err || coldTargets.take(slot.val.target, count)) {
			return slot;
		}

		// Another request has used the room since the target was chosen.
		slot.val.release();
	}
};
