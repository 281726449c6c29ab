/** Promises of a candidate not to take over a slot before a deadline. They are kept in memory only and end with the process. */

import {
	createDeadline, isPast, PAST, type Deadline, type Runtime,
} from '@guavapitch/core';

/** Request of the holder of a slot to a candidate for a promise. */
export type TakeoverPromiseRequest = Readonly<{slot: string; epoch: number; validMs: number; incarnation: string}>;

/** Takeover promises that one process has made. */
export type TakeoverPromises = Readonly<{
	/** Makes a promise; returns `false` if a takeover is in progress, the request was meant for another run of the process, or a newer epoch than that of the holder is known. */
	give: (request: TakeoverPromiseRequest, knownEpoch: number) => boolean;
	/** Tells whether a promise for the slot is in effect now. */
	isGiven: (slot: string) => boolean;
	/** Begins a takeover; returns `false` while a promise is in effect. */
	beginClaim: (slot: string) => boolean;
	/** Ends a takeover, whether or not it succeeded; promises may be made again. */
	endClaim: (slot: string) => void;
}>;

/** Creates the promises of a process; none has been made yet. */
export const createTakeoverPromises = (incarnation: string, runtime: Runtime): TakeoverPromises => {
	const deadlines = new Map<string, Deadline>();
	const slotsBeingClaimed = new Set<string>();
	const isGiven = (slot: string) => !isPast(deadlines.get(slot) ?? PAST, runtime.now());

	return {
		isGiven,
		give(request, knownEpoch) {
			if (slotsBeingClaimed.has(request.slot) || request.incarnation !== incarnation || request.epoch < knownEpoch) {
				return false;
			}

			const deadline = createDeadline(runtime.now(), request.validMs);
			deadlines.set(request.slot, Math.max(deadline, deadlines.get(request.slot) ?? PAST) as Deadline);
			return true;
		},
		beginClaim(slot) {
			if (isGiven(slot)) {
				return false;
			}

			slotsBeingClaimed.add(slot);
			return true;
		},
		endClaim(slot) {
			slotsBeingClaimed.delete(slot);
		},
	};
};
