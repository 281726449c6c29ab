/** What goes wrong with the platform's stand-in on command, and the rates that it takes. */

import type {World} from '@guavapitch/core';
import type {MemoryStore} from '@guavapitch/store';

/** Faults of the service, changed by writing the key `/standin/faults` as JSON. */
export type PlatformFaults = Readonly<{
	/** Answers nothing. */
	down?: boolean;
	/** Delay of each answer, in milliseconds. */
	slowMs?: number;
	/** Carries out this many further changes without answering. */
	loseAnswers?: number;
	/** Names of the clients that are cut off. */
	cut?: readonly string[];
	/** Ends every lease at once. */
	lapseLeases?: boolean;
}>;

/** Rates that the service takes, in calls per second. */
export type PlatformRates = Readonly<{writes: number; reads: number}>;

/** Kind of a call, as its rate is counted. */
export type CallKind = keyof PlatformRates;

/** Faults and rates at work. */
export type FaultController = Readonly<{
	setFaults: (faults: PlatformFaults) => void;
	/** Waits as long as the faults hold up the calls of a client; for good if it is cut off. */
	delayCall: (client: string) => Promise<void>;
	/** Counts a call; `false` if the rate of its kind is used up. */
	acquireCall: (kind: CallKind) => boolean;
	/** Tells whether the answer to a change that was carried out gets lost. */
	shouldDropResponse: () => boolean;
	/** Tells whether a client hears nothing. */
	isPartitioned: (client: string) => boolean;
}>;

const SECOND_MS = 1000;
const HANG_MS = 3_600_000;

/** Creates the control, without faults. */
export const createFaultController = (world: World, store: MemoryStore, rates: PlatformRates, signal: AbortSignal): FaultController => {
	let faults: PlatformFaults = {};
	let lostAnswers = 0;
	let second = 0;
	let used: Record<CallKind, number> = {writes: 0, reads: 0};

	const isCut = (client: string): boolean => faults.down === true || (faults.cut ?? []).includes(client);

	return {
		isPartitioned: isCut,
		setFaults(next) {
			faults = next;
			lostAnswers = next.loseAnswers ?? 0;
			if (next.lapseLeases) {
				store.expireAllLeases();
			}
		},
		async delayCall(client) {
			if (isCut(client)) {
				await world.sleep(HANG_MS, signal).catch(() => undefined);
			}

			if (faults.slowMs) {
				await world.sleep(faults.slowMs);
			}
		},
		acquireCall(kind) {
			const now = Math.floor(world.now() / SECOND_MS);
			if (now !== second) {
				second = now;
				used = {writes: 0, reads: 0};
			}

			used[kind]++;
			return used[kind] <= rates[kind];
		},
		shouldDropResponse() {
			if (lostAnswers === 0) {
				return false;
			}

			lostAnswers--;
			return true;
		},
	};
};
