/** Seeded random numbers, for runs that can be repeated. */

/** Returns the next random number in [0, 1). */
export type Random = () => number;

const STATE_INCREMENT = 0x6D_2B_79_F5;
const UINT32_RANGE = 4_294_967_296;

/** Creates a random number generator (mulberry32) from a seed. */
export const createRandom = (seed: number): Random => {
	let state = seed >>> 0;
	return () => {
		state = (state + STATE_INCREMENT) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
	};
};

/** Chooses one of the items at random; throws a `RangeError` if there are none. */
export const chooseRandom = <Item>(items: readonly Item[], random: Random): Item => {
	const chosen = items[Math.floor(random() * items.length)];
	if (chosen === undefined) {
		throw new RangeError('There are no items to choose from');
	}

	return chosen;
};
