/** Injected faults and rate limits of the platform stand-in. */

import type {Runtime} from '@guavapitch/core';
import type {MemoryStore} from '@guavapitch/store';

/** Faults of the service; set by writing them as JSON to the key `/standin/faults`. */
export type PlatformFaults = Readonly<{
	/** The service does not respond to any client. */
	down?: boolean;
	/** Delay of each response, in milliseconds. */
	slowMs?: number;
	/** Number of further changes that are applied but not responded to. */
	loseAnswers?: number;
	/** Names of the clients that are partitioned from the service. */
	cut?: readonly string[];
	/** Expires all leases at once. */
	lapseLeases?: boolean;
}>;

/** Rate limits of the service, in calls per second. */
export type PlatformRates = Readonly<{writes: number; reads: number}>;

/** Kind of a call, for rate limiting. */
export type CallKind = keyof PlatformRates;

/** Applies the faults and rate limits to calls. */
export type FaultController = Readonly<{
	/** Replaces the current faults. */
	setFaults: (faults: PlatformFaults) => void;
	/** Waits for the delay that the current faults add to a call of a client; for an hour if the client is partitioned, so that the call times out. */
	delayCall: (client: string) => Promise<void>;
	/** Counts a call; returns `false` if it exceeds the rate limit of its kind. */
	admitCall: (kind: CallKind) => boolean;
	/** Returns whether the response to a change that was applied is dropped, and counts it down. */
	shouldDropResponse: () => boolean;
	/** Returns whether a client is partitioned from the service; all clients are while the service is down. */
	isPartitioned: (client: string) => boolean;
}>;

const MS_PER_SECOND = 1000;
const PARTITION_DELAY_MS = 3_600_000;

/** Creates a fault controller without faults. */
export const createFaultController = (runtime: Runtime, store: MemoryStore, rates: PlatformRates, signal: AbortSignal): FaultController => {
	let faults: PlatformFaults = {};
	let responsesToDrop = 0;
	let currentSecond = 0;
	let callCounts: Record<CallKind, number> = {writes: 0, reads: 0};

	const isPartitioned = (client: string): boolean => faults.down === true || (faults.cut ?? []).includes(client);

	return {
		isPartitioned,
		setFaults(newFaults) {
			faults = newFaults;
			responsesToDrop = newFaults.loseAnswers ?? 0;
			if (newFaults.lapseLeases) {
				store.expireAllLeases();
			}
		},
		async delayCall(client) {
			if (isPartitioned(client)) {
				await runtime.sleep(PARTITION_DELAY_MS, signal).catch(() => undefined);
			}

			if (faults.slowMs) {
				await runtime.sleep(faults.slowMs);
			}
		},
		admitCall(kind) {
			const second = Math.floor(runtime.now() / MS_PER_SECOND);
			if (second !== currentSecond) {
				currentSecond = second;
				callCounts = {writes: 0, reads: 0};
			}

			callCounts[kind]++;
			return callCounts[kind] <= rates[kind];
		},
		shouldDropResponse() {
			if (responsesToDrop === 0) {
				return false;
			}

			responsesToDrop--;
			return true;
		},
	};
};
