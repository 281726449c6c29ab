/** The process of an entry vm, independent of the protocols of its callers and targets. */

import {
	createDeadline, createScope, Err, getErrorMessage, isPast, Ok, type DatabaseId, type Deadline, type Result, type VmId, brandId,
} from '@guavapitch/core';
import {
	chooseSessionClosing, createSession, type Session, type SessionClosing, type StopPlan,
} from '@guavapitch/callers';
import {
	createChange, createFeed, type Feed, type FeedRequest,
} from '@guavapitch/feed';
import {createRoleClaims, type RoleClaims} from '@guavapitch/roles';
import {
	createRefusal, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import {EVENTS} from '@guavapitch/telemetry';
import {createAuthorizer} from './authorization.js';
import type {VmContext} from './context.js';
import {createDatabaseOwners, PROBE_TARGET_METHOD} from './database-owners.js';
import {createDataCentreMonitor} from './data-centre-monitor.js';
import {createKnownPositions} from './known-positions.js';
import {createLeaderAnnouncements, LEADER_METHOD} from './leader-announcements.js';
import {computeFollowerWaitMs, createFeedPrefixes} from './feed-prefixes.js';
import {rankRelays, type Member} from './members.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import {createPrimaryAppointments} from './primary-appointments.js';
import {createRegistration} from './registration.js';
import {formatGroupKey, parseGroupRecord} from './replication-groups.js';
import {ALLOCATOR_ROLE, formatCoordinatorRole, parseCoordinatorRole} from './role-names.js';
import {runWithinBudget} from './work-memory.js';
import {createStatementAdmission} from './statement-admission.js';
import {createStatementRouter} from './statement-router.js';
import {
	GRANT_TOKENS_METHOD, REPORT_CONTACT_METHOD, createQuotas, type ContactMessage, type TokenRequestMessage,
} from './quotas.js';
import {
	createClusterView, FENCING_TOKEN_PREFIX, HOLDER_PREFIX, isRelevantChange, MEMBER_PREFIX,
} from './cluster-view.js';

/** A running entry vm. */
export type Vm = AsyncDisposable & Readonly<{
	/** Opens the session of a caller; refuses it if its service or key is unknown. `tryKeep` counts the bytes that the session keeps, and tells whether it may. */
	openSession: (service: string, key: string, tryKeep: (bytes: number) => boolean) => Result<Session, StatementOutcome>;
	/** Tells whether new callers should be sent to this vm. */
	isReady: () => boolean;
	/** Starts to stop the vm in the order of a plan: it is no longer ready and its roles pass to other vms. Resolves once the vm is deregistered. */
	drain: (plan: StopPlan) => Promise<void>;
	isDraining: () => boolean;
	/** Tells whether a statement or a transaction of another vm's caller is in progress here. */
	hasPeerWork: () => boolean;
	/** Accepts no more calls of other vms, which then use another one, and completes those in progress; stops waiting at the deadline. */
	stopServingPeers: (deadline: Deadline) => Promise<void>;
	/** Tells whether a configuration has been received. */
	hasConfiguration: () => boolean;
	/** Tells which sessions should be closed so that callers reconnect to another vm. */
	getSessionClosing: () => SessionClosing;
}>;

const RUN_METHOD = 'run';
const ROLL_BACK_METHOD = 'rollBack';
const FEED_METHOD = 'feed';
const CONFIRM_APPOINTMENT_METHOD = 'confirm';

/** Timeout of asking a coordinator which target is appointed, in milliseconds: many times the usual duration, and short enough that the store can be asked next. */
const CONFIRMATION_TIMEOUT_MS = 150;
const FEED_TIMEOUT_MS = 1500;
/** Time for which a vm that starts waits for its registration before it looks for relays, in milliseconds; several times the usual duration of two calls to the store. */
const REGISTRATION_WAIT_MS = 300;
const ROLL_BACK_TIMEOUT_MS = 1000;
/** Age of the change feed from which a vm no longer counts as being in contact with the store, in milliseconds. */
const STALE_FEED_MS = 2500;
/** Largest number of data centres in which no side of a partition outnumbers the other. */
const MAX_DATA_CENTRES_WITHOUT_MAJORITY = 2;

/** Starts the process of an entry vm; rejects if its address for other vms cannot be bound. */
export const startVm = async (context: VmContext): Promise<Vm> => {
	const {runtime, settings, emit} = context;
	const scope = createScope(thrown => {
		emit(EVENTS.taskFailed, {message: getErrorMessage(thrown)});
	});
	let stopPlan: StopPlan | undefined;
	let peerStatementCount = 0;
	let isStoreReachable = true;

	const view = createClusterView(context, {
		getFeed: () => feed,
		onTargetsDropped() {
			databaseOwners.refreshTargets();
		},
	});
	const getEntry = (key: string) => feed.get(key);

	const handleStoreStatus = (isReachable: boolean, reason: string) => {
		if (isReachable !== isStoreReachable) {
			isStoreReachable = isReachable;
			emit(isReachable ? EVENTS.storeReachable : EVENTS.storeUnreachable, {reason});
		}
	};

	const registration = createRegistration(context, {
		getFeed: () => feed,
		onFailure(failure) {
			handleStoreStatus(false, failure.message);
		},
	});

	const quotas = createQuotas(context, {
		view,
		getPeerClient: () => peerClient,
		getRoleClaims: () => roleClaims,
		getFeedAgeMs: () => feed.getAgeMs(),
	});
	const appointments = createPrimaryAppointments(context, {
		getFeed: () => feed,
		getRoleClaims: () => roleClaims,
		async askCoordinator(database) {
			const holder = roleClaims.getHolder(formatCoordinatorRole(database));
			const coordinator = holder && view.listMembers().find(({run}) => run === holder.run);
			if (!coordinator || !peerClient.isUsable(coordinator.vm)) {
				return undefined;
			}

			const response = await peerClient.call(coordinator, CONFIRM_APPOINTMENT_METHOD, {database}, CONFIRMATION_TIMEOUT_MS);
			return response.ok ? response.val : undefined;
		},
	});
	const databaseOwners = createDatabaseOwners(context, {
		isDataCentreReachable: dataCentre => dataCentreMonitor.isReachable(dataCentre),
		onPromoted(database, target) {
			leaderAnnouncements.announce(database, target);
		},
		view,
		quotas,
		appointments,
		getGroupRecord(database) {
			const entry = feed.get(formatGroupKey(database));
			return entry && parseGroupRecord(entry.value);
		},
		getPeerClient: () => peerClient,
		getRoleClaims: () => roleClaims,
		getSignal: () => scope.signal,
	});

	/** Tells whether a vm is another one than this and can be called as far as is known. */
	const isCallable = ({vm, dataCentre}: Member): boolean => vm !== settings.vm && peerClient.isUsable(vm) && dataCentreMonitor.isReachable(dataCentre);

	const feed: Feed = createFeed({
		runtime,
		readSuspensionClock: context.readSuspensionClock,
		run: settings.run,
		source: context.source,
		prefixes: createFeedPrefixes(context),
		followerWaitMs: computeFollowerWaitMs(settings.configurationApplyMs),
		isRelevantChange: (change, before) => isRelevantChange(context, change, before),
		relayPrefix: MEMBER_PREFIX,
		waitUntilListed: async () => registration.waitUntilRegistered(createDeadline(runtime.now(), REGISTRATION_WAIT_MS)),
		listRelays: () => rankRelays(settings.vm, settings.dataCentre, view.listMembers()).filter(member => isCallable(member)).map(({vm}) => vm),
		listVms: () => view.listMembers().filter(member => isCallable(member)).map(({vm}) => vm),
		async callRelay(relay, request) {
			const member = view.listMembers().find(({vm}) => vm === relay);
			if (!member) {
				return Err({code: 'gone', message: 'The relay has left the fleet'});
			}

			const response = await peerClient.call(member, FEED_METHOD, request, FEED_TIMEOUT_MS);
			return response.map(value => value as Awaited<ReturnType<Feed['serve']>>);
		},
		onChange(changes) {
			const {hasTargetChange, hasAppointmentChange} = view.applyChanges(changes);
			if (hasTargetChange) {
				databaseOwners.refreshTargets();
			}

			if (hasAppointmentChange) {
				databaseOwners.refreshLeaders();
			}
		},
		onSourceChange(kind, name) {
			emit(EVENTS.feedSourceChanged, {kind, name, ageMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER))});
		},
		onRelayRejected(relay, rejection, tookMs, ageMs) {
			emit(EVENTS.relayRejected, {
				relay, rejection, tookMs: Math.round(tookMs), ageMs: Math.round(ageMs),
			});
		},
		onEraChange(era, previousEra) {
			roleClaims.handleRestore();
			emit(EVENTS.storeRestored, {era, previousEra, ageMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER))});
		},
		onStoreStatus: handleStoreStatus,
	});

	const dataCentreMonitor = createDataCentreMonitor({
		runtime,
		vm: settings.vm,
		dataCentre: settings.dataCentre,
		listMembers: view.listMembers,
		ping: async (member, timeoutMs) => peerClient.ping(member, timeoutMs),
		onChange(dataCentre, isReachable) {
			emit(EVENTS.readinessChanged, {
				dataCentre, isReachable, isIsolated: dataCentreMonitor.isIsolated(), feedAgeMs: Math.round(Math.min(feed.getAgeMs(), Number.MAX_SAFE_INTEGER)),
			});
		},
	});

	const leaderAnnouncements = createLeaderAnnouncements({
		listMembers: () => view.listMembers().filter(member => isCallable(member)),
		async send(member, body, timeoutMs) {
			await peerClient.call(member, LEADER_METHOD, body, timeoutMs);
		},
		onLeader(database, target) {
			view.recordLeader(database, target);
			databaseOwners.refreshAnnouncedLeader(database);
		},
	});

	const serveAsOwner = async (request: StatementRequest): Promise<StatementResponse> => databaseOwners.get(request.database).serve(request);

	const peerClient: PeerClient = createPeerClient(context, {
		calls: {
			async [RUN_METHOD](body) {
				peerStatementCount++;
				try {
					return await runWithinBudget(context.workBudget, body as StatementRequest, serveAsOwner);
				} finally {
					peerStatementCount--;
				}
			},
			async [ROLL_BACK_METHOD](body) {
				const {database, transaction} = body as Readonly<{database: DatabaseId; transaction: string}>;
				databaseOwners.get(database).rollBack(transaction);
			},
			[CONFIRM_APPOINTMENT_METHOD]: async body => appointments.confirm((body as Readonly<{database: DatabaseId}>).database),
			[FEED_METHOD]: async body => feed.serve(body as FeedRequest),
			[GRANT_TOKENS_METHOD]: async body => quotas.grantTokens(body as TokenRequestMessage),
			[REPORT_CONTACT_METHOD]: async (body, {vm, incarnation}) => quotas.receiveReport(body as ContactMessage, {vm: brandId<VmId>(vm), run: incarnation}),
			async [LEADER_METHOD](body) {
				leaderAnnouncements.receive(body);
			},
			[PROBE_TARGET_METHOD]: async body => databaseOwners.isReachable((body as Readonly<{target: Parameters<typeof databaseOwners.isReachable>[0]}>).target),
		},
		streams: {},
	}, {
		isMember: member => view.listMembers().some(({run}) => run === member.run),
		onUnreachable: dataCentreMonitor.handleSilence,
		onSilence(vm) {
			const silentMember = view.listMembers().find(member => member.vm === vm);
			if (silentMember) {
				dataCentreMonitor.handleSilence(silentMember);
			}
		},
	});

	const roleClaims: RoleClaims = createRoleClaims({
		runtime,
		store: context.store,
		registration,
		vm: settings.vm,
		run: settings.run,
		holderPrefix: HOLDER_PREFIX,
		fencingTokenPrefix: FENCING_TOKEN_PREFIX,
		getEntry,
		getEra: feed.getEra,
		listRoles: () => stopPlan ? [] : [ALLOCATOR_ROLE, ...[...view.getConfiguration()?.databases.keys() ?? []].map(database => formatCoordinatorRole(database))],
		getRank(role) {
			const database = parseCoordinatorRole(role);
			const ranked = database === undefined ? view.rankOwners(brandId<DatabaseId>(role)) : view.rankCoordinators(database);
			const rank = ranked.findIndex(({vm}) => vm === settings.vm);
			return rank === -1 ? undefined : rank;
		},
		hasRunEnded: ({vm, run}) => view.listMembers().some(member => member.vm === vm && member.run !== run),
		onWritten(key, value, version) {
			feed.applyLocalWrite(createChange({
				...version, key, value, createdRevision: version.revision,
			}));
		},
		onClaimed(role, epoch) {
			emit(EVENTS.roleClaimed, {duty: role, epoch});
			const database = parseCoordinatorRole(role);
			if (database !== undefined) {
				databaseOwners.get(database);
			}
		},
	});

	const statementRouter = createStatementRouter({
		runtime,
		readSuspensionClock: context.readSuspensionClock,
		self: settings.vm,
		knownPositions: createKnownPositions(context.readSuspensionClock),
		rankOwners: view.rankOwners,
		isUsable: vm => peerClient.isUsable(vm),
		isReachable: dataCentreMonitor.isReachable,
		onUnreachable: dataCentreMonitor.onUnreachable,
		async callOwner(member, request, timeoutMs) {
			const response = await peerClient.call(member, RUN_METHOD, request, timeoutMs);
			return response.map(value => value as StatementResponse);
		},
		serveLocally: serveAsOwner,
		rollBackAt(member, database, transaction) {
			if (member) {
				void peerClient.call(member, ROLL_BACK_METHOD, {database, transaction}, ROLL_BACK_TIMEOUT_MS);
			} else {
				databaseOwners.get(database).rollBack(transaction);
			}
		},
		onRetry(request, owner, reason) {
			emit(EVENTS.requestRetried, {requestId: request.id, home: owner, reason});
		},
	});

	const runAtOwner = createStatementAdmission(context, {
		countVms: () => view.listMembers().length,
		getVersion: () => view.getConfiguration()?.version,
		acquireToken: quotas.acquireAtEntry,
		route: async (request, deadline) => statementRouter.run(request, deadline),
	});

	/**
	 * Tells whether this vm should keep its callers. Another data centre serves them better when this one is isolated.
	 * With two data centres, each finds the other unreachable; the one that is still in contact with the store then continues.
	 */
	const isConnected = (): boolean => !dataCentreMonitor.isIsolated()
		|| (settings.dataCentreCount <= MAX_DATA_CENTRES_WITHOUT_MAJORITY && feed.getAgeMs() < STALE_FEED_MS);

	const authorizer = createAuthorizer(context, {
		getConfiguration: view.getConfiguration,
		getEntriesAgeMs: () => context.readSuspensionClock() - feed.getCompleteAt(context.operatorPrefix),
	});
	const listener = await peerClient.listen();
	for (const task of [registration.run, feed.run, roleClaims.run, quotas.reportContact, databaseOwners.closeIdleConnections]) {
		scope.run(task);
	}

	return {
		openSession(service, key, tryKeep) {
			if (stopPlan && isPast(stopPlan.callersUntil, runtime.now())) {
				return Err(createRefusal('busy', 'this vm is stopping; connect again'));
			}

			const authorization = authorizer.authorize(service, key);
			if (authorization.err) {
				return authorization;
			}

			return Ok(createSession({
				runtime,
				authorize: () => authorizer.authorize(service, key),
				authorizeOn: route => authorizer.authorizeOn(route, key),
				onAuthorizationChanged(begun, current, outcome) {
					emit(EVENTS.transactionNotAuthorized, {
						customer: begun.customer,
						version: begun.version,
						currentCustomer: current?.customer,
						currentVersion: view.getConfiguration()?.version,
						reason: 'reason' in outcome ? outcome.reason : '',
					});
				},
				runAtOwner,
				rollBack: statementRouter.rollBack,
				getStopPlan: () => stopPlan,
				tryKeep,
			}));
		},
		isReady: () => !stopPlan && view.getConfiguration() !== undefined && view.listMembers().length > 0 && isConnected(),
		async drain(plan) {
			stopPlan = plan;
			await registration.deregister();
		},
		isDraining: () => stopPlan !== undefined,
		hasPeerWork: () => peerStatementCount > 0 || databaseOwners.countOpenTransactions() > 0,
		stopServingPeers: listener.drain,
		hasConfiguration: () => view.getConfiguration() !== undefined,
		getSessionClosing() {
			const closing = chooseSessionClosing(stopPlan, runtime.now());
			return closing === 'none' && !isConnected() ? 'idle' : closing;
		},
		async [Symbol.asyncDispose]() {
			await listener[Symbol.asyncDispose]();
			await peerClient[Symbol.asyncDispose]();
			await scope[Symbol.asyncDispose]();
		},
	};
};
