/** Paces of a database's targets: compares their answers with those of the targets in steady service, and keeps reads away from a target without room. */

import {
	isPast, type Runtime, type TargetId,
} from '@guavapitch/core';
import type {StatementRequest} from '@guavapitch/sessions';
import type {TargetLoad} from './slot-scheduler.js';
import {createTargetPace, type TargetPace} from './target-pace.js';

/** Dependencies of the paces. */
export type TargetPacesContext = Readonly<{
	runtime: Runtime;
	getLeader: () => TargetId | undefined;
	/** Returns the number of statements that a target runs concurrently. */
	getSlots: (target: TargetId) => number;
	listTargets: () => readonly TargetId[];
	/** Returns the number of a target's slots that are in use. */
	getBusyCount: (target: TargetId) => number;
	/** Returns the mean time for opening a connection to a target, in milliseconds. */
	getDialMs: (target: TargetId) => number;
	/** Called when a target without room has room again. */
	onRoom: () => void;
	/** Called when a target no longer has all its slots, and when it has them again. */
	onChange: (target: TargetId, isLimited: boolean, reason: string) => void;
}>;

/** A read to place, and which of the targets may serve it. */
export type PacedRead = Readonly<{request: StatementRequest; isEligible: (target: TargetId) => boolean; estimateConnectMs: (target: TargetId) => number}>;

/** Paces of the targets of one database. */
export type TargetPaces = Readonly<{
	/** Returns how many slots of a target may be in use at a time; not a whole number, and at least 1. */
	getLimit: (target: TargetId) => number;
	/** Returns the window of a target in slots, below 1 for a fraction of the time. */
	getWindow: (target: TargetId) => number;
	/** Filters the targets with a free slot that may serve a read by their paces; a limited target is left only if it has room and the read's objective allows for its speed. */
	filterReadTargets: (freeTargets: readonly TargetLoad[], read: PacedRead) => readonly TargetLoad[];
	/** Records that a request was placed on a target. */
	recordSent: (target: TargetId) => void;
	/** Records that a statement was answered `ms` milliseconds after it was sent. */
	recordAnswer: (target: TargetId, ms: number, request: StatementRequest) => void;
	/** Records that opening a connection for a request took `ms` milliseconds. */
	recordDial: (target: TargetId, ms: number, request: StatementRequest) => void;
	/** Records that a target gave no answer within `ms` milliseconds, or lost the connection. */
	recordFailure: (target: TargetId, ms: number) => void;
	/** Records that a target responds again after it was considered down; ignored if it has answered requests all along. */
	recordRecovery: (target: TargetId) => void;
	/** Records that a target was promoted. */
	recordPromotion: (target: TargetId) => void;
	/** Forgets a target, or its last run. */
	remove: (target: TargetId) => void;
}>;

/** Multiple of the time of a steady target up to which an answer is in time: statement times vary by about this factor. */
const IN_TIME_FACTOR = 2;
/** Part of its objective that a request may spend at a target: with all slots in use, it waits about as long as it runs. */
const OBJECTIVE_FRACTION = 0.5;
/** Number of statements for which the objective of a transaction must allow: its own number is unknown when it begins. */
const TRANSACTION_STATEMENTS = 4;
/** Number of probe intervals after which a limited target gets a request whose objective does not allow for its speed: there may be no other requests. */
const FORCED_PROBE_INTERVALS = 4;

/** Weight of a new answer in the mean time of a steady target's statements. */
const MEAN_WEIGHT = 0.1;
/** Number of answers from which the mean time of a target's statements is compared with others. */
const MIN_ANSWERS = 8;

/** Mean time of the statements of one priority, in milliseconds, and the number of answers. */
type StatementTime = Readonly<{meanMs: number; count: number}>;

/** The time of a steady target to which others are compared. */
type Reference = Readonly<{id: TargetId; statementMs: number}>;

/** Pace of a target and the times of its statements, by priority. */
type PacedTarget = Readonly<{pace: TargetPace; times: Map<number, StatementTime>}>;

const getObjectiveMs = ({promptMs, remainingMs}: StatementRequest): number => Math.min(promptMs, remainingMs);

/** Creates the paces of a database without targets. */
export const createTargetPaces = (context: TargetPacesContext): TargetPaces => {
	const {runtime, getLeader, getSlots} = context;
	const pacedTargets = new Map<TargetId, PacedTarget>();
	/** Longest objective seen, by priority. */
	const objectives = new Map<number, number>();

	const getPacedTarget = (target: TargetId): PacedTarget => {
		const existing = pacedTargets.get(target);
		if (existing) {
			return existing;
		}

		const created: PacedTarget = {pace: createTargetPace(runtime), times: new Map()};
		pacedTargets.set(target, created);
		return created;
	};

	const getPace = (target: TargetId): TargetPace => getPacedTarget(target).pace;

	/** Returns the time that the fastest other target in steady service takes for statements of a priority, replicas first since they serve the same reads; `undefined` if none is known. */
	const findReference = (target: TargetId, priority: number): Reference | undefined => {
		const references = context.listTargets().flatMap(id => {
			const time = id === target || getPace(id).isLimited() ? undefined : getPacedTarget(id).times.get(priority);
			return time && time.count >= MIN_ANSWERS ? [{id, statementMs: time.meanMs}] : [];
		});
		const replicas = references.filter(({id}) => id !== getLeader());
		return (replicas.length > 0 ? replicas : references).toSorted((a, b) => a.statementMs - b.statementMs)[0];
	};

	const recordStatementTime = (target: TargetId, ms: number, priority: number) => {
		const {times} = getPacedTarget(target);
		const {meanMs, count} = times.get(priority) ?? {meanMs: 0, count: 0};
		times.set(priority, {meanMs: meanMs + ((ms - meanMs) * Math.max(MEAN_WEIGHT, 1 / (count + 1))), count: count + 1});
	};

	/** Changes the pace of a target, and reports if that limits the target or ends its limit. */
	const changePace = (target: TargetId, reason: string, change: (pace: TargetPace) => void) => {
		const pace = getPace(target);
		const wasLimited = pace.isLimited();
		change(pace);
		if (pace.isLimited() !== wasLimited) {
			context.onChange(target, !wasLimited, reason);
		}

		const roomFrom = pace.getRoomFrom();
		if (!isPast(roomFrom, runtime.now())) {
			runtime.schedule(roomFrom - runtime.now(), context.onRoom);
		}
	};

	/** Returns the longest objective left to requests of the same priority: what is left to one that waited or was retried is not the fault of the target. */
	const updateObjective = (request: StatementRequest): number => {
		const objectiveMs = Math.max(getObjectiveMs(request), objectives.get(request.priority) ?? 0);
		objectives.set(request.priority, objectiveMs);
		return objectiveMs;
	};

	const recordTime = (target: TargetId, ms: number, referenceMs: number | undefined, request: StatementRequest) => {
		const objectiveMs = updateObjective(request);
		// Nothing replaces a leader, or a target while none is in steady service: it gets what it can answer in time, and is not held back for being slow.
		const isReplaceable = referenceMs !== undefined && target !== getLeader();
		changePace(target, 'it answers in time', pace => {
			pace.recordAnswer({
				ms,
				referenceMs,
				expectedMs: isReplaceable ? Math.min(objectiveMs * OBJECTIVE_FRACTION, referenceMs * IN_TIME_FACTOR) : objectiveMs,
				lateMs: isReplaceable ? objectiveMs : Number.POSITIVE_INFINITY,
				slots: getSlots(target),
			});
		});
	};

	return {
		getLimit: target => getPace(target).getLimit(getSlots(target)),
		getWindow: target => getPace(target).getWindow(getSlots(target)),
		filterReadTargets(freeTargets, {request, isEligible, estimateConnectMs}) {
			const candidates = freeTargets.filter(({id}) => isEligible(id) && isPast(getPace(id).getRoomFrom(), runtime.now()));
			if (!context.listTargets().some(id => isEligible(id) && !getPace(id).isLimited())) {
				return candidates;
			}

			const chosen: TargetLoad[] = [];
			for (const load of candidates) {
				const pace = getPace(load.id);
				const reference = pace.isLimited() ? findReference(load.id, request.priority) : undefined;
				if (!reference) {
					chosen.push(load);
					continue;
				}

				const connectMs = estimateConnectMs(load.id) > 0 ? context.getDialMs(reference.id) : 0;
				const expectedMs = pace.getSlowness() * ((reference.statementMs * (request.transaction ? TRANSACTION_STATEMENTS : 1)) + connectMs);
				const isFitting = expectedMs <= getObjectiveMs(request) * OBJECTIVE_FRACTION;
				// The leader needs no probes: its writes show its speed.
				if (load.id !== getLeader() && pace.isProbeDue(isFitting ? 1 : FORCED_PROBE_INTERVALS)) {
					return [load];
				}

				if (isFitting) {
					chosen.push({...load, meanMs: pace.getSlowness() * reference.statementMs});
				}
			}

			return chosen;
		},
		recordSent(target) {
			getPace(target).recordSent();
		},
		recordAnswer(target, ms, request) {
			recordStatementTime(target, ms, request.priority);
			recordTime(target, ms, findReference(target, request.priority)?.statementMs, request);
		},
		recordDial(target, ms, request) {
			const reference = findReference(target, request.priority);
			recordTime(target, ms, reference && context.getDialMs(reference.id), request);
		},
		recordFailure(target, ms) {
			changePace(target, 'a request got no answer', pace => {
				pace.recordFailure(ms, getSlots(target));
			});
		},
		recordRecovery(target) {
			changePace(target, 'it responds again', pace => {
				if (!pace.hasRecentAnswer()) {
					pace.recordGap(context.getBusyCount(target));
				}
			});
		},
		recordPromotion(target) {
			changePace(target, 'it was promoted', pace => {
				pace.recordGap(context.getBusyCount(target));
			});
		},
		remove(target) {
			pacedTargets.delete(target);
		},
	};
};
