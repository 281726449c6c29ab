/** Seeded random numbers, so that a run can be replayed. */

/** Draws a number in [0, 1). */
export type Random = () => number;

const STEP = 0x6D_2B_79_F5;
const RANGE = 4_294_967_296;

/** Creates a generator from a seed. */
export const createRandom = (seed: number): Random => {
	let state = seed >>> 0;
	return () => {
		state = (state + STEP) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
	};
};

/** Chooses one of several. */
export const chooseRandom = <Item>(items: readonly Item[], random: Random): Item => {
	const chosen = items[Math.floor(random() * items.length)];
	if (chosen === undefined) {
		throw new RangeError('There is nothing to choose from');
	}

	return chosen;
};
