/** The process of an entry vm, whatever protocol its callers and targets speak. */

import {
	createScope, Err, getMessage, Ok, type CustomerId, type DatabaseId, type Deadline, type Result, parseId,
} from '@guavapitch/core';
import {
	createSession, type Admission, type Session,
} from '@guavapitch/callers';
import {createFeed, type Feed, type FeedQuestion} from '@guavapitch/feed';
import {createHolds} from '@guavapitch/limits';
import {createPresence, createStewardships, type Stewardships} from '@guavapitch/roles';
import {
	createRefusal, type HomeAnswer, type HomeRequest, type Outcome,
} from '@guavapitch/sessions';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import {createDatabases, formatStewardDuty, REACH_METHOD} from './databases.js';
import {createIsolation} from './isolation.js';
import {formatMember, rankRelays, type Member} from './members.js';
import {createVmCalls, type VmCalls} from './peers.js';
import {createRouting} from './routing.js';
import {
	ALLOT_METHOD, createShares, KEEPER_DUTY, type AllotQuestion,
} from './shares.js';
import {
	createView, EPOCH_PREFIX, HOLDER_PREFIX, isNews, MEMBER_PREFIX, OWN_PREFIX,
} from './view.js';

/** A running entry vm. */
export type Vm = AsyncDisposable & Readonly<{
	/** Opens the session of a caller; a refusal if its service or key is not known. */
	openSession: (service: string, key: string) => Result<Session, Outcome>;
	/** Tells whether new callers should be sent here. */
	isReady: () => boolean;
	/** Stops taking new work; the roles pass to others. */
	leave: () => Promise<void>;
	isLeaving: () => boolean;
	hasRules: () => boolean;
	/** Tells whether idle sessions had better be opened elsewhere, and whether that cannot wait for the balancer. */
	getShedding: () => 'no' | 'afterBalancer' | 'now';
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

	const view = createView(context, () => feed);
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

	const presence = createPresence({
		world,
		readClock: context.readClock,
		store: context.store,
		key: `${MEMBER_PREFIX}${settings.vm}`,
		value: formatMember(self),
		onContact(askedAt) {
			feed.noteContact(askedAt);
		},
		onFailure(failure) {
			noteStore(false, failure.message);
		},
	});

	const shares = createShares(context, {
		view, calls: () => calls, duties: () => duties, getFeedAgeMs: () => feed.getAgeMs(),
	});
	const databases = createDatabases(context, {
		view, shares, calls: () => calls, duties: () => duties, getSignal: () => scope.signal,
	});

	const feed: Feed = createFeed({
		world,
		run: settings.run,
		source: context.source,
		prefixes: [
			{prefix: context.rulesKey, waitMs: RULES_WATCH_MS, pauseMs: 0},
			{prefix: OWN_PREFIX, waitMs: OWN_WATCH_MS, pauseMs: OWN_PAUSE_MS},
			{prefix: context.targetPrefix, waitMs: TARGET_WATCH_MS, pauseMs: TARGET_PAUSE_MS},
		],
		isNews: (change, before) => isNews(context, change, before),
		listRelays: () => rankRelays(settings.vm, settings.dataCentre, view.listMembers()).filter(({vm}) => calls.isUsable(vm)).map(({vm}) => vm),
		async ask(relay, question) {
			const member = view.listMembers().find(({vm}) => vm === relay);
			if (!member) {
				return Err({code: 'gone', message: 'The relay has left'});
			}

			const answer = await calls.call(member, FEED_METHOD, question, FEED_TIMEOUT_MS);
			return answer.map(value => value as Awaited<ReturnType<Feed['answer']>>);
		},
		onChange(changes) {
			const {targets} = view.apply(changes);
			if (targets) {
				databases.refresh();
			}
		},
		onSource(kind, name) {
			emit(EVENTS.feedChanged, {kind, name, ageMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER))});
		},
		onStore: noteStore,
	});

	const isolation = createIsolation({
		world,
		vm: settings.vm,
		dataCentre: settings.dataCentre,
		listMembers: view.listMembers,
		ping: async member => calls.ping(member),
		onChange(isIsolated) {
			emit(EVENTS.readinessChanged, {isIsolated, feedAgeMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER))});
		},
	});

	const calls: VmCalls = createVmCalls(context, {
		calls: {
			[RUN_METHOD]: async body => databases.get((body as HomeRequest).database).serve(body as HomeRequest),
			async [ROLL_BACK_METHOD](body) {
				const {database, transaction} = body as Readonly<{database: DatabaseId; transaction: string}>;
				databases.get(database).rollBack(transaction);
			},
			[FEED_METHOD]: async body => feed.answer(body as FeedQuestion),
			[ALLOT_METHOD]: async body => shares.allot(body as AllotQuestion),
			[REACH_METHOD]: async body => databases.isReached((body as Readonly<{target: Parameters<typeof databases.isReached>[0]}>).target),
		},
		streams: {},
	}, {
		isMember: member => view.listMembers().some(({run}) => run === member.run),
		onUnreachable(member) {
			isolation.noteUnreachable(member);
		},
	});

	const duties: Stewardships = createStewardships({
		world,
		store: context.store,
		presence,
		vm: settings.vm,
		run: settings.run,
		holderPrefix: HOLDER_PREFIX,
		epochPrefix: EPOCH_PREFIX,
		getEntry,
		listDuties: () => leaving ? [] : [KEEPER_DUTY, ...[...view.getRules()?.databases.keys() ?? []].map(database => formatStewardDuty(database))],
		getRank(duty) {
			const name = duty.slice(duty.indexOf('/') + 1);
			const rank = view.rankHomes(parseId<DatabaseId>(name)).findIndex(({vm}) => vm === settings.vm);
			return rank === -1 ? undefined : rank;
		},
		isOver: ({vm, run}) => view.listMembers().some(member => member.vm === vm && member.run !== run),
		onWritten(key, value, revision) {
			feed.applyOwn({
				key, revision, entry: {
					key, value, revision, createdRevision: revision,
				},
			});
		},
		onClaimed(duty, epoch) {
			emit(EVENTS.dutyClaimed, {duty, epoch});
			if (duty !== KEEPER_DUTY) {
				databases.get(parseId<DatabaseId>(duty.slice(duty.indexOf('/') + 1)));
			}
		},
	});

	const routing = createRouting({
		world,
		self: settings.vm,
		rankHomes: view.rankHomes,
		isUsable: vm => calls.isUsable(vm),
		async callHome(member, request, timeoutMs) {
			const answer = await calls.call(member, RUN_METHOD, request, timeoutMs);
			return answer.map(value => value as HomeAnswer);
		},
		serveHere: async request => databases.get(request.database).serve(request),
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

	const holds = createHolds(world, () => view.listMembers().length);

	/** Runs a statement at its home, unless the home has just refused the customer an operation. */
	const runAtHome = async (request: HomeRequest, deadline: Deadline): Promise<HomeAnswer> => {
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
			holds.note(request.database, request.customer, answer.outcome.retryAfterMs);
		}

		return answer;
	};

	const admit = (service: string, key: string): Result<Admission, Outcome> => {
		const rules = view.getRules();
		const route = rules?.routes.get(service);
		if (!rules || !route) {
			return Err(createRefusal(rules ? 'noDatabase' : 'busy', rules ? 'no service has that name' : 'the rules are not known yet'));
		}

		const customer = rules.keys.get(key);
		if (customer) {
			return Ok({route, customer});
		}

		return route.isOpen
			? Ok({route, customer: parseId<CustomerId>('-')})
			: Err(createRefusal('noKey', 'the key is not issued'));
	};

	/**
	 * Callers are better off elsewhere when this data centre is cut off. With two data centres both see the same;
	 * then the one that has the store goes on.
	 */
	const isConnected = (): boolean => !isolation.isIsolated()
		|| (settings.dataCentres <= TWO_SIDES && feed.getAgeMs() < STALE_MS);

	const listener = await calls.listen();
	for (const run of [presence.run, feed.run, duties.run, databases.run]) {
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
				admit: () => admit(service, key),
				runAtHome,
				rollBack: routing.rollBack,
			}));
		},
		isReady: () => !leaving && view.getRules() !== undefined && view.listMembers().length > 0 && isConnected(),
		async leave() {
			leaving = true;
			await presence.leave();
		},
		isLeaving: () => leaving,
		hasRules: () => view.getRules() !== undefined,
		getShedding() {
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
