/** The entry of a request: key, share, route, and retries while it has certainly not run. */

import {
	createDeadline, createStreamPair, Err, getRemainingMs, isPast, NOT_ACCEPTED, Ok, parseId,
	type CustomerId, type DatabaseId, type Deadline, type TargetId, type RequestId, type Result, type Scope, type Stream, type World,
} from '@guavapitch/core';
import type {TargetConnection} from '@guavapitch/back-postgres';
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

/** What the entry needs. */
export type EntryContext = Readonly<{
	world: World;
	vm: string;
	clusterView: ClusterView;
	peers: PeerConnections;
	quotaClient: QuotaClient;
	owner: OwnerContext<TargetConnection>;
	retryBudget: RetryBudget;
	/** Owner of the tasks that serve requests whose home is this process. */
	scope: Scope;
	emit: Emit;
	metrics: Metrics;
	getGroup: (database: DatabaseId) => GroupView | undefined;
	cancelRequest: (requestId: string) => void;
	isDraining: () => boolean;
}>;

type Call = Readonly<{service: Service; database: DatabaseId; customer: CustomerId | undefined; requestId: RequestId; deadline: Deadline; weight: number}>;

/** A caller's chunk on its way to a home. */
type Turn = Readonly<{caller: CallerIdentity; call: Call; chunk: RequestChunk; signal: AbortSignal}>;

type RequestStream = Stream<RequestChunk, Reply>;

/** Weight of callers of services open to all. */
const OPEN_WEIGHT = 1;
const OPEN_CUSTOMER = parseId<CustomerId>('open');
const MOST_ATTEMPTS = 400;
const SMALL_ITEM_BYTES = 256;

/** Measures what an item of a request keeps in memory, in bytes. */
const measureItem = (item: RequestChunk | Reply): number => 'kind' in item && item.kind === 'messages' ? item.bytes.length : SMALL_ITEM_BYTES;

const createRefusal = (code: Refusal['code'], message: string, retryAfterMs?: number): Refusal => ({code, message, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});

/** Creates what the callers' tasks ask of the entry. */
export const createEntry = (context: EntryContext): CallerContext => {
	const {world, clusterView: fleet, emit, metrics} = context;
	const pending = new Map<TargetId, number>();

	const getView = (): RoutingView | undefined => {
		const inventory = fleet.inForce.getInventory();
		return inventory && {
			inventory,
			getGroup: context.getGroup,
			getOwners: fleet.getOwners,
			isLeaving: target => fleet.findTarget(target)?.target.leaving ?? true,
			getPendingCount: target => pending.get(target) ?? 0,
			random: world.random,
		};
	};

	const checkKey = (caller: CallerIdentity): Result<undefined, Refusal> => {
		if (caller.keyId === undefined || caller.customer === undefined) {
			return Ok(undefined);
		}

		const checked = fleet.inForce.checkKey(caller.keyId, caller.customer);
		if (checked.err) {
			return Err(createRefusal(checked.val, checked.val === 'keyWithdrawn' ? 'The key has been withdrawn' : 'The key cannot be confirmed: the configuration may be out of date', 1000));
		}

		const customer = fleet.inForce.getInventory()?.customers[caller.customer];
		return customer?.services.includes(caller.service) ? Ok(undefined) : Err(createRefusal('keyWithdrawn', 'The customer may no longer use this service'));
	};

	const spendShare = async (caller: CallerIdentity, deadline: Deadline, signal: AbortSignal): Promise<Result<undefined, Refusal>> => {
		if (!caller.customer) {
			return Ok(undefined);
		}

		const spent = await context.quotaClient.acquire(caller.customer, deadline, signal);
		if (spent.err) {
			const {code, message, retryAfterMs} = spent.val;
			return Err(createRefusal(code === 'aborted' ? 'canceled' : 'limitExceeded', message, retryAfterMs));
		}

		return Ok(undefined);
	};

	const createCall = (caller: CallerIdentity): Result<Call, Refusal> => {
		const inventory = fleet.inForce.getInventory();
		const service = inventory && getService(inventory, caller.service);
		if (!inventory || !service) {
			return Err(createRefusal('noRoute', `There is no service ${caller.service}`));
		}

		return Ok({
			service,
			database: parseId<DatabaseId>(service.database),
			customer: caller.customer,
			requestId: parseId<RequestId>(world.createId()),
			deadline: createDeadline(world.now(), service.requestTimeoutMs),
			weight: caller.customer ? getCustomer(inventory, caller.customer)?.weight ?? OPEN_WEIGHT : OPEN_WEIGHT,
		});
	};

	const createHeader = (caller: CallerIdentity, call: Call, route: Route): RequestHeader => ({
		requestId: call.requestId,
		service: caller.service,
		database: call.database,
		target: route.target,
		customer: call.customer ?? OPEN_CUSTOMER,
		weight: call.weight,
		mode: route.mode,
		maximumAgeMs: call.service.staleReadsMs ?? 0,
		remainingMs: getRemainingMs(call.deadline, world.now()),
		idleTransactionMs: call.service.idleTransactionMs,
	});

	const openStream = async (route: Route, header: RequestHeader): Promise<Result<RequestStream, Refusal>> => {
		if (route.owner === context.vm) {
			const [near, far] = createStreamPair<RequestChunk, Reply>(measureItem);
			context.scope.run(async () => {
				await using own = far;
				await serveRequest(context.owner, header, own);
				own.finish();
			});
			return Ok(near);
		}

		const member = fleet.members.get(route.owner);
		const opened = member
			? await context.peers.openStream({host: member.host, port: member.port}, 'request', header)
			: Err({code: 'peerUnreachable' as const, message: 'unknown vm'});
		if (opened.err) {
			fleet.members.recordTimeout(route.owner);
			return Err(createRefusal('peerUnreachable', `The home ${route.owner} cannot be reached`));
		}

		return Ok(opened.val as RequestStream);
	};

	const addPending = (target: TargetId, by: number) => {
		pending.set(target, (pending.get(target) ?? 0) + by);
	};

	const createRunning = (call: Call, route: Route, stream: RequestStream, first: Reply): RunningRequest => ({
		requestId: call.requestId,
		mode: route.mode,
		firstReply: first,
		stream,
		async [Symbol.asyncDispose]() {
			addPending(route.target, -1);
			await stream[Symbol.asyncDispose]();
		},
	});

	/** One try at a route. */
	type Tried
		= | Readonly<{kind: 'running'; running: RunningRequest}>
			| Readonly<{kind: 'refused'; refusal: Refusal}>
			| Readonly<{kind: 'readOnly'}>
			| Readonly<{kind: 'lost'}>;

	const tryRoute = async ({caller, call, chunk, signal}: Turn, route: Route): Promise<Tried> => {
		const opened = await openStream(route, createHeader(caller, call, route));
		if (opened.err) {
			return {kind: 'refused', refusal: opened.val};
		}

		const stream = opened.val;
		const leave = () => {
			void stream[Symbol.asyncDispose]();
		};

		addPending(route.target, 1);
		signal.addEventListener('abort', leave, {once: true});
		await stream.send(chunk);
		const first = await stream.receive();
		signal.removeEventListener('abort', leave);
		const isRepeatable = first?.kind === 'unknown' && route.mode !== 'write';
		if (first && first.kind !== 'refused' && first.kind !== 'readOnly' && !isRepeatable) {
			return {kind: 'running', running: createRunning(call, route, stream, first)};
		}

		addPending(route.target, -1);
		await stream[Symbol.asyncDispose]();
		if (!first && stream.signal.reason === NOT_ACCEPTED) {
			return {kind: 'refused', refusal: createRefusal('peerUnreachable', `The home ${route.owner} is leaving`)};
		}

		if (!first || isRepeatable) {
			return {kind: 'lost'};
		}

		return first.kind === 'refused' ? first : {kind: 'readOnly'};
	};

	const isFinal = (refusal: Refusal): boolean => refusal.code === 'queueFull' || refusal.code === 'deadlinePassed' || refusal.code === 'limitExceeded';

	const fail = (call: Call, failure: RequestFailure['failure']): Result<RunningRequest, RequestFailure> => Err({requestId: call.requestId, failure});

	const runRequest = async (turn: Turn, wanted: RequestMode): Promise<Result<RunningRequest, RequestFailure>> => {
		const {caller, call, signal} = turn;
		let mode = wanted;
		context.retryBudget.deposit();
		let tried: readonly RouteAttempt[] = [];
		let last: Refusal = createRefusal('noRoute', 'No route was found in time');
		for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
			if (signal.aborted) {
				return fail(call, createRefusal('canceled', 'The request was canceled before it ran'));
			}

			const view = getView();
			const route = view ? chooseRoute(view, call.database, mode, tried) : Err(last);
			if (route.ok) {
				const outcome = await tryRoute(turn, route.val);
				if (outcome.kind === 'running') {
					metrics.count('entry.requests', {service: caller.service, mode: route.val.mode, wanted});
					return Ok(outcome.running);
				}

				if (outcome.kind === 'readOnly') {
					mode = 'write';
					continue;
				}

				if (outcome.kind === 'lost') {
					if (route.val.mode === 'write') {
						return fail(call, {code: 'outcomeUnknown', message: 'The vm that ran the request was lost'});
					}

					last = createRefusal('peerUnreachable', `The home ${route.val.owner} was lost`);
				} else {
					last = outcome.refusal;
					if (isFinal(last)) {
						return fail(call, last);
					}
				}

				const isNewRound = route.val.mode === 'write';
				tried = isNewRound ? [] : [...tried, {target: route.val.target, owner: route.val.owner}];
				if (!isNewRound) {
					continue;
				}
			} else {
				last = route.val;
				tried = [];
			}

			metrics.count('entry.retries', {reason: last.code});
			// Beyond the budget, retries come at the longest pause, so that a failover brings no storm.
			const pace = context.retryBudget.tryWithdraw() ? attempt : MOST_ATTEMPTS;
			if (!await waitBeforeRetry(pace, call.deadline, world, signal)) {
				break;
			}
		}

		return fail(call, isPast(call.deadline, world.now()) ? createRefusal('deadlinePassed', `No answer in time: ${last.message}`) : last);
	};

	return {
		async startRequest(caller, chunk, statement: StatementClass, signal) {
			const call = createCall(caller);
			const requestId = call.ok ? call.val.requestId : '';
			if (call.err) {
				return Err({requestId, failure: call.val});
			}

			if (statement === 'session' || statement === 'copy') {
				return fail(call.val, createRefusal('unsupported', statement === 'copy'
					? 'COPY is not supported'
					: 'State that outlives a transaction is not kept; use SET LOCAL, or parameters at connect'));
			}

			const key = checkKey(caller);
			if (key.err) {
				return fail(call.val, key.val);
			}

			const spent = await spendShare(caller, call.val.deadline, signal);
			if (spent.err) {
				return fail(call.val, spent.val);
			}

			const turn: Turn = {
				caller, call: call.val, chunk, signal,
			};
			return runRequest(turn, chooseRequestMode(statement, call.val.service.staleReadsMs));
		},
		async continueRequest(caller, signal) {
			const requestId = world.createId();
			const key = checkKey(caller);
			const spent = key.err ? key : await spendShare(caller, createDeadline(world.now(), Number.POSITIVE_INFINITY), signal);
			return spent.mapErr(failure => ({requestId, failure}));
		},
		cancelRequest: context.cancelRequest,
		getCloseReason(caller) {
			if (context.isDraining()) {
				return createRefusal('draining', 'The proxy is leaving; connect again');
			}

			const key = checkKey(caller);
			return key.err && key.val.code === 'keyWithdrawn' ? key.val : undefined;
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

