/** Holds back the response to a write until every replica that acknowledgements wait for has replayed the write. */

import {
	createSingleFlight, isPast, type DatabaseId, type Deadline, type TargetId, type Result, type Failure, type Runtime,
} from '@guavapitch/core';
import {isReplicated, type GrantRegistry} from './grant-registry.js';

/** Log positions that a primary reports for itself and its replicas. */
export type PrimaryPositions = Readonly<{
	/** End of the log of the primary. */
	position: number;
	/** Position that each replica has replayed, by the name of the replica. */
	replayedPositions: ReadonlyMap<string, number>;
}>;

/** Reads the log positions of a primary and its replicas. */
export type ReadPositions = (target: TargetId) => Promise<Result<PrimaryPositions, Failure>>;

/** Outcome of waiting until a write is durable. */
export type DurabilityOutcome
	/** The write is durable: its response may be sent to the caller. */
	= | 'durable'
	/** The primary may have been replaced, or the deadline passed before durability was confirmed. */
		| 'unproved';

/** The write to wait for. */
export type DurabilityRequest = Readonly<{
	database: DatabaseId;
	target: TargetId;
	/** Term in which the write was sent. */
	term: number;
	deadline: Deadline;
	/** Aborts when the caller no longer waits for the response. */
	signal: AbortSignal;
}>;

const INITIAL_BACKOFF_MS = 1;
const MAX_BACKOFF_MS = 10;

/** Creates a function that waits until a write is durable. Concurrent waits for the same target share one read of its positions. */
export const createDurabilityWaiter = (grants: GrantRegistry, readPositions: ReadPositions, runtime: Runtime): ((request: DurabilityRequest) => Promise<DurabilityOutcome>) => {
	const sharedReads = new Map<TargetId, () => Promise<Result<PrimaryPositions, Failure>>>();

	const readSharedPositions = async (target: TargetId) => {
		const sharedRead = sharedReads.get(target) ?? createSingleFlight(async () => readPositions(target));
		sharedReads.set(target, sharedRead);
		return sharedRead();
	};

	/** Tells whether every replica that acknowledgements wait for has replayed the position. The grant must be valid at this moment, which proves that the primary has not been replaced. */
	const isConfirmed = (request: DurabilityRequest, position: number, replayedPositions: ReadonlyMap<string, number>): boolean => {
		const record = grants.checkAcknowledgement(request.database, request.target);
		return record.ok && record.val.term === request.term && isReplicated(record.val, position, replayedPositions);
	};

	/** Tells whether acknowledgements of this database do not wait for replicas. */
	const isPrimarySufficient = (request: DurabilityRequest): boolean => {
		const record = grants.checkAcknowledgement(request.database, request.target);
		return record.ok && record.val.term === request.term && !record.val.replicated;
	};

	return async request => {
		let position: number | undefined;
		let backoffMs = INITIAL_BACKOFF_MS;
		while (!isPast(request.deadline, runtime.now()) && !request.signal.aborted) {
			const grantState = await grants.waitForTerm(request.database, request.term, request.deadline, request.signal);
			if (grantState !== 'valid') {
				return 'unproved';
			}

			if (isPrimarySufficient(request)) {
				return 'durable';
			}

			const positions = await readSharedPositions(request.target);
			if (positions.ok) {
				position ??= positions.val.position;
				if (isConfirmed(request, position, positions.val.replayedPositions)) {
					return 'durable';
				}
			}

			await runtime.sleep(backoffMs);
			backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
		}

		return 'unproved';
	};
};
