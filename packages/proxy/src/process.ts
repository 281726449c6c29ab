/** One proxy process from start to stop: connects its components and owns their tasks. */

import {
	computeHash, createDeadline, createScope, Err, getErrorMessage, Ok, brandId,
	type DatabaseId, type Failure, type RequestId, type Result, type Runtime,
} from '@guavapitch/core';
import {runChunk, type TargetConnection} from '@guavapitch/back-postgres';
import {createStopPlan, type StopPlan} from '@guavapitch/callers';
import {
	createRelayService, runCacheSync, runRelayWatches, type CacheSyncContext, type SyncResponse,
} from '@guavapitch/configuration';
import {GROUP_PREFIX, parseGroupRecord, type GroupView} from '@guavapitch/failover';
import {createQuotaClient} from '@guavapitch/limits';
import {runFailureDetector, type PingResponse} from '@guavapitch/membership';
import {
	createDial, createPeerConnections, startPeerListener, type PeerContext, type PeerHandlers,
} from '@guavapitch/peer-protocol';
import {openEtcdStore} from '@guavapitch/store';
import {
	createProcessLease, createTakeoverPromises, parseSlotRecord, ROLE_PREFIX,
} from '@guavapitch/roles';
import type {OwnerContext} from '@guavapitch/requests';
import {createRetryBudget} from '@guavapitch/routing';
import {
	createHybridLogicalClock, createEmit, createEventRingBuffer, EVENTS, openLog, openMetrics,
} from '@guavapitch/telemetry';
import {
	computeVmNumber, findVmByNumber, startCallerListener, type CallerListener,
} from './caller-listener.js';
import {createRoleCandidates} from './role-candidates.js';
import {createEntry} from './entry.js';
import {createExplain} from './explain.js';
import {createCallVm, createClusterView} from './cluster-view.js';
import {createHandlers} from './handlers.js';
import {createOwnedTargets} from './owned-targets.js';
import {createQuotaAllocators} from './quota-allocators.js';
import {VERSION, type Settings} from './settings.js';
import {createFailoverCoordinators} from './failover-coordinators.js';

/** A running proxy. */
export type RunningProxy = Readonly<{
	callerListener: CallerListener;
	/** Shuts down gracefully: gives up roles, drains callers and running requests, then closes everything. */
	stop: () => Promise<void>;
}>;

/** Failure to start: an address for callers or peers cannot be used. */
export type StartFailure = Failure<'addressUnusable'>;

const STORE_TIMEOUT_MS = 600;
const PEER_TIMEOUT_MS = 300;
const SYNC_TIMEOUT_MS = 1500;
/** Interval between checks for idle connections that must be closed, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Length of an incarnation, which is the beginning of a unique identifier. */
const INCARNATION_CHARACTERS = 8;
const DRAIN_POLL_MS = 20;
/** Time after a contact with the store for which peers are told that the store is reachable, in milliseconds. */
const MAX_STORE_CONTACT_AGE_MS = 2000;
const GOAWAY_TIMEOUT_MS = 1000;
/** Number of events kept in memory for operators to request. */
const MAX_RECENT_EVENTS = 2000;

/** Starts a proxy: listens for peers and callers and runs the background tasks. */
export const startProxy = async (settings: Settings, runtime: Runtime): Promise<Result<RunningProxy, StartFailure>> => {
	const incarnation = runtime.createId().slice(0, INCARNATION_CHARACTERS);
	const clock = createHybridLogicalClock(runtime.readWallClock);
	const recentEvents = createEventRingBuffer(MAX_RECENT_EVENTS);
	const log = openLog(settings.logFile);
	const emit = createEmit({program: 'guavapitch-proxy', vm: settings.vm, incarnation}, clock, record => {
		recentEvents.write(record);
		log(record);
	});
	const metrics = openMetrics(settings.statsd);
	const createFailureHandler = (task: string) => (thrown: unknown) => {
		emit(EVENTS.taskFailed, {task, reason: thrown instanceof Error ? thrown.stack : String(thrown)});
	};

	const controlScope = createScope(createFailureHandler('control'));
	const roleScope = createScope(createFailureHandler('role'));
	const requestScope = createScope(createFailureHandler('request'));
	const store = openEtcdStore({
		address: settings.platform,
		clientName: settings.vm,
		callTimeoutMs: STORE_TIMEOUT_MS,
		onCall(method) {
			metrics.count('store.calls', {method});
		},
	}, runtime);
	let callerListener: CallerListener | undefined;
	let isDraining = false;
	let stopPlan: StopPlan | undefined;
	let runningRequestCount = 0;
	let storeContactAt = runtime.now();
	let isStoreReachable = true;

	const clusterView = createClusterView({
		runtime, settings, incarnation, emit,
		onMemberDead(member) {
			peers.disconnect({host: member.host, port: member.port});
		},
		onInventoryApplied() {
			callerListener?.closeIdle();
		},
	});
	const {storeCache, activeConfiguration, members} = clusterView;

	// The handlers depend on components that depend on the peers, so they are set once all components exist; the peer listener starts after that.
	let handlers: PeerHandlers = {calls: {}, streams: {}};
	const peerContext: PeerContext = {
		runtime,
		identity: {vm: settings.vm, incarnation},
		get handlers() {
			return handlers;
		},
		readTime: clock.read,
		observeTime: clock.observe,
		onMalformedFrame(failure) {
			emit(EVENTS.frameRefused, {reason: failure.code});
			metrics.count('peer.malformed');
		},
		onTransfer(direction, byteCount) {
			metrics.count('peer.bytes', {direction}, byteCount);
		},
	};
	const peers = createPeerConnections(peerContext, createDial(settings.peerTls));
	const callVm = createCallVm(members, peers);

	const groups = new Map<DatabaseId, GroupView>();
	const acceptGroupView = (view: GroupView) => {
		const knownView = groups.get(view.record.database);
		if (!knownView || knownView.revision < view.revision) {
			groups.set(view.record.database, view);
		}
	};

	storeCache.subscribe(keys => {
		for (const key of keys.filter(changedKey => changedKey.startsWith(GROUP_PREFIX))) {
			const entry = storeCache.get(key);
			const record = entry ? parseGroupRecord(entry.value) : undefined;
			if (entry && record?.ok) {
				acceptGroupView({record: record.val, revision: entry.revision});
			}
		}
	});

	const ownedTargets = createOwnedTargets({
		runtime, vm: settings.vm, incarnation, clusterView, callVm, emit, metrics, onGroupView: acceptGroupView,
	});
	const cancelCallbacks = new Map<RequestId, () => void>();
	const ownerContext: OwnerContext<TargetConnection> = {
		runChunk,
		runtime,
		getTarget: ownedTargets.get,
		checkGrant(header) {
			const {grantRegistry} = ownedTargets;
			const grantCheck = header.mode === 'write'
				? grantRegistry.checkWrite(header.database, header.target)
				: (header.mode === 'read' ? grantRegistry.checkRead(header.database, header.target) : grantRegistry.checkStaleness(header.database, header.target, header.maximumAgeMs));
			return grantCheck.map(record => record.term);
		},
		waitUntilDurable: ownedTargets.waitUntilDurable,
		async waitUntilUnanswerable(header, term, deadline, signal) {
			await ownedTargets.grantRegistry.waitUntilIneligible({
				database: header.database, target: header.target, term, mode: header.mode,
			}, deadline, signal);
		},
		onServed(customer, mode, usedMs) {
			metrics.count('home.requests', {customer, mode});
			metrics.time('home.request', usedMs, {customer});
		},
		registerCancel(requestId, cancel) {
			cancelCallbacks.set(requestId, cancel);
			return {
				[Symbol.dispose]() {
					cancelCallbacks.delete(requestId);
				},
			};
		},
		trackRequest(header) {
			runningRequestCount++;
			const trackedWrite = header.mode === 'write' ? ownedTargets.grantRegistry.trackWrite(header.database) : undefined;
			return {
				[Symbol.dispose]() {
					trackedWrite?.[Symbol.dispose]();
					runningRequestCount--;
				},
			};
		},
		isDraining: () => isDraining,
	};

	const coordinators = createFailoverCoordinators({
		runtime, vm: settings.vm, clusterView, store, callVm, emit, onGroupView: acceptGroupView,
	});
	const allocators = createQuotaAllocators(runtime, clusterView, callVm);
	const lease = createProcessLease(store, runtime);
	const takeoverPromises = createTakeoverPromises(incarnation, runtime);
	const relayService = createRelayService(storeCache, incarnation, runtime);

	const cancelLocally = (requestId: string) => {
		cancelCallbacks.get(brandId<RequestId>(requestId))?.();
	};

	const cancelRequest = (requestId: string) => {
		cancelLocally(requestId);
		for (const member of members.getLive()) {
			if (member.vm !== settings.vm) {
				void callVm(member.vm, 'cancel', requestId, PEER_TIMEOUT_MS);
			}
		}
	};

	const getVmNumber = (vm: string) => computeVmNumber(computeHash(vm));
	const forwardCancel = (vmNumber: number, processId: number, secret: number) => {
		const vm = findVmByNumber(members.getAll().map(member => member.vm), vmNumber, getVmNumber);
		if (vm) {
			void callVm(vm, 'cancelCaller', {processId, secret}, PEER_TIMEOUT_MS);
		}
	};

	const entry = createEntry({
		runtime,
		vm: settings.vm,
		clusterView,
		peers,
		quotaClient: createQuotaClient(allocators.requestTokens, runtime),
		ownerContext,
		retryBudget: createRetryBudget(),
		scope: requestScope,
		emit,
		metrics,
		getGroup: database => groups.get(database),
		cancelRequest,
		getStopPlan: () => stopPlan,
	});

	handlers = createHandlers({
		runtime,
		incarnation,
		scope: requestScope,
		clusterView,
		callVm,
		relayService,
		coordinators,
		allocators,
		grantRegistry: ownedTargets.grantRegistry,
		takeoverPromises,
		ownerContext,
		getEpoch(slot) {
			const slotEntry = storeCache.get(`${ROLE_PREFIX}${slot}`);
			return slotEntry ? parseSlotRecord(slotEntry.value).map(record => record.epoch).unwrapOr(0) : 0;
		},
		isStoreReachable: () => isStoreReachable && runtime.now() - storeContactAt < MAX_STORE_CONTACT_AGE_MS,
		cancelLocally,
		cancelCaller(processId, secret) {
			callerListener?.cancel(processId, secret);
		},
		getStatus: () => ({
			vm: settings.vm,
			dataCentre: settings.dataCentre,
			incarnation,
			version: VERSION,
			revision: activeConfiguration.getRevision(),
			confirmedAgeMs: Math.round(runtime.now() - activeConfiguration.getConfirmedAt()),
			draining: isDraining,
			members: members.getAll().map(({vm, status, state}) => ({vm, status, state})),
			groups: [...groups.values()],
			homes: ownedTargets.getState(),
			reports: relayService.getReports().map(({vm, revision, at}) => ({vm, revision, ageMs: Math.round(runtime.now() - at)})),
			metrics: metrics.snapshot(),
		}),
		listEvents: recentEvents.list,
		explain: createExplain({clusterView, getGroup: database => groups.get(database), random: runtime.random}),
	});

	const cacheSync: CacheSyncContext = {
		runtime,
		cache: storeCache,
		store,
		vm: settings.vm,
		isRelay: () => clusterView.isRelay(),
		getRelays: () => clusterView.getRelays(),
		sendSync: async (vm, request) => callVm<SyncResponse>(vm, 'sync', request, SYNC_TIMEOUT_MS),
		async isStoreDownForAll() {
			const dataCentres = new Set(activeConfiguration.getInventory()?.dataCentres);
			const otherRelays = clusterView.getRelays();
			const responses = await Promise.all(otherRelays.map(async vm => ({
				dataCentre: members.get(vm)?.dataCentre, response: await callVm<boolean>(vm, 'vouch', null, PEER_TIMEOUT_MS),
			})));
			if (responses.some(({response}) => response.ok && response.val)) {
				return false;
			}

			// The store counts as down only if a relay in each other data centre confirms that it cannot reach the store; this vm confirms it for its own.
			const confirmingDataCentres = new Set<string | undefined>(responses.filter(({response}) => response.ok).map(({dataCentre}) => dataCentre));
			confirmingDataCentres.add(settings.dataCentre);
			return [...dataCentres].every(dataCentre => confirmingDataCentres.has(dataCentre));
		},
		getActiveRevision: activeConfiguration.getRevision,
		onStoreContact(isReachable) {
			if (isReachable) {
				storeContactAt = runtime.now();
			}

			if (isReachable !== isStoreReachable) {
				isStoreReachable = isReachable;
				emit(isReachable ? EVENTS.storeReachable : EVENTS.storeUnreachable);
			}
		},
	};

	const runRoleCandidates = createRoleCandidates({
		runtime, vm: settings.vm, incarnation, clusterView, store, lease, takeoverPromises, scope: roleScope, emit, isDraining: () => isDraining,
		requestPromise: async (vm, request) => callVm<boolean>(vm, 'promise', request, PEER_TIMEOUT_MS),
		runAsHolder: {steward: coordinators.runAsHolder, keeper: allocators.runAsHolder},
	});

	const runPeriodicChecks = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			callerListener?.closeIdle();
			metrics.gauge('entry.confirmedAgeMs', runtime.now() - activeConfiguration.getConfirmedAt());
			await runtime.sleep(CHECK_INTERVAL_MS, signal);
		}
	};

	try {
		const peerListener = await startPeerListener(settings.peerListen, peerContext, settings.peerTls);
		callerListener = await startCallerListener({
			settings, clusterView, entry, emit, metrics, vmNumber: getVmNumber(settings.vm), forwardCancel,
		});
		emit(EVENTS.processStarted, {
			version: VERSION,
			dataCentre: settings.dataCentre,
			listen: `${callerListener.address.host}:${callerListener.address.port}`,
			peerListen: `${peerListener.address.host}:${peerListener.address.port}`,
		});
		controlScope.run(async signal => runCacheSync(cacheSync, signal));
		controlScope.run(async signal => runRelayWatches(cacheSync, signal));
		controlScope.run(async signal => runFailureDetector({
			runtime, members, self: settings.vm, ping: async (vm, ping, timeoutMs) => callVm<PingResponse>(vm, 'ping', ping, timeoutMs),
		}, signal));
		controlScope.run(runRoleCandidates);
		controlScope.run(ownedTargets.runGrantRenewal);
		controlScope.run(ownedTargets.runOwnershipUpdates);
		controlScope.run(runPeriodicChecks);
		const startedCallerListener = callerListener;
		return Ok({
			callerListener: startedCallerListener,
			async stop() {
				isDraining = true;
				stopPlan = createStopPlan(runtime.now(), settings.drainMs);
				emit(EVENTS.processDraining);
				members.markLeaving();
				const drainTimeout = new AbortController();
				const timer = setTimeout(() => {
					drainTimeout.abort();
				}, settings.drainMs);
				await roleScope[Symbol.asyncDispose]();
				await lease.revoke();
				await startedCallerListener.drain(drainTimeout.signal);
				while (runningRequestCount > 0 && !drainTimeout.signal.aborted) {
					await runtime.sleep(DRAIN_POLL_MS);
				}

				clearTimeout(timer);
				await peerListener.drain(createDeadline(runtime.now(), GOAWAY_TIMEOUT_MS));
				await startedCallerListener[Symbol.asyncDispose]();
				await controlScope[Symbol.asyncDispose]();
				await requestScope[Symbol.asyncDispose]();
				await ownedTargets[Symbol.asyncDispose]();
				await coordinators[Symbol.asyncDispose]();
				await peers[Symbol.asyncDispose]();
				await peerListener[Symbol.asyncDispose]();
				await store[Symbol.asyncDispose]();
				emit(EVENTS.processStopped);
				await metrics[Symbol.asyncDispose]();
			},
		});
	} catch (error) {
		return Err({code: 'addressUnusable', message: getErrorMessage(error)});
	}
};

