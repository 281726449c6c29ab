/** Places that are kept for refused callers which return when told. */

import {
	createDeadline, isPast, PAST, type CustomerId, type Deadline, type Instant,
} from '@guavapitch/core';

/** Places of one database; a caller is known by its customer and its kind of statement, since it may return on another connection. */
export type ReturnPlaces = Readonly<{
	/** Returns when the last place of a group of targets ends. */
	getEnd: (group: string) => Instant;
	/** Reserves a place; does nothing if too many are reserved. */
	reserve: (place: ReturnPlace, endsAt: Instant) => boolean;
	/** Takes the place of a caller that returns; `false` if it has none at this time. */
	take: (customer: CustomerId, route: string, now: Instant) => boolean;
	/** Returns the slot time of the places that are due before a deadline, in milliseconds. */
	getReservedMs: (until: Deadline, now: Instant) => number;
}>;

/** Place of one caller: its slot time in milliseconds, and when it returns. `group` names the targets that it can use. */
export type ReturnPlace = Readonly<{customer: CustomerId; route: string; group: string; workMs: number; returnsAt: Instant}>;

/** Maximum number of places; each is used for some seconds, in which an owner serves about as many statements. */
const MAX_PLACES = 1024;
/** How much earlier a caller may return than it was told, in milliseconds: rounding, and the time that its refusal took. */
const EARLY_MS = 50;
/** How much later a caller may return, in milliseconds: pauses of callers, and a new connection. */
const GRACE_MS = 500;

/** Creates an empty set of places. */
export const createReturnPlaces = (): ReturnPlaces => {
	/** Places in the order of their return. */
	let places: ReturnPlace[] = [];
	const endsByGroup = new Map<string, Instant>();

	const dropExpired = (now: Instant) => {
		const firstValid = places.findIndex(({returnsAt}) => !isPast(createDeadline(returnsAt, GRACE_MS), now));
		if (firstValid !== 0) {
			places = firstValid === -1 ? [] : places.slice(firstValid);
		}
	};

	return {
		getEnd: group => endsByGroup.get(group) ?? (PAST as number as Instant),
		reserve(place, endsAt) {
			if (places.length >= MAX_PLACES) {
				return false;
			}

			const index = places.findLastIndex(({returnsAt}) => returnsAt <= place.returnsAt) + 1;
			places.splice(index, 0, place);
			endsByGroup.set(place.group, endsAt);
			return true;
		},
		take(customer, route, now) {
			dropExpired(now);
			const index = places.findIndex(place => place.customer === customer && place.route === route && place.returnsAt - EARLY_MS <= now);
			if (index !== -1) {
				places.splice(index, 1);
			}

			return index !== -1;
		},
		getReservedMs(until, now) {
			dropExpired(now);
			let reservedMs = 0;
			for (const {returnsAt, workMs} of places) {
				if (isPast(until, returnsAt)) {
					break;
				}

				reservedMs += workMs;
			}

			return reservedMs;
		},
	};
};
