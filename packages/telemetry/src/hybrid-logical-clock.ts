/** Hybrid logical clock: orders the events of all processes causally despite clock skew. */

/** A hybrid logical time: milliseconds of the wall clock, then a counter. */
export type HybridTimestamp = readonly [wallMs: number, counter: number];

/** Hybrid logical clock of one process. */
export type HybridLogicalClock = Readonly<{
	/** Returns a time later than every time read or observed before. */
	read: () => HybridTimestamp;
	/** Records a time received from another process. */
	observe: (timestamp: HybridTimestamp) => void;
}>;

/** Compares two hybrid logical times; negative if the first is earlier. */
export const compareHybridTimestamps = (a: HybridTimestamp, b: HybridTimestamp): number => a[0] - b[0] || a[1] - b[1];

/** Creates a hybrid logical clock over a wall clock in milliseconds. */
export const createHybridLogicalClock = (readWallClock: () => number): HybridLogicalClock => {
	let lastTimestamp: HybridTimestamp = [0, 0];
	return {
		read() {
			const wallMs = readWallClock();
			lastTimestamp = wallMs > lastTimestamp[0] ? [wallMs, 0] : [lastTimestamp[0], lastTimestamp[1] + 1];
			return lastTimestamp;
		},
		observe(timestamp) {
			if (compareHybridTimestamps(timestamp, lastTimestamp) > 0) {
				lastTimestamp = timestamp;
			}
		},
	};
};
