/** Waits until the writes of an answer are held by every awaited replica. */

import {
	createSingleFlight, isPast, type DatabaseId, type Deadline, type TargetId, type Result, type Failure, type World,
} from '@guavapitch/core';
import {isReplicated, type GrantRegistry} from './grant-registry.js';

/** What a primary says of its log and its replicas. */
export type PrimaryPositions = Readonly<{
	/** End of the log. */
	position: number;
	/** Position each replica has replayed, by name. */
	replayed: ReadonlyMap<string, number>;
}>;

/** Reads the positions of a primary. */
export type ReadPositions = (target: TargetId) => Promise<Result<PrimaryPositions, Failure>>;

/** How waiting for an acknowledgement ended. */
export type DurabilityOutcome
	/** The answer may be released. */
	= | 'durable'
	/** The primary may have been replaced, or nothing could be proved in time. */
		| 'unproved';

/** What the wait is for. */
export type DurabilityRequest = Readonly<{
	database: DatabaseId;
	target: TargetId;
	/** Term in which the write was sent. */
	term: number;
	deadline: Deadline;
	/** Aborts when nobody waits for the answer. */
	signal: AbortSignal;
}>;

const FIRST_PAUSE_MS = 1;
const LONGEST_PAUSE_MS = 10;

/** Creates the wait of one primary; waiting answers share one probe. */
export const createDurabilityWaiter = (book: GrantRegistry, readPositions: ReadPositions, world: World): ((request: DurabilityRequest) => Promise<DurabilityOutcome>) => {
	const flights = new Map<TargetId, () => Promise<Result<PrimaryPositions, Failure>>>();

	const probe = async (target: TargetId) => {
		const flight = flights.get(target) ?? createSingleFlight(async () => readPositions(target));
		flights.set(target, flight);
		return flight();
	};

	/** Under a grant that is valid at this moment, the primary has not been replaced. */
	const isProved = (request: DurabilityRequest, position: number, replayed: ReadonlyMap<string, number>): boolean => {
		const record = book.checkAcknowledgement(request.database, request.target);
		return record.ok && record.val.term === request.term && isReplicated(record.val, position, replayed);
	};

	/** Tells whether the record says that no replica is waited for. */
	const isAloneEnough = (request: DurabilityRequest): boolean => {
		const record = book.checkAcknowledgement(request.database, request.target);
		return record.ok && record.val.term === request.term && !record.val.replicated;
	};

	return async request => {
		let position: number | undefined;
		let pauseMs = FIRST_PAUSE_MS;
		while (!isPast(request.deadline, world.now()) && !request.signal.aborted) {
			const state = await book.waitForTerm(request.database, request.term, request.deadline, request.signal);
			if (state !== 'valid') {
				return 'unproved';
			}

			if (isAloneEnough(request)) {
				return 'durable';
			}

			const positions = await probe(request.target);
			if (positions.ok) {
				position ??= positions.val.position;
				if (isProved(request, position, positions.val.replayed)) {
					return 'durable';
				}
			}

			await world.sleep(pauseMs);
			pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
		}

		return 'unproved';
	};
};
