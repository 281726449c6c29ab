/** Use of a target's slots: what runs now, and what work of each level has been asked for lately. */

import type {Instant} from '@guavapitch/core';

/** Use of one target's slots. */
export type SlotUsage = Readonly<{
	/** Records that work starts; returns a function that records its end. */
	start: (expectedMs: number, now: Instant) => (() => void);
	/** Records that work of a level was asked for, whether or not it runs. */
	recordDemand: (level: number, ms: number, now: Instant) => void;
	getRunningCount: () => number;
	/** Returns the slot time that running work still needs, in milliseconds; work that takes longer than expected is assumed to need as much again as it is late. */
	getRunningMs: (now: Instant) => number;
	/** Returns the mean number of slots that work of smaller levels has asked for lately. */
	getDemandedSlots: (level: number, now: Instant) => number;
}>;

/** Time constant of the mean, in milliseconds: some tens of statements of a target, so that it varies little; what is asked for rises before the slots are used up, so a flood shows early enough. */
const MEAN_TIME_MS = 1000;

/** Creates the use of a target on which nothing has run. */
export const createSlotUsage = (): SlotUsage => {
	const running = new Set<Readonly<{startedAt: Instant; expectedMs: number}>>();
	/** Slot time asked for by level, decaying with the time constant. */
	const demandByLevel = new Map<number, Readonly<{ms: number; updatedAt: Instant}>>();

	const decay = ({ms, updatedAt}: Readonly<{ms: number; updatedAt: Instant}>, now: Instant): number => ms * Math.exp((updatedAt - now) / MEAN_TIME_MS);

	return {
		start(expectedMs, now) {
			const work = {startedAt: now, expectedMs};
			running.add(work);
			return () => {
				running.delete(work);
			};
		},
		recordDemand(level, ms, now) {
			const demand = demandByLevel.get(level);
			demandByLevel.set(level, {ms: (demand ? decay(demand, now) : 0) + ms, updatedAt: now});
		},
		getRunningCount: () => running.size,
		getRunningMs(now) {
			let runningMs = 0;
			for (const {startedAt, expectedMs} of running) {
				runningMs += Math.abs(expectedMs - (now - startedAt));
			}

			return runningMs;
		},
		getDemandedSlots(level, now) {
			let demandedMs = 0;
			for (const [demandLevel, demand] of demandByLevel) {
				if (demandLevel < level) {
					demandedMs += decay(demand, now);
				}
			}

			return demandedMs / MEAN_TIME_MS;
		},
	};
};
