/** Order of a planned stop: which work a vm still takes at which time, so that each request that it has read is answered before its process ends. */

import {
	chooseEarliest, createDeadline, isPast, NEVER, type Deadline, type Instant,
} from '@guavapitch/core';

/** Times of a planned stop, in their order. */
export type StopPlan = Readonly<{
	/** Until when the load balancer may send new callers here. Afterwards sessions are closed when they are idle, and no new ones are opened. */
	callersUntil: Deadline;
	/** Until when statements are passed on. Afterwards they are refused, as is every transaction that is still open; only a commit that ends in time is passed on. */
	statementsUntil: Deadline;
	/** Deadline of all statements that are passed on; the time after it is for their answers. */
	answersUntil: Deadline;
	/** When the sessions that are left are closed; none has a request in progress. */
	sessionsUntil: Deadline;
	/** When the process ends. */
	endsAt: Deadline;
}>;

/** Time until the load balancer routes new connections to other vms, in milliseconds: two readiness probes, one second apart. */
const BALANCER_DELAY_MS = 2100;
/** Fraction of the grace period that open transactions have to end. */
const STATEMENTS_FRACTION = 0.5;
/** Fraction of the grace period after which the process ends, before the platform kills it. */
const END_FRACTION = 0.9;
/** Time for answers from an owner at another vm, in milliseconds: longer than the transit that a router allows for an answer at the deadline. */
const ANSWER_MS = 250;
/** Time for the operating system to deliver the last answers, in milliseconds. */
const DELIVERY_MS = 150;

/** Creates the plan of a stop that began at an instant, with the grace period in milliseconds. */
export const createStopPlan = (startedAt: Instant, graceMs: number): StopPlan => {
	const endsAt = createDeadline(startedAt, graceMs * END_FRACTION);
	const sessionsUntil = createDeadline(startedAt, Math.max(0, (graceMs * END_FRACTION) - DELIVERY_MS));
	const answersUntil = createDeadline(startedAt, Math.max(0, (graceMs * END_FRACTION) - DELIVERY_MS - ANSWER_MS));
	const statementsUntil = chooseEarliest([createDeadline(startedAt, graceMs * STATEMENTS_FRACTION), answersUntil]);
	return {
		callersUntil: chooseEarliest([createDeadline(startedAt, BALANCER_DELAY_MS), statementsUntil]), statementsUntil, answersUntil, sessionsUntil, endsAt,
	};
};

/** Returns the deadline of a statement that may take until `deadline`, while a stop may be in progress. */
export const computeStatementDeadline = (plan: StopPlan | undefined, deadline: Deadline): Deadline => chooseEarliest([deadline, plan?.answersUntil ?? NEVER]);

/** Tells whether a statement that may take until `deadline` is passed on while a stop may be in progress. */
export const isPassedOn = (plan: StopPlan | undefined, statement: Readonly<{isCommit: boolean; deadline: Deadline}>, now: Instant): boolean => !plan
	|| !isPast(plan.statementsUntil, now)
	|| (statement.isCommit && statement.deadline <= plan.answersUntil);

/** What becomes of sessions: they stay open, are closed when they are idle, or are closed whatever their state. */
export type SessionClosing = 'none' | 'idle' | 'all';

/** Tells what becomes of sessions at a moment of a stop. */
export const chooseSessionClosing = (plan: StopPlan | undefined, now: Instant): SessionClosing => {
	if (!plan || !isPast(plan.callersUntil, now)) {
		return 'none';
	}

	return isPast(plan.sessionsUntil, now) ? 'all' : 'idle';
};
