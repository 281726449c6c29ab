/** Hybrid logical clock: orders events of all processes causally despite skewed wall clocks. */

/** A hybrid logical time: wall milliseconds, then a counter. */
export type HybridTimestamp = readonly [wallMs: number, counter: number];

/** Clock of one process. */
export type HybridLogicalClock = Readonly<{
	/** Reads a time later than every time read or witnessed before. */
	read: () => HybridTimestamp;
	/** Takes note of a time received from another process. */
	observe: (time: HybridTimestamp) => void;
}>;

/** Compares two causal times. */
export const compareHybridTimestamps = (a: HybridTimestamp, b: HybridTimestamp): number => a[0] - b[0] || a[1] - b[1];

/** Creates a clock over a wall clock. */
export const createHybridLogicalClock = (readWallClock: () => number): HybridLogicalClock => {
	let last: HybridTimestamp = [0, 0];
	return {
		read() {
			const wall = readWallClock();
			last = wall > last[0] ? [wall, 0] : [last[0], last[1] + 1];
			return last;
		},
		observe(time) {
			if (compareHybridTimestamps(time, last) > 0) {
				last = time;
			}
		},
	};
};
