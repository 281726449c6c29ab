/** The process of an entry vm, whatever protocol its callers and targets speak. */

import {
	createScope, Err, getMessage, Ok, type CustomerId, type DatabaseId, type Deadline, type Result, parseId,
} from '@guavapitch/core';
import {
	createSession, type Authorization, type Session,
} from '@guavapitch/callers';
import {createFeed, type Feed, type FeedRequest} from '@guavapitch/feed';
import {createRefusalCache} from '@guavapitch/limits';
import {createVmRegistration, createRoleClaims, type RoleClaims} from '@guavapitch/roles';
import {
	createRefusal, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import {createDatabaseOwners, formatCoordinatorRole, REACH_METHOD} from './database-owners.js';
import {createIsolationDetector} from './isolation-detector.js';
import {formatMember, rankRelays, type Member} from './members.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import {createStatementRouter} from './statement-router.js';
import {
	ALLOT_METHOD, createQuotas, ALLOCATOR_ROLE, type TokenGrantMessage,
} from './quotas.js';
import {
	createClusterView, FENCING_TOKEN_PREFIX, HOLDER_PREFIX, isRelevantChange, MEMBER_PREFIX, STORE_PREFIX,
} from './cluster-view.js';

/** A running entry vm. */
export type Vm = AsyncDisposable & Readonly<{
	/** Opens the session of a caller; a refusal if its service or key is not known. */
	openSession: (service: string, key: string) => Result<Session, StatementOutcome>;
	/** Tells whether new callers should be sent here. */
	isReady: () => boolean;
	/** Stops taking new work; the roles pass to others. */
	leave: () => Promise<void>;
	isLeaving: () => boolean;
	hasConfiguration: () => boolean;
	/** Tells whether idle sessions had better be opened elsewhere, and whether that cannot wait for the balancer. */
	getSheddingMode: () => 'no' | 'afterBalancer' | 'now';
}>;

const RUN_METHOD = 'run';
const ROLL_BACK_METHOD = 'rollBack';
const FEED_METHOD = 'feed';

/** Longest wait of one watch of the rules, in milliseconds: a silent connection must be noticed within the bound for changes. */
const RULES_WATCH_MS = 2000;
/** Longest wait of one watch of members and duties, in milliseconds. */
const OWN_WATCH_MS = 5000;
/** Pause between watches of members and duties, in milliseconds: when a whole fleet starts, each joining vm would end every watch. */
const OWN_PAUSE_MS = 100;
/** Longest wait of one watch of targets, in milliseconds. */
const TARGET_WATCH_MS = 5000;
/** Pause between watches of targets, in milliseconds: their heartbeats change the entries many times a second. */
const TARGET_PAUSE_MS = 1200;
const FEED_TIMEOUT_MS = 1500;
const ROLL_BACK_TIMEOUT_MS = 1000;
/** Age of what is known from which a vm no longer calls itself connected, in milliseconds. */
const STALE_MS = 2500;
/** Data centres of which neither can be outnumbered. */
const TWO_SIDES = 2;

/** Starts the process of an entry vm. */
export const startVm = async (context: VmContext): Promise<Vm> => {
	const {world, settings, emit, metrics} = context;
	const scope = createScope(thrown => {
		emit(EVENTS.taskFailed, {message: getMessage(thrown)});
	});
	let leaving = false;
	let isStoreReachable = true;

	const view = createClusterView(context, () => feed);
	const getEntry = (key: string) => feed.get(key);
	const self: Omit<Member, 'since'> = {
		vm: settings.vm, run: settings.run, dataCentre: settings.dataCentre, host: settings.host, port: settings.port, capacity: settings.capacity,
	};

	const noteStore = (isReachable: boolean, reason: string) => {
		if (isReachable !== isStoreReachable) {
			isStoreReachable = isReachable;
			emit(isReachable ? EVENTS.storeReachable : EVENTS.storeUnreachable, {reason});
		}
	};

	const presence = createVmRegistration({
		world,
		readClock: context.readClock,
		store: context.store,
		key: `${MEMBER_PREFIX}${settings.vm}`,
		value: formatMember(self),
		onContact(askedAt) {
			feed.recordContact(askedAt);
		},
		onFailure(failure) {
			noteStore(false, failure.message);
		},
	});

	const shares = createQuotas(context, {
		view, getPeerClient: () => calls, getRoleClaims: () => duties, getFeedAgeMs: () => feed.getAgeMs(),
	});
	const databases = createDatabaseOwners(context, {
		view, quotas: shares, getPeerClient: () => calls, getRoleClaims: () => duties, getSignal: () => scope.signal,
	});

	const feed: Feed = createFeed({
		world,
		run: settings.run,
		source: context.source,
		prefixes: [
			{prefix: context.configurationKey, waitMs: RULES_WATCH_MS, pauseMs: 0},
			{prefix: STORE_PREFIX, waitMs: OWN_WATCH_MS, pauseMs: OWN_PAUSE_MS},
			{prefix: context.targetPrefix, waitMs: TARGET_WATCH_MS, pauseMs: TARGET_PAUSE_MS},
		],
		isRelevantChange: (change, before) => isRelevantChange(context, change, before),
		listRelays: () => rankRelays(settings.vm, settings.dataCentre, view.listMembers()).filter(({vm}) => calls.isUsable(vm)).map(({vm}) => vm),
		async callRelay(relay, question) {
			const member = view.listMembers().find(({vm}) => vm === relay);
			if (!member) {
				return Err({code: 'gone', message: 'The relay has left'});
			}

			const answer = await calls.call(member, FEED_METHOD, question, FEED_TIMEOUT_MS);
			return answer.map(value => value as Awaited<ReturnType<Feed['serve']>>);
		},
		onChange(changes) {
			const {targets} = view.applyChanges(changes);
			if (targets) {
				databases.refreshTargets();
			}
		},
		onSourceChange(kind, name) {
			emit(EVENTS.feedSourceChanged, {kind, name, ageMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER))});
		},
		onStoreStatus: noteStore,
	});

	const isolation = createIsolationDetector({
		world,
		vm: settings.vm,
		dataCentre: settings.dataCentre,
		listMembers: view.listMembers,
		ping: async member => calls.ping(member),
		onChange(isIsolated) {
			emit(EVENTS.readinessChanged, {isIsolated, feedAgeMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER))});
		},
	});

	const calls: PeerClient = createPeerClient(context, {
		calls: {
			[RUN_METHOD]: async body => databases.get((body as StatementRequest).database).serve(body as StatementRequest),
			async [ROLL_BACK_METHOD](body) {
				const {database, transaction} = body as Readonly<{database: DatabaseId; transaction: string}>;
				databases.get(database).rollBack(transaction);
			},
			[FEED_METHOD]: async body => feed.serve(body as FeedRequest),
			[ALLOT_METHOD]: async body => shares.grantTokens(body as TokenGrantMessage),
			[REACH_METHOD]: async body => databases.isReachable((body as Readonly<{target: Parameters<typeof databases.isReachable>[0]}>).target),
		},
		streams: {},
	}, {
		isMember: member => view.listMembers().some(({run}) => run === member.run),
		onUnreachable(member) {
			isolation.handleUnreachable(member);
		},
	});

	const duties: RoleClaims = createRoleClaims({
		world,
		store: context.store,
		registration: presence,
		vm: settings.vm,
		run: settings.run,
		holderPrefix: HOLDER_PREFIX,
		epochPrefix: FENCING_TOKEN_PREFIX,
		getEntry,
		listRoles: () => leaving ? [] : [ALLOCATOR_ROLE, ...[...view.getConfiguration()?.databases.keys() ?? []].map(database => formatCoordinatorRole(database))],
		getRank(duty) {
			const name = duty.slice(duty.indexOf('/') + 1);
			const rank = view.rankOwners(parseId<DatabaseId>(name)).findIndex(({vm}) => vm === settings.vm);
			return rank === -1 ? undefined : rank;
		},
		hasRunEnded: ({vm, run}) => view.listMembers().some(member => member.vm === vm && member.run !== run),
		onWritten(key, value, revision) {
			feed.applyLocalWrite({
				key, revision, entry: {
					key, value, revision, createdRevision: revision,
				},
			});
		},
		onClaimed(duty, epoch) {
			emit(EVENTS.roleClaimed, {duty, epoch});
			if (duty !== ALLOCATOR_ROLE) {
				databases.get(parseId<DatabaseId>(duty.slice(duty.indexOf('/') + 1)));
			}
		},
	});

	const routing = createStatementRouter({
		world,
		self: settings.vm,
		rankOwners: view.rankOwners,
		isUsable: vm => calls.isUsable(vm),
		async callOwner(member, request, timeoutMs) {
			const answer = await calls.call(member, RUN_METHOD, request, timeoutMs);
			return answer.map(value => value as StatementResponse);
		},
		serveLocally: async request => databases.get(request.database).serve(request),
		rollBackAt(member, database, transaction) {
			if (member) {
				void calls.call(member, ROLL_BACK_METHOD, {database, transaction}, ROLL_BACK_TIMEOUT_MS);
			} else {
				databases.get(database).rollBack(transaction);
			}
		},
		onRetried(request, home, reason) {
			emit(EVENTS.requestRetried, {requestId: request.id, home, reason});
		},
	});

	const holds = createRefusalCache(world, () => view.listMembers().length);

	/** Runs a statement at its home, unless the home has just refused the customer an operation. */
	const runAtHome = async (request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		metrics.count('statements');
		const isNew = !request.transaction || request.transaction.isFirst;
		const retryAfterMs = isNew ? holds.getRetryAfterMs(request.database, request.customer) : undefined;
		if (retryAfterMs !== undefined) {
			metrics.count('held');
			return {
				outcome: createRefusal('overShare', 'The customer has used its rate and burst', retryAfterMs),
				status: request.transaction ? 'failed' : 'idle',
				position: undefined,
				target: undefined,
				waitedMs: 0,
			};
		}

		const answer = await routing.run(request, deadline);
		if (answer.outcome.kind === 'refused' && answer.outcome.code === 'overShare') {
			holds.recordRefusal(request.database, request.customer, answer.outcome.retryAfterMs);
		}

		return answer;
	};

	const admit = (service: string, key: string): Result<Authorization, StatementOutcome> => {
		const rules = view.getConfiguration();
		const route = rules?.routes.get(service);
		if (!rules || !route) {
			return Err(createRefusal(rules ? 'noDatabase' : 'busy', rules ? 'no service has that name' : 'the rules are not known yet'));
		}

		const customer = rules.customersByKey.get(key);
		if (customer) {
			return Ok({route, customer});
		}

		return route.isPublic
			? Ok({route, customer: parseId<CustomerId>('-')})
			: Err(createRefusal('noKey', 'the key is not issued'));
	};

	/**
	 * Callers are better off elsewhere when this data centre is cut off. With two data centres both see the same;
	 * then the one that has the store goes on.
	 */
	const isConnected = (): boolean => !isolation.isIsolated()
		|| (settings.dataCentreCount <= TWO_SIDES && feed.getAgeMs() < STALE_MS);

	const listener = await calls.listen();
	for (const run of [presence.run, feed.run, duties.run, databases.closeIdleConnections]) {
		scope.run(run);
	}

	return {
		openSession(service, key) {
			const admission = admit(service, key);
			if (admission.err) {
				return admission;
			}

			return Ok(createSession({
				world,
				authorize: () => admit(service, key),
				runAtOwner: runAtHome,
				rollBack: routing.rollBack,
			}));
		},
		isReady: () => !leaving && view.getConfiguration() !== undefined && view.listMembers().length > 0 && isConnected(),
		async leave() {
			leaving = true;
			await presence.deregister();
		},
		isLeaving: () => leaving,
		hasConfiguration: () => view.getConfiguration() !== undefined,
		getSheddingMode() {
			if (!isConnected()) {
				return 'now';
			}

			return leaving ? 'afterBalancer' : 'no';
		},
		async [Symbol.asyncDispose]() {
			await listener[Symbol.asyncDispose]();
			await calls[Symbol.asyncDispose]();
			await scope[Symbol.asyncDispose]();
		},
	};
};
