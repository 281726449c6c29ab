/** Promises of a candidate not to take over a slot before a deadline; they die with the process. */

import {
	createDeadline, isPast, PAST, type Deadline, type World,
} from '@guavapitch/core';

/** What the holder of a slot asks of a candidate. */
export type TakeoverPromiseRequest = Readonly<{slot: string; epoch: number; validMs: number; incarnation: string}>;

/** Promises of one process. */
export type TakeoverPromises = Readonly<{
	/** Gives a promise, unless a take-over is under way or the holder is not the newest known. */
	give: (request: TakeoverPromiseRequest, knownEpoch: number) => boolean;
	/** Tells whether a promise holds now. */
	isGiven: (slot: string) => boolean;
	/** Begins a take-over; `false` while a promise holds. */
	beginClaim: (slot: string) => boolean;
	endClaim: (slot: string) => void;
}>;

/** Creates the promises of a process. */
export const createTakeoverPromises = (incarnation: string, world: World): TakeoverPromises => {
	const given = new Map<string, Deadline>();
	const claiming = new Set<string>();
	const isGiven = (slot: string) => !isPast(given.get(slot) ?? PAST, world.now());

	return {
		isGiven,
		give(request, knownEpoch) {
			if (claiming.has(request.slot) || request.incarnation !== incarnation || request.epoch < knownEpoch) {
				return false;
			}

			const deadline = createDeadline(world.now(), request.validMs);
			given.set(request.slot, Math.max(deadline, given.get(request.slot) ?? PAST) as Deadline);
			return true;
		},
		beginClaim(slot) {
			if (isGiven(slot)) {
				return false;
			}

			claiming.add(slot);
			return true;
		},
		endClaim(slot) {
			claiming.delete(slot);
		},
	};
};
