/** Hybrid logical clock: orders events of all processes causally despite skewed wall clocks. */

/** A hybrid logical time: wall milliseconds, then a counter. */
export type CausalTime = readonly [wallMs: number, counter: number];

/** Clock of one process. */
export type CausalClock = Readonly<{
	/** Reads a time later than every time read or witnessed before. */
	read: () => CausalTime;
	/** Takes note of a time received from another process. */
	witness: (time: CausalTime) => void;
}>;

/** Compares two causal times. */
export const compareCausalTimes = (a: CausalTime, b: CausalTime): number => a[0] - b[0] || a[1] - b[1];

/** Creates a clock over a wall clock. */
export const createCausalClock = (readWallClock: () => number): CausalClock => {
	let last: CausalTime = [0, 0];
	return {
		read() {
			const wall = readWallClock();
			last = wall > last[0] ? [wall, 0] : [last[0], last[1] + 1];
			return last;
		},
		witness(time) {
			if (compareCausalTimes(time, last) > 0) {
				last = time;
			}
		},
	};
};
