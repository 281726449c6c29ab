/** Emulated callers: operations arrive at random times and are retried after failures. */

import {
	createDeadline, getRemainingMs, isPast, brandId, type CustomerId, type Deadline, type Runtime,
} from '@guavapitch/core';
import type {StatementResponse, StatementRequest} from '@guavapitch/sessions';
import type {Load, OperationClass, CustomerLoad} from './loads.js';
import {EMULATED_DATABASE} from './targets.js';

/**
 * Outcome of an operation for its caller.
 *
 * - `prompt`: completed within its latency objective.
 * - `late`: completed later, but before its timeout.
 * - `refused`: not completed; its last attempt wrote nothing.
 * - `failed`: not completed, and a write may have run, or completed after its timeout.
 */
export type OperationOutcome = 'prompt' | 'late' | 'refused' | 'failed';

/** Result of one operation, including its retries. */
export type OperationResult = Readonly<{
	className: string;
	/** Identifiers of its requests, one for each statement of each attempt. */
	requestIds: readonly string[];
	customer: string;
	dataCentre: string;
	/** Milliseconds from the start of the load. */
	startedAtMs: number;
	outcome: OperationOutcome;
	/** Time from the first attempt to the end, without the pauses of the caller, in milliseconds. */
	latencyMs: number;
	/** Worth that the operation earned. */
	earnedWorth: number;
	/** Worth of the operation if it meets its latency objective. */
	maxWorth: number;
	attempts: readonly OperationAttempt[];
}>;

/** One attempt of an operation; `isRefused` if the owner refused it, and `isReturn` if it was made at the time that the refusal of the previous attempt told. */
export type OperationAttempt = Readonly<{isDone: boolean; isRefused: boolean; isReturn: boolean; durationMs: number}>;

/** Runs a statement at the database owner; resolves to `undefined` if the vm is down. */
export type RunStatement = (request: StatementRequest) => Promise<StatementResponse | undefined>;

/** Result of one attempt; an attempt is repeatable if repeating it cannot run a write twice. `retryAfterMs` is the pause before a retry that the response asks for. */
type AttemptResult = Readonly<{isDone: boolean; isRefused: boolean; isRepeatable: boolean; retryAfterMs: number}>;

/** Longest pause of a caller between two statements of a transaction, in milliseconds. */
const MAX_PAUSE_MS = 40;
const STATEMENTS_PER_TRANSACTION = 3;
/** Mean pause before a retry unless the response asks for a longer one, in milliseconds. */
const MEAN_RETRY_PAUSE_MS = 100;

/** Dependencies of the emulated callers. */
type CallContext = Readonly<{load: Load; runtime: Runtime; runStatement: RunStatement}>;

/** Runs one operation from a randomly chosen data centre, with its retries, and classifies its outcome. */
const runOperation = async ({load, runtime, runStatement}: CallContext, operationClass: OperationClass, customer: string): Promise<OperationResult> => {
	const startedAt = runtime.now();
	const deadline = createDeadline(startedAt, operationClass.timeoutMs);
	const dataCentre = load.dataCentres[Math.floor(runtime.random() * load.dataCentres.length)] ?? '';
	const isTransaction = runtime.random() < operationClass.transactionFraction;
	const isWrite = runtime.random() < operationClass.writeFraction;

	/** When the attempt in progress began: entries count the objective from there, since they don't know that a caller tries again. */
	let attemptedAt = startedAt;
	const requestIds: string[] = [];
	const createRequest = (id: string, text: string, transaction: StatementRequest['transaction']): StatementRequest => ({
		id,
		database: EMULATED_DATABASE,
		customer: brandId<CustomerId>(customer),
		statement: text === 'COMMIT' ? {kind: 'commit', text} : {kind: 'text', access: text.startsWith('WRITE') ? 'write' : 'read', text},
		consistency: operationClass.consistency,
		floor: undefined,
		values: [],
		transaction,
		remainingMs: Math.max(0, getRemainingMs(deadline, runtime.now())),
		promptMs: Math.max(0, operationClass.latencyObjectiveMs - (runtime.now() - attemptedAt)),
		priority: operationClass.priority,
	});

	const createStatementTexts = (): readonly string[] => {
		const text = `${isWrite ? 'WRITE' : 'READ'} ${operationClass.name}`;
		return isTransaction ? [...Array.from({length: STATEMENTS_PER_TRANSACTION}, () => text), 'COMMIT'] : [text];
	};

	let pausedMs = 0;
	const runAttempt = async (): Promise<AttemptResult> => {
		const transaction = runtime.createId();
		for (const [index, text] of createStatementTexts().entries()) {
			await runtime.sleep(load.networkDelayMs);
			const requestId = runtime.createId();
			requestIds.push(requestId);
			const response = await runStatement(createRequest(requestId, text, isTransaction ? {id: transaction, readOnly: !isWrite, isFirst: index === 0} : undefined));
			await runtime.sleep(load.networkDelayMs);
			if (response?.outcome.kind !== 'done') {
				const isRefused = response?.outcome.kind === 'refused';
				const isRead = !isWrite || (isTransaction && text !== 'COMMIT');
				return {
					isDone: false, isRefused, isRepeatable: isRefused || isRead, retryAfterMs: response?.outcome.kind === 'refused' ? response.outcome.retryAfterMs : 0,
				};
			}

			if (isTransaction && text !== 'COMMIT') {
				const pauseMs = MAX_PAUSE_MS * runtime.random();
				pausedMs += pauseMs;
				await runtime.sleep(pauseMs);
			}
		}

		return {
			isDone: true, isRefused: false, isRepeatable: false, retryAfterMs: 0,
		};
	};

	const attempts: OperationAttempt[] = [];
	const runAndRecordAttempt = async (isReturn: boolean): Promise<AttemptResult> => {
		attemptedAt = runtime.now();
		const attempt = await runAttempt();
		attempts.push({
			isDone: attempt.isDone, isRefused: attempt.isRefused, isReturn, durationMs: runtime.now() - attemptedAt,
		});
		return attempt;
	};

	let lastAttempt = await runAndRecordAttempt(false);
	for (let retry = 0; retry < operationClass.retries && !lastAttempt.isDone && lastAttempt.isRepeatable; retry++) {
		const pauseMs = Math.max(lastAttempt.retryAfterMs, MEAN_RETRY_PAUSE_MS * (0.5 + runtime.random()));
		await runtime.sleep(pauseMs);
		if (isPast(deadline, runtime.now())) {
			break;
		}

		lastAttempt = await runAndRecordAttempt(lastAttempt.retryAfterMs === pauseMs);
	}

	const latencyMs = runtime.now() - startedAt - pausedMs;
	const isBeforeTimeout = lastAttempt.isDone && runtime.now() - pausedMs <= deadline;
	const meetsObjective = latencyMs <= operationClass.latencyObjectiveMs;
	const outcome: OperationOutcome = isBeforeTimeout ? (meetsObjective ? 'prompt' : 'late') : (lastAttempt.isRepeatable ? 'refused' : 'failed');
	return {
		className: operationClass.name,
		requestIds,
		customer,
		dataCentre,
		startedAtMs: startedAt,
		outcome,
		latencyMs,
		maxWorth: operationClass.worth,
		earnedWorth: isBeforeTimeout ? (meetsObjective ? operationClass.worth : operationClass.lateWorth) : 0,
		attempts,
	};
};

/** Computes the factor by which the request rate of a customer is multiplied at an instant. */
const computeRateFactor = (load: Load, customer: string, now: number): number => load.events
	.filter(event => event.kind === 'more' && now >= event.atMs && now < event.untilMs && (event.customer ?? customer) === customer)
	.reduce((factor, event) => factor * (event.kind === 'more' ? event.factor : 1), 1);

/** Arrivals of the operations of one class from one customer. */
type Arrivals = Readonly<{operationClass: OperationClass; customer: CustomerLoad; endsAt: Deadline; onArrival: () => void}>;

/** Starts operations at random times until the load has ended. */
const startOperations = async ({load, runtime}: CallContext, {operationClass, customer, endsAt, onArrival}: Arrivals): Promise<void> => {
	const maxFactor = Math.max(1, ...load.events.map(event => event.kind === 'more' ? event.factor : 1));
	const maxRatePerMs = operationClass.operationsPerSecond * customer.fraction * maxFactor / 1000;
	while (!isPast(endsAt, runtime.now())) {
		// A customer that sends rarely may have no further arrival before the end.
		await runtime.sleep(Math.min(getRemainingMs(endsAt, runtime.now()), -Math.log(1 - runtime.random()) / maxRatePerMs));
		// Arrivals are drawn at the highest rate and then thinned, so that the rate may change at any time.
		if (!isPast(endsAt, runtime.now()) && runtime.random() < computeRateFactor(load, customer.name, runtime.now()) / maxFactor) {
			onArrival();
		}
	}
};

/** Runs all callers of a load and returns the results of their operations. */
export const runCallers = async (load: Load, runtime: Runtime, runStatement: RunStatement): Promise<readonly OperationResult[]> => {
	const endsAt = createDeadline(runtime.now(), load.durationMs);
	const results: OperationResult[] = [];
	const pendingOperations: Array<Promise<void>> = [];
	const context: CallContext = {load, runtime, runStatement};
	const runAndRecord = async (operationClass: OperationClass, customer: CustomerLoad) => {
		results.push(await runOperation(context, operationClass, customer.name));
	};

	await Promise.all(load.classes.flatMap(operationClass => load.customers.map(async customer => startOperations(context, {
		operationClass,
		customer,
		endsAt,
		onArrival() {
			pendingOperations.push(runAndRecord(operationClass, customer));
		},
	}))));
	await Promise.all(pendingOperations);
	return results;
};
