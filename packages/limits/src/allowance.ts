/** The entry's side of a share: tokens at hand, asked for ahead of need, spent before their deadline. */

import {
	createDeadline, createNotifier, Err, getRemainingMs, isPast, Ok, PAST,
	type CustomerId, type Deadline, type Failure, type Result, type World,
} from '@guavapitch/core';
import {
	createBucket, fillBucket, takeTokens, type Bucket, type Share,
} from './bucket.js';
import {SPEND_MS, type Allotment, type AllotmentRequest} from './keeper.js';

/** Refusal of a request over the share; it has not run. */
export type ShareRefusal = Failure<'limitExceeded' | 'aborted'> & Readonly<{retryAfterMs: number}>;

/** Tokens of all customers in one process. */
export type Allowances = Readonly<{
	/** Spends a token, waiting a little for one. */
	spend: (customer: CustomerId, deadline: Deadline, signal?: AbortSignal) => Promise<Result<undefined, ShareRefusal>>;
	/** Gets how many tokens were spent, by customer. */
	getSpent: () => ReadonlyMap<CustomerId, number>;
}>;

/** Asks the keeper of a customer. */
export type AskKeeper = (request: AllotmentRequest) => Promise<Result<Allotment, Failure>>;

type Purse = {
	tokens: number;
	deadline: Deadline;
	epoch: number;
	waiting: number;
	spent: number;
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
	/** Whether a question to the keeper is under way. */
	refilling: boolean;
	/** Tokens of this process's own part, spent while no keeper answers. */
	own: Bucket;
};

/** Gets the part of a customer's share that this process may spend while no keeper answers; `undefined` for none. */
export type GetOwnPart = (customer: CustomerId) => Share | undefined;

const WAIT_MS = 300;
const PATIENT_WAIT_MS = 2500;
const RECOVERY_MS = 5000;
const KEEPER_WAIT_MS = 4000;
const FIRST_RETRY_MS = 20;
const LONGEST_RETRY_MS = 300;
const DEMAND_WINDOW_MS = 500;
const MOST_WANTED = 1000;

/** Creates the allowances of a process. */
export const createAllowances = (ask: AskKeeper, world: World, getOwnPart: GetOwnPart = () => undefined): Allowances => {
	const purses = new Map<CustomerId, Purse>();
	const changed = createNotifier(world);

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
		const expected = Math.floor(purse.demand * SPEND_MS / 2);
		const wanted = Math.min(MOST_WANTED, Math.max(purse.waiting, expected, 1));
		purse.tokens = 0;
		purse.refilling = true;
		const answer = await ask({
			customer, wanted, returned, epoch: purse.epoch,
		});
		purse.refilling = false;
		if (answer.ok && !purse.answered) {
			purse.patientUntil = createDeadline(world.now(), RECOVERY_MS);
		}

		purse.answered = answer.ok;
		purse.failures = answer.ok ? 0 : purse.failures + 1;
		if (answer.ok) {
			const {tokens, validMs, retryAfterMs, epoch} = answer.val;
			purse.tokens = tokens;
			purse.epoch = epoch;
			purse.deadline = createDeadline(askedAt, validMs);
			purse.retryAt = createDeadline(world.now(), tokens > 0 ? 0 : Math.max(1, retryAfterMs));
		} else {
			const longest = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * (2 ** purse.failures));
			purse.retryAt = createDeadline(world.now(), longest * (0.5 + (world.random() / 2)));
		}

		changed.notify();
	};

	const getPurse = (customer: CustomerId): Purse => {
		const known = purses.get(customer);
		if (known) {
			return known;
		}

		const purse: Purse = {
			tokens: 0, deadline: PAST, epoch: 0, waiting: 0, spent: 0, demand: 0, lastAt: world.now(), retryAt: PAST,
			patientUntil: PAST, answered: true, failures: 0, refilling: false, own: createBucket(world.now()),
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

	const createRefusal = (purse: Purse): ShareRefusal => ({
		code: 'limitExceeded',
		message: 'The customer has used its rate and burst',
		retryAfterMs: Math.max(1, Math.ceil(getRemainingMs(purse.retryAt, world.now()))),
	});

	return {
		async spend(customer, deadline, signal) {
			const purse = getPurse(customer);
			let giveUpAt = computeGiveUp(purse, deadline);
			let wasAnswered = purse.answered;
			const keeperBy = Math.min(deadline, createDeadline(world.now(), KEEPER_WAIT_MS)) as Deadline;
			noteDemand(purse);
			purse.waiting++;
			try {
				while (!takeToken(purse) && !takeOwnToken(customer, purse)) {
					if (signal?.aborted) {
						return Err({code: 'aborted', message: 'The caller has gone', retryAfterMs: 0});
					}

					// A new keeper starts empty: the wait for tokens begins when it answers.
					if (purse.answered && !wasAnswered) {
						giveUpAt = computeGiveUp(purse, deadline);
					}

					wasAnswered = purse.answered;
					const until = purse.answered ? giveUpAt : keeperBy;
					if (isPast(until, world.now()) || purse.retryAt > until) {
						return Err(createRefusal(purse));
					}

					if (purse.refilling) {
						await changed.waitForChange(until, signal);
					} else if (isPast(purse.retryAt, world.now())) {
						await refill(customer, purse);
					} else {
						await changed.waitForChange(Math.min(until, purse.retryAt) as Deadline, signal);
					}
				}

				return Ok(undefined);
			} finally {
				purse.waiting--;
			}
		},
		getSpent: () => new Map([...purses].map(([customer, purse]) => [customer, purse.spent])),
	};
};
