/** The data centres that operators have evacuated, as one vm knows them through the change feed. */

import {
	createDeadline, NEVER, type DataCentreId, type Deadline,
} from '@guavapitch/core';
import type {Feed} from '@guavapitch/feed';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';

/** Evacuations known to one vm. */
export type Evacuations = Readonly<{
	/** Reads the operators' keys from the feed; called when they have changed. */
	refresh: () => void;
	/** Returns the deadline of the suspension clock after which nothing more may be sent to the targets of a data centre; `NEVER` unless it is evacuated. */
	getDeadline: (dataCentre: DataCentreId) => Deadline;
	list: () => readonly DataCentreId[];
}>;

/**
 * Fraction of the time allowed for an evacuation after which nothing more is sent to the targets.
 * The rest is for what is then on its way: a command that waits for the setup of its session or for a slow link.
 */
const SENDING_FRACTION = 0.8;

/** Dependencies of the evacuations. */
export type EvacuationContext = Pick<VmContext, 'operatorPrefix' | 'parseEvacuation' | 'getEvacuationMs' | 'emit'> & Readonly<{
	getFeed: () => Pick<Feed, 'list' | 'getCompleteAt' | 'getAgeMs'>;
}>;

/** Creates the evacuations of a vm, of which none is known yet. */
export const createEvacuations = (context: EvacuationContext): Evacuations => {
	const deadlines = new Map<DataCentreId, Deadline>();

	const report = (dataCentre: DataCentreId, isEvacuated: boolean) => {
		context.emit(EVENTS.evacuationChanged, {dataCentre, isEvacuated, ageMs: Math.round(Math.min(context.getFeed().getAgeMs(), Number.MAX_SAFE_INTEGER))});
	};

	return {
		refresh() {
			const feed = context.getFeed();
			const named = new Set(feed.list(context.operatorPrefix).flatMap(({key}) => context.parseEvacuation(key) ?? []));
			for (const dataCentre of deadlines.keys()) {
				if (!named.has(dataCentre)) {
					deadlines.delete(dataCentre);
					report(dataCentre, false);
				}
			}

			for (const dataCentre of named) {
				if (!deadlines.has(dataCentre)) {
					// The store received the key after the read before. A vm that reads it first has no such read, so that the evacuation is in force at once.
					deadlines.set(dataCentre, createDeadline(feed.getCompleteAt(context.operatorPrefix), context.getEvacuationMs() * SENDING_FRACTION));
					report(dataCentre, true);
				}
			}
		},
		getDeadline: dataCentre => deadlines.get(dataCentre) ?? NEVER,
		list: () => [...deadlines.keys()],
	};
};
