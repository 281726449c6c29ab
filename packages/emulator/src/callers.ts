/** Emulated callers: operations that come at random times, and callers that try again. */

import {
	createDeadline, getRemainingMs, isPast, parseId, type CustomerId, type Deadline, type World,
} from '@guavapitch/core';
import type {StatementResponse, StatementRequest} from '@guavapitch/sessions';
import type {Load, OperationClass, CustomerLoad} from './loads.js';
import {EMULATED_DATABASE} from './targets.js';

/** How an operation ended for its caller. */
export type OperationOutcome = 'prompt' | 'late' | 'refused' | 'failed';

/** One operation from its first attempt on. */
export type OperationResult = Readonly<{
	className: string;
	customer: string;
	dataCentre: string;
	/** Milliseconds from the start of the load. */
	startedAtMs: number;
	outcome: OperationOutcome;
	latencyMs: number;
	/** Worth that it earned, and that it could have earned. */
	earnedWorth: number;
	maxWorth: number;
}>;

/** Runs a statement at the home; `undefined` if the vm is away. */
export type RunStatement = (request: StatementRequest) => Promise<StatementResponse | undefined>;

type Attempt = Readonly<{ok: boolean; isRepeatable: boolean; retryAfterMs: number}>;

const PAUSE_MS = 40;
const STATEMENTS = 3;
/** Pause before another attempt without a hint, in milliseconds. */
const RETRY_MS = 100;

/** What callers work with. */
type CallContext = Readonly<{load: Load; world: World; run: RunStatement}>;

/** Runs one operation with its attempts. */
const runOperation = async ({load, world, run}: CallContext, one: OperationClass, customer: string): Promise<OperationResult> => {
	const startedAt = world.now();
	const deadline = createDeadline(startedAt, one.timeoutMs);
	const dataCentre = load.dataCentres[Math.floor(world.random() * load.dataCentres.length)] ?? '';
	const isTransaction = world.random() < one.transactionFraction;
	const isWrite = world.random() < one.writeFraction;

	const createRequest = (text: string, transaction: StatementRequest['transaction']): StatementRequest => ({
		id: world.createId(),
		database: EMULATED_DATABASE,
		customer: parseId<CustomerId>(customer),
		statement: text === 'COMMIT' ? {kind: 'commit', text} : {kind: 'text', access: text.startsWith('WRITE') ? 'write' : 'read', text},
		consistency: one.consistency,
		floor: undefined,
		values: [],
		transaction,
		remainingMs: Math.max(0, getRemainingMs(deadline, world.now())),
		promptMs: Math.max(0, one.latencyObjectiveMs - (world.now() - startedAt)),
		priority: one.priority,
	});

	const listTexts = (): readonly string[] => {
		const own = `${isWrite ? 'WRITE' : 'READ'} ${one.name}`;
		return isTransaction ? [...Array.from({length: STATEMENTS}, () => own), 'COMMIT'] : [own];
	};

	let pausedMs = 0;
	const attempt = async (): Promise<Attempt> => {
		const transaction = world.createId();
		for (const [index, text] of listTexts().entries()) {
			await world.sleep(load.networkDelayMs);
			const answer = await run(createRequest(text, isTransaction ? {id: transaction, readOnly: !isWrite, isFirst: index === 0} : undefined));
			await world.sleep(load.networkDelayMs);
			if (answer?.outcome.kind !== 'done') {
				const isRefused = answer?.outcome.kind === 'refused';
				const isRead = !isWrite || (isTransaction && text !== 'COMMIT');
				return {ok: false, isRepeatable: isRefused || isRead, retryAfterMs: answer?.outcome.kind === 'refused' ? answer.outcome.retryAfterMs : 0};
			}

			if (isTransaction && text !== 'COMMIT') {
				const pauseMs = PAUSE_MS * world.random();
				pausedMs += pauseMs;
				await world.sleep(pauseMs);
			}
		}

		return {ok: true, isRepeatable: false, retryAfterMs: 0};
	};

	let last = await attempt();
	for (let retry = 0; retry < one.retries && !last.ok && last.isRepeatable; retry++) {
		await world.sleep(Math.max(last.retryAfterMs, RETRY_MS * (0.5 + world.random())));
		if (isPast(deadline, world.now())) {
			break;
		}

		last = await attempt();
	}

	const ms = world.now() - startedAt - pausedMs;
	const isInTime = last.ok && world.now() - pausedMs <= deadline;
	const isPrompt = ms <= one.latencyObjectiveMs;
	const end: OperationOutcome = isInTime ? (isPrompt ? 'prompt' : 'late') : (last.isRepeatable ? 'refused' : 'failed');
	return {
		className: one.name, customer, dataCentre, startedAtMs: startedAt, outcome: end, latencyMs: ms, maxWorth: one.worth, earnedWorth: isInTime ? (isPrompt ? one.worth : one.lateWorth) : 0,
	};
};

/** Computes how many times as often a customer asks now. */
const computeTimes = (load: Load, customer: string, now: number): number => load.events
	.filter(event => event.kind === 'more' && now >= event.atMs && now < event.untilMs && (event.customer ?? customer) === customer)
	.reduce((times, event) => times * (event.kind === 'more' ? event.factor : 1), 1);

/** Operations of one class that one customer asks for. */
type Arrivals = Readonly<{one: OperationClass; customer: CustomerLoad; end: Deadline; onArrival: () => void}>;

/** Lets operations arrive at random times until the load is over. */
const sendOperations = async ({load, world}: CallContext, {one, customer, end, onArrival}: Arrivals): Promise<void> => {
	const mostTimes = Math.max(1, ...load.events.map(event => event.kind === 'more' ? event.factor : 1));
	const perMs = one.operationsPerSecond * customer.fraction * mostTimes / 1000;
	while (!isPast(end, world.now())) {
		await world.sleep(-Math.log(1 - world.random()) / perMs);
		// Arrivals are drawn at the highest rate and thinned out, so that the rate may change at any time.
		if (world.random() < computeTimes(load, customer.name, world.now()) / mostTimes) {
			onArrival();
		}
	}
};

/** Runs all callers of a load; gives their operations. */
export const runCallers = async (load: Load, world: World, run: RunStatement): Promise<readonly OperationResult[]> => {
	const end = createDeadline(world.now(), load.durationMs);
	const seen: OperationResult[] = [];
	const running: Array<Promise<void>> = [];
	const context: CallContext = {load, world, run};
	const runOne = async (one: OperationClass, customer: CustomerLoad) => {
		seen.push(await runOperation(context, one, customer.name));
	};

	await Promise.all(load.classes.flatMap(one => load.customers.map(async customer => sendOperations(context, {
		one,
		customer,
		end,
		onArrival() {
			running.push(runOne(one, customer));
		},
	}))));
	await Promise.all(running);
	return seen;
};
