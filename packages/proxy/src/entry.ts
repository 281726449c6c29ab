/** Admits and routes requests at the entry: checks the key, acquires a quota token, chooses a route, and retries only requests that cannot have taken effect. */

import {
	createDeadline, createStreamPair, Err, getRemainingMs, isPast, NOT_ACCEPTED, Ok, brandId,
	type CustomerId, type DatabaseId, type Deadline, type TargetId, type RequestId, type Result, type Scope, type Stream, type Runtime,
} from '@guavapitch/core';
import type {TargetConnection} from '@guavapitch/back-postgres';
import {computeStatementDeadline, isPassedOn, type StopPlan} from '@guavapitch/callers';
import type {GroupView} from '@guavapitch/failover';
import type {Service} from '@guavapitch/inventory';
import type {QuotaClient} from '@guavapitch/limits';
import type {PeerConnections} from '@guavapitch/peer-protocol';
import {
	chooseRequestMode, chooseRoute, getCustomer, getService, waitBeforeRetry, type RouteAttempt, type RetryBudget, type Route, type RoutingView,
} from '@guavapitch/routing';
import {
	serveRequest, type CallerContext, type CallerIdentity, type OwnerContext, type RequestFailure, type RunningRequest,
} from '@guavapitch/requests';
import type {
	Refusal, Reply, RequestChunk, RequestHeader, RequestMode, StatementClass,
} from '@guavapitch/sessions';
import {EVENTS, type Emit, type Metrics} from '@guavapitch/telemetry';
import type {ClusterView} from './cluster-view.js';

/** Dependencies of the entry. */
export type EntryContext = Readonly<{
	runtime: Runtime;
	vm: string;
	clusterView: ClusterView;
	peers: PeerConnections;
	quotaClient: QuotaClient;
	/** Context in which requests for targets of this process are served. */
	ownerContext: OwnerContext<TargetConnection>;
	retryBudget: RetryBudget;
	/** Scope that owns the tasks serving requests for targets that this process owns. */
	scope: Scope;
	emit: Emit;
	metrics: Metrics;
	/** Returns the latest known group view of a database. */
	getGroup: (database: DatabaseId) => GroupView | undefined;
	/** Cancels a running request, at any vm. */
	cancelRequest: (requestId: string) => void;
	/** Returns the plan of the stop that is in progress; `undefined` if there is none. */
	getStopPlan: () => StopPlan | undefined;
}>;

type RequestContext = Readonly<{service: Service; database: DatabaseId; customer: CustomerId | undefined; requestId: RequestId; deadline: Deadline; weight: number}>;

/** First chunk of a request, with its caller; the signal aborts when the caller cancels or disconnects. */
type RequestStart = Readonly<{caller: CallerIdentity; request: RequestContext; chunk: RequestChunk; signal: AbortSignal}>;

type RequestStream = Stream<RequestChunk, Reply>;

/** Scheduling weight of callers without a key, on services that are open to all. */
const OPEN_SERVICE_WEIGHT = 1;
/** Customer under which requests of callers without a key are scheduled. */
const OPEN_SERVICE_CUSTOMER = brandId<CustomerId>('open');
/** Maximum number of attempts to run one request. */
const MAX_ATTEMPTS = 400;
/** Estimated size of a stream item other than messages. */
const SMALL_ITEM_BYTES = 256;

/** Estimates the memory that a stream item occupies, in bytes. */
const estimateItemBytes = (item: RequestChunk | Reply): number => 'kind' in item && item.kind === 'messages' ? item.bytes.length : SMALL_ITEM_BYTES;

const createRefusal = (code: Refusal['code'], message: string, retryAfterMs?: number): Refusal => ({code, message, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});

const DRAINING = createRefusal('draining', 'The proxy is shutting down; connect again');

/** Creates the operations of the entry that serve callers. */
export const createEntry = (context: EntryContext): CallerContext => {
	const {runtime, clusterView, emit, metrics} = context;
	const runningCounts = new Map<TargetId, number>();

	const createRoutingView = (): RoutingView | undefined => {
		const inventory = clusterView.activeConfiguration.getInventory();
		return inventory && {
			inventory,
			getGroup: context.getGroup,
			getOwners: clusterView.getOwners,
			isLeaving: target => clusterView.findTarget(target)?.target.leaving ?? true,
			getRunningCount: target => runningCounts.get(target) ?? 0,
			random: runtime.random,
		};
	};

	const checkKey = (caller: CallerIdentity): Result<undefined, Refusal> => {
		if (caller.keyId === undefined || caller.customer === undefined) {
			return Ok(undefined);
		}

		const keyCheck = clusterView.activeConfiguration.checkKey(caller.keyId, caller.customer);
		if (keyCheck.err) {
			return Err(createRefusal(keyCheck.val, keyCheck.val === 'keyWithdrawn' ? 'The key has been withdrawn' : 'The key cannot be checked: the configuration may be out of date', 1000));
		}

		const customer = clusterView.activeConfiguration.getInventory()?.customers[caller.customer];
		return customer?.services.includes(caller.service) ? Ok(undefined) : Err(createRefusal('keyWithdrawn', 'The customer may no longer use this service'));
	};

	const acquireToken = async (caller: CallerIdentity, deadline: Deadline, signal: AbortSignal): Promise<Result<undefined, Refusal>> => {
		if (!caller.customer) {
			return Ok(undefined);
		}

		const acquired = await context.quotaClient.acquire(caller.customer, deadline, signal);
		if (acquired.err) {
			const {code, message, retryAfterMs} = acquired.val;
			return Err(createRefusal(code === 'aborted' ? 'canceled' : 'limitExceeded', message, retryAfterMs));
		}

		return Ok(undefined);
	};

	const createRequestContext = (caller: CallerIdentity): Result<RequestContext, Refusal> => {
		const inventory = clusterView.activeConfiguration.getInventory();
		const service = inventory && getService(inventory, caller.service);
		if (!inventory || !service) {
			return Err(createRefusal('noRoute', `The service ${caller.service} is not in the active configuration`));
		}

		return Ok({
			service,
			database: brandId<DatabaseId>(service.database),
			customer: caller.customer,
			requestId: brandId<RequestId>(runtime.createId()),
			deadline: computeStatementDeadline(context.getStopPlan(), createDeadline(runtime.now(), service.requestTimeoutMs)),
			weight: caller.customer ? getCustomer(inventory, caller.customer)?.weight ?? OPEN_SERVICE_WEIGHT : OPEN_SERVICE_WEIGHT,
		});
	};

	const createHeader = (caller: CallerIdentity, request: RequestContext, route: Route): RequestHeader => ({
		requestId: request.requestId,
		service: caller.service,
		database: request.database,
		target: route.target,
		customer: request.customer ?? OPEN_SERVICE_CUSTOMER,
		weight: request.weight,
		mode: route.mode,
		maximumAgeMs: request.service.staleReadsMs ?? 0,
		remainingMs: getRemainingMs(request.deadline, runtime.now()),
		idleTransactionMs: request.service.idleTransactionMs,
	});

	const openStream = async (route: Route, header: RequestHeader): Promise<Result<RequestStream, Refusal>> => {
		if (route.owner === context.vm) {
			const [entryEnd, ownerEnd] = createStreamPair<RequestChunk, Reply>(estimateItemBytes);
			context.scope.run(async () => {
				await using stream = ownerEnd;
				await serveRequest(context.ownerContext, header, stream);
				stream.finish();
			});
			return Ok(entryEnd);
		}

		const member = clusterView.members.get(route.owner);
		const opened = member
			? await context.peers.openStream({host: member.host, port: member.port}, 'request', header)
			: Err({code: 'peerUnreachable' as const, message: 'The owner is not in the list of vms'});
		if (opened.err) {
			clusterView.members.recordTimeout(route.owner);
			return Err(createRefusal('peerUnreachable', `The owner ${route.owner} of the target cannot be reached`));
		}

		return Ok(opened.val as RequestStream);
	};

	const changeRunningCount = (target: TargetId, change: number) => {
		runningCounts.set(target, (runningCounts.get(target) ?? 0) + change);
	};

	const createRunningRequest = (request: RequestContext, route: Route, stream: RequestStream, firstReply: Reply): RunningRequest => ({
		requestId: request.requestId,
		mode: route.mode,
		firstReply,
		stream,
		async [Symbol.asyncDispose]() {
			changeRunningCount(route.target, -1);
			await stream[Symbol.asyncDispose]();
		},
	});

	/** Outcome of one attempt at a route. */
	type AttemptOutcome
	/** The owner has sent its first reply. */
		= | Readonly<{kind: 'running'; running: RunningRequest}>
		/** The request has not run. */
			| Readonly<{kind: 'refused'; refusal: Refusal}>
		/** The request has not run, because it writes and was sent to a replica. */
			| Readonly<{kind: 'readOnly'}>
		/** The connection to the owner was lost, or the outcome of a read is unknown. */
			| Readonly<{kind: 'lost'}>;

	const tryRoute = async ({caller, request, chunk, signal}: RequestStart, route: Route): Promise<AttemptOutcome> => {
		const opened = await openStream(route, createHeader(caller, request, route));
		if (opened.err) {
			return {kind: 'refused', refusal: opened.val};
		}

		const stream = opened.val;
		const closeStream = () => {
			void stream[Symbol.asyncDispose]();
		};

		changeRunningCount(route.target, 1);
		signal.addEventListener('abort', closeStream, {once: true});
		await stream.send(chunk);
		const firstReply = await stream.receive();
		signal.removeEventListener('abort', closeStream);
		const isRetryable = firstReply?.kind === 'unknown' && route.mode !== 'write';
		if (firstReply && firstReply.kind !== 'refused' && firstReply.kind !== 'readOnly' && !isRetryable) {
			return {kind: 'running', running: createRunningRequest(request, route, stream, firstReply)};
		}

		changeRunningCount(route.target, -1);
		await stream[Symbol.asyncDispose]();
		if (!firstReply && stream.signal.reason === NOT_ACCEPTED) {
			return {kind: 'refused', refusal: createRefusal('peerUnreachable', `The owner ${route.owner} of the target is shutting down`)};
		}

		if (!firstReply || isRetryable) {
			return {kind: 'lost'};
		}

		return firstReply.kind === 'refused' ? firstReply : {kind: 'readOnly'};
	};

	/** Tells whether a refusal is passed to the caller without a retry. */
	const isFinal = (refusal: Refusal): boolean => refusal.code === 'queueFull' || refusal.code === 'deadlinePassed' || refusal.code === 'limitExceeded';

	const createFailure = (request: RequestContext, failure: RequestFailure['failure']): Result<RunningRequest, RequestFailure> => Err({requestId: request.requestId, failure});

	const runRequest = async (start: RequestStart, requestedMode: RequestMode): Promise<Result<RunningRequest, RequestFailure>> => {
		const {caller, request, signal} = start;
		let mode = requestedMode;
		context.retryBudget.deposit();
		let attempts: readonly RouteAttempt[] = [];
		let lastRefusal: Refusal = createRefusal('noRoute', 'No route to a target was found before the deadline');
		for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			if (signal.aborted) {
				return createFailure(request, createRefusal('canceled', 'The request was canceled before it ran'));
			}

			const routingView = createRoutingView();
			const route = routingView ? chooseRoute(routingView, request.database, mode, attempts) : Err(lastRefusal);
			if (route.ok) {
				const outcome = await tryRoute(start, route.val);
				if (outcome.kind === 'running') {
					metrics.count('entry.requests', {service: caller.service, mode: route.val.mode, wanted: requestedMode});
					return Ok(outcome.running);
				}

				if (outcome.kind === 'readOnly') {
					mode = 'write';
					continue;
				}

				if (outcome.kind === 'lost') {
					if (route.val.mode === 'write') {
						return createFailure(request, {code: 'outcomeUnknown', message: 'The connection to the vm that ran the request was lost'});
					}

					lastRefusal = createRefusal('peerUnreachable', `The connection to the owner ${route.val.owner} of the target was lost`);
				} else {
					lastRefusal = outcome.refusal;
					if (isFinal(lastRefusal)) {
						return createFailure(request, lastRefusal);
					}
				}

				// After a replica, the next route is tried at once; after the primary, all routes are tried again, following a pause.
				const isNewRound = route.val.mode === 'write';
				attempts = isNewRound ? [] : [...attempts, {target: route.val.target, owner: route.val.owner}];
				if (!isNewRound) {
					continue;
				}
			} else {
				lastRefusal = route.val;
				attempts = [];
			}

			metrics.count('entry.retries', {reason: lastRefusal.code});
			// When the retry budget is exhausted, each retry waits for the maximum backoff, so that a failover causes no retry storm.
			const backoffAttempt = context.retryBudget.tryWithdraw() ? attempt : MAX_ATTEMPTS;
			if (!await waitBeforeRetry(backoffAttempt, request.deadline, runtime, signal)) {
				break;
			}
		}

		return createFailure(request, isPast(request.deadline, runtime.now())
			? createRefusal('deadlinePassed', `The deadline passed before the request was served: ${lastRefusal.message}`)
			: lastRefusal);
	};

	return {
		async startRequest(caller, chunk, statement: StatementClass, signal) {
			const request = createRequestContext(caller);
			const requestId = request.ok ? request.val.requestId : '';
			if (request.err) {
				return Err({requestId, failure: request.val});
			}

			if (statement === 'session' || statement === 'copy') {
				return createFailure(request.val, createRefusal('unsupported', statement === 'copy'
					? 'COPY is not supported'
					: 'Session state that outlives a transaction is not supported; use SET LOCAL, or set parameters when connecting'));
			}

			// Nothing is passed on that the process would cut off when it ends.
			if (!isPassedOn(context.getStopPlan(), {isCommit: false, deadline: request.val.deadline}, runtime.now())) {
				return createFailure(request.val, DRAINING);
			}

			const keyCheck = checkKey(caller);
			if (keyCheck.err) {
				return createFailure(request.val, keyCheck.val);
			}

			const acquired = await acquireToken(caller, request.val.deadline, signal);
			if (acquired.err) {
				return createFailure(request.val, acquired.val);
			}

			const start: RequestStart = {
				caller, request: request.val, chunk, signal,
			};
			return runRequest(start, chooseRequestMode(statement, request.val.service.staleReadsMs));
		},
		async continueRequest(caller, signal) {
			const requestId = runtime.createId();
			const keyCheck = checkKey(caller);
			const acquired = keyCheck.err ? keyCheck : await acquireToken(caller, createDeadline(runtime.now(), Number.POSITIVE_INFINITY), signal);
			return acquired.mapErr(failure => ({requestId, failure}));
		},
		cancelRequest: context.cancelRequest,
		getCloseReason(caller) {
			if (context.getStopPlan()) {
				return DRAINING;
			}

			const keyCheck = checkKey(caller);
			return keyCheck.err && keyCheck.val.code === 'keyWithdrawn' ? keyCheck.val : undefined;
		},
		onOutcome(caller, requestId, outcome) {
			const {service, customer} = caller;
			const reason: Readonly<Record<string, string>> = outcome.kind === 'refused' ? {reason: outcome.code} : {};
			metrics.count(`entry.${outcome.kind}`, {service, ...(customer ? {customer} : {}), ...reason});
			if (outcome.kind !== 'done') {
				emit(outcome.kind === 'refused' ? EVENTS.requestRefused : EVENTS.requestUnknown, {
					request: requestId, service, customer, reason: outcome.code, message: outcome.message,
				});
			}
		},
	};
};

