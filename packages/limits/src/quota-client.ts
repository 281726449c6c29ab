/** The entry's side of a share: tokens at hand, asked for ahead of need, spent before their deadline. */

import {
	createDeadline, createNotifier, Err, getRemainingMs, isPast, Ok, PAST,
	type Notifier, type CustomerId, type Deadline, type Failure, type Result, type World,
} from '@guavapitch/core';
import {
	createBucket, fillBucket, takeTokens, type Bucket, type Quota,
} from './bucket.js';
import {MAX_TOKEN_VALIDITY_MS, type TokenGrant, type TokenRequest} from './quota-allocator.js';

/** Refusal of a request over the share; it has not run. */
export type QuotaRefusal = Failure<'limitExceeded' | 'aborted'> & Readonly<{retryAfterMs: number}>;

/** Tokens of all customers in one process. */
export type QuotaClient = Readonly<{
	/** Spends a token, waiting a little for one. */
	acquire: (customer: CustomerId, deadline: Deadline, signal?: AbortSignal) => Promise<Result<undefined, QuotaRefusal>>;
	/** Gets how many tokens were spent, by customer. */
	getAcquiredCounts: () => ReadonlyMap<CustomerId, number>;
}>;

/** Asks the keeper of a customer. */
export type RequestTokens = (request: TokenRequest) => Promise<Result<TokenGrant, Failure>>;

type Waiter = {
	readonly deadline: Deadline;
	giveUpAt: Deadline;
	readonly keeperBy: Deadline;
	readonly settle: (result: Result<undefined, QuotaRefusal>) => void;
};

type Purse = {
	tokens: number;
	deadline: Deadline;
	epoch: number;
	/** Requests that wait for a token, in turn. */
	readonly waiting: Waiter[];
	/** Wakes the task of the purse. */
	readonly changed: Notifier;
	isRunning: boolean;
	spent: number;
	/** Tokens a millisecond that were had, as a moving mean. */
	granted: number;
	grantedAt: number;
	/** Whether the keeper gave fewer tokens than asked for the last time. */
	isShort: boolean;
	/** Requests a millisecond, as a moving mean. */
	demand: number;
	lastAt: number;
	retryAt: Deadline;
	/** Whether the last question was answered; a customer is not refused because its keeper is changing. */
	answered: boolean;
	/** Until when requests wait longer, as what piled up without a keeper is worked off. */
	patientUntil: Deadline;
	/** Questions that went unanswered since the last answer. */
	failures: number;
	/** Tokens of this process's own part, spent while no keeper answers. */
	own: Bucket;
};

/** Gets the part of a customer's share that this process may spend while no keeper answers; `undefined` for none. */
export type GetFallbackQuota = (customer: CustomerId) => Quota | undefined;

const WAIT_MS = 300;
const PATIENT_WAIT_MS = 2500;
const RECOVERY_MS = 5000;
const KEEPER_WAIT_MS = 4000;
const FIRST_RETRY_MS = 20;
const LONGEST_RETRY_MS = 300;
const DEMAND_WINDOW_MS = 500;
const MOST_WANTED = 1000;
/** Pause before the keeper is asked again after it gave fewer tokens than wanted, in milliseconds; several tokens at a time cost one question. */
const SHORT_PAUSE_MS = 50;
/** Window of the mean of granted tokens, in milliseconds. */
const GRANT_WINDOW_MS = 1000;
/** Requests of a customer that may wait whatever its rate. */
const LEAST_WAITING = 4;
/** Longest time after which a refused caller is asked to come back, in milliseconds. */
const LONGEST_RETRY_AFTER_MS = 2000;

/** Creates the allowances of a process. */
export const createQuotaClient = (ask: RequestTokens, world: World, getOwnPart: GetFallbackQuota = () => undefined): QuotaClient => {
	const purses = new Map<CustomerId, Purse>();

	const noteDemand = (purse: Purse) => {
		const now = world.now();
		const elapsed = Math.max(0.1, now - purse.lastAt);
		const share = Math.exp(-elapsed / DEMAND_WINDOW_MS);
		purse.demand = (purse.demand * share) + ((1 - share) / elapsed);
		purse.lastAt = now;
	};

	const refill = async (customer: CustomerId, purse: Purse) => {
		const askedAt = world.now();
		const isLiving = !isPast(purse.deadline, askedAt);
		const returned = isLiving ? purse.tokens : 0;
		const expected = Math.floor(purse.demand * MAX_TOKEN_VALIDITY_MS / 2);
		const wanted = Math.min(MOST_WANTED, Math.max(purse.waiting.length, expected, 1));
		purse.tokens = 0;
		const answer = await ask({
			customer, wanted, returned, epoch: purse.epoch,
		});
		if (answer.ok && !purse.answered) {
			purse.patientUntil = createDeadline(world.now(), RECOVERY_MS);
		}

		purse.answered = answer.ok;
		purse.failures = answer.ok ? 0 : purse.failures + 1;
		if (answer.ok) {
			const {tokens, validMs, retryAfterMs, epoch} = answer.val;
			const elapsed = Math.max(1, world.now() - purse.grantedAt);
			const share = Math.exp(-elapsed / GRANT_WINDOW_MS);
			purse.granted = (purse.granted * share) + ((1 - share) * Math.max(0, tokens - returned) / elapsed);
			purse.grantedAt = world.now();
			purse.isShort = tokens < wanted;
			purse.tokens = tokens;
			purse.epoch = epoch;
			purse.deadline = createDeadline(askedAt, validMs);
			purse.retryAt = createDeadline(world.now(), purse.isShort ? Math.max(SHORT_PAUSE_MS, retryAfterMs) : 0);
		} else {
			const longest = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * (2 ** purse.failures));
			purse.retryAt = createDeadline(world.now(), longest * (0.5 + (world.random() / 2)));
		}
	};

	const getPurse = (customer: CustomerId): Purse => {
		const known = purses.get(customer);
		if (known) {
			return known;
		}

		const purse: Purse = {
			tokens: 0, deadline: PAST, epoch: 0, waiting: [], changed: createNotifier(world), isRunning: false, spent: 0, demand: 0, lastAt: world.now(), retryAt: PAST,
			patientUntil: PAST, answered: true, failures: 0, granted: 0, grantedAt: world.now(), isShort: false, own: createBucket(world.now()),
		};
		purses.set(customer, purse);
		return purse;
	};

	const takeToken = (purse: Purse): boolean => {
		if (purse.tokens < 1 || isPast(purse.deadline, world.now())) {
			return false;
		}

		purse.tokens--;
		purse.spent++;
		return true;
	};

	/** Takes a token of the process's own part, if no keeper answers. */
	const takeOwnToken = (customer: CustomerId, purse: Purse): boolean => {
		const part = purse.answered ? undefined : getOwnPart(customer);
		if (!part) {
			return false;
		}

		const [after, taken] = takeTokens(fillBucket(purse.own, part, world.now()), 1);
		purse.own = after;
		purse.spent += taken;
		return taken === 1;
	};

	/** Computes when a request that begins to wait now gives up. */
	const computeGiveUp = (purse: Purse, deadline: Deadline): Deadline => {
		const now = world.now();
		const waitMs = isPast(purse.patientUntil, now) ? WAIT_MS : PATIENT_WAIT_MS;
		return Math.min(deadline, createDeadline(now, waitMs)) as Deadline;
	};

	/** Computes when a caller whose request is refused now may come back: after those that wait have had their tokens. */
	const computeRetryAfter = (purse: Purse): number => {
		const untilNext = getRemainingMs(purse.retryAt, world.now());
		const perToken = purse.granted > 0 ? 1 / purse.granted : 0;
		return Math.max(1, Math.ceil(Math.min(LONGEST_RETRY_AFTER_MS, untilNext + (purse.waiting.length * perToken))));
	};

	const createRefusal = (purse: Purse): Result<undefined, QuotaRefusal> => Err({
		code: 'limitExceeded',
		message: 'The customer has used its rate and burst',
		retryAfterMs: computeRetryAfter(purse),
	});

	/** Tells whether those that wait already will take every token that may come before a new one gives up. */
	const isHopeless = (purse: Purse): boolean => purse.answered
		&& purse.isShort
		&& isPast(purse.patientUntil, world.now())
		&& purse.waiting.length > LEAST_WAITING + (purse.granted * WAIT_MS);

	const getUntil = (purse: Purse, waiter: Waiter): Deadline => purse.answered ? waiter.giveUpAt : waiter.keeperBy;

	/** Gives tokens to those that wait, in turn, and refuses those that will not get one in time. */
	const serveWaiting = (customer: CustomerId, purse: Purse) => {
		while (purse.waiting.length > 0 && (takeToken(purse) || takeOwnToken(customer, purse))) {
			purse.waiting.shift()?.settle(Ok(undefined));
		}

		const now = world.now();
		const isOver = (waiter: Waiter): boolean => {
			const until = getUntil(purse, waiter);
			return isPast(until, now) || purse.retryAt > until;
		};

		for (const waiter of purse.waiting.filter(one => isOver(one))) {
			purse.waiting.splice(purse.waiting.indexOf(waiter), 1);
			waiter.settle(createRefusal(purse));
		}
	};

	/** Asks the keeper for those that wait until nobody does: one task for each customer. */
	const runPurse = async (customer: CustomerId, purse: Purse): Promise<void> => {
		purse.isRunning = true;
		while (purse.waiting.length > 0) {
			if (isPast(purse.retryAt, world.now())) {
				const wasAnswered = purse.answered;
				await refill(customer, purse);
				if (purse.answered && !wasAnswered) {
					// A new keeper starts empty: the wait for tokens begins when it answers.
					for (const waiter of purse.waiting) {
						waiter.giveUpAt = computeGiveUp(purse, waiter.deadline);
					}
				}
			} else {
				const earliest = Math.min(...purse.waiting.map(waiter => getUntil(purse, waiter)));
				await purse.changed.waitForChange(Math.min(earliest, purse.retryAt) as Deadline);
			}

			serveWaiting(customer, purse);
		}

		purse.isRunning = false;
	};

	const waitForToken = async (customer: CustomerId, purse: Purse, deadline: Deadline, signal?: AbortSignal): Promise<Result<undefined, QuotaRefusal>> => new Promise(settle => {
		const waiter: Waiter = {
			deadline,
			giveUpAt: computeGiveUp(purse, deadline),
			keeperBy: Math.min(deadline, createDeadline(world.now(), KEEPER_WAIT_MS)) as Deadline,
			settle,
		};
		purse.waiting.push(waiter);
		signal?.addEventListener('abort', () => {
			const index = purse.waiting.indexOf(waiter);
			if (index !== -1) {
				purse.waiting.splice(index, 1);
				settle(Err({code: 'aborted', message: 'The caller has gone', retryAfterMs: 0}));
			}
		}, {once: true});
		serveWaiting(customer, purse);
		if (purse.isRunning) {
			purse.changed.notify();
		} else if (purse.waiting.length > 0) {
			void runPurse(customer, purse);
		}
	});

	return {
		async acquire(customer, deadline, signal) {
			const purse = getPurse(customer);
			noteDemand(purse);
			if (signal?.aborted) {
				return Err({code: 'aborted', message: 'The caller has gone', retryAfterMs: 0});
			}

			if (purse.waiting.length === 0 && (takeToken(purse) || takeOwnToken(customer, purse))) {
				return Ok(undefined);
			}

			return isHopeless(purse) ? createRefusal(purse) : waitForToken(customer, purse, deadline, signal);
		},
		getAcquiredCounts: () => new Map([...purses].map(([customer, purse]) => [customer, purse.spent])),
	};
};
