/** One proxy from start to stop: wires the parts and owns their tasks. */

import {
	computeHash, createDeadline, createScope, Err, getMessage, Ok, parseId,
	type DatabaseId, type Failure, type RequestId, type Result, type World,
} from '@guavapitch/core';
import {runChunk, type TargetConnection} from '@guavapitch/back-postgres';
import {
	createRelayService, runCacheSync, runRelayWatches, type CacheSyncContext, type SyncReply,
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
export type Proxy = Readonly<{
	callers: CallerListener;
	/** Leaves: finishes what is under way and stops. */
	stop: () => Promise<void>;
}>;

/** Failure of a start. */
export type StartFailure = Failure<'addressUnusable'>;

const STORE_TIMEOUT_MS = 600;
const PEER_TIMEOUT_MS = 300;
const SYNC_TIMEOUT_MS = 1500;
const SWEEP_MS = 100;
const INCARNATION_BYTES = 8;
const DRAIN_POLL_MS = 20;
const STORE_SILENCE_MS = 2000;
const GOODBYE_MS = 1000;
const KEPT_EVENTS = 2000;

/** Starts a proxy. */
export const startProxy = async (settings: Settings, world: World): Promise<Result<Proxy, StartFailure>> => {
	const incarnation = world.createId().slice(0, INCARNATION_BYTES);
	const clock = createHybridLogicalClock(world.readWallClock);
	const ring = createEventRingBuffer(KEPT_EVENTS);
	const log = openLog(settings.logFile);
	const emit = createEmit({program: 'guavapitch-proxy', vm: settings.vm, incarnation}, clock, record => {
		ring.write(record);
		log(record);
	});
	const metrics = openMetrics(settings.statsd);
	const onFailure = (task: string) => (thrown: unknown) => {
		emit(EVENTS.taskFailed, {task, reason: thrown instanceof Error ? thrown.stack : String(thrown)});
	};

	const control = createScope(onFailure('control'));
	const roles = createScope(onFailure('role'));
	const requests = createScope(onFailure('request'));
	const store = openEtcdStore({
		address: settings.platform,
		clientName: settings.vm,
		callTimeoutMs: STORE_TIMEOUT_MS,
		onCall(method) {
			metrics.count('store.calls', {method});
		},
	}, world);
	let callers: CallerListener | undefined;
	let draining = false;
	let underWay = 0;
	let storeReachedAt = world.now();
	let storeReached = true;

	const fleet = createClusterView({
		world, settings, incarnation, emit,
		onMemberDead(member) {
			peers.disconnect({host: member.host, port: member.port});
		},
		onInventoryApplied() {
			callers?.closeIdle();
		},
	});
	const {storeCache: facts, inForce, members} = fleet;

	// The handlers need parts that need the peers; calls are only answered once all are made.
	let handlers: PeerHandlers = {calls: {}, streams: {}};
	const peerContext: PeerContext = {
		world,
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
		onTransfer(direction, bytes) {
			metrics.count('peer.bytes', {direction}, bytes);
		},
	};
	const peers = createPeerConnections(peerContext, createDial(settings.peerTls));
	const callVm = createCallVm(members, peers);

	const groups = new Map<DatabaseId, GroupView>();
	const acceptView = (view: GroupView) => {
		const known = groups.get(view.record.database);
		if (!known || known.revision < view.revision) {
			groups.set(view.record.database, view);
		}
	};

	facts.subscribe(keys => {
		for (const key of keys.filter(one => one.startsWith(GROUP_PREFIX))) {
			const entry = facts.get(key);
			const record = entry ? parseGroupRecord(entry.value) : undefined;
			if (entry && record?.ok) {
				acceptView({record: record.val, revision: entry.revision});
			}
		}
	});

	const homes = createOwnedTargets({
		world, vm: settings.vm, incarnation, clusterView: fleet, callVm, emit, metrics, onGroupView: acceptView,
	});
	const cancels = new Map<RequestId, () => void>();
	const home: OwnerContext<TargetConnection> = {
		runChunk,
		world,
		getTarget: homes.get,
		checkGrant(header) {
			const {grantRegistry: book} = homes;
			const checked = header.mode === 'write'
				? book.checkWrite(header.database, header.target)
				: (header.mode === 'read' ? book.checkRead(header.database, header.target) : book.checkStaleness(header.database, header.target, header.maximumAgeMs));
			return checked.map(record => record.term);
		},
		waitUntilDurable: homes.waitUntilDurable,
		async waitUntilUnanswerable(header, term, deadline, signal) {
			await homes.grantRegistry.waitUntilIneligible({
				database: header.database, target: header.target, term, mode: header.mode,
			}, deadline, signal);
		},
		onServed(customer, mode, usedMs) {
			metrics.count('home.requests', {customer, mode});
			metrics.time('home.request', usedMs, {customer});
		},
		registerCancel(requestId, cancel) {
			cancels.set(requestId, cancel);
			return {
				[Symbol.dispose]() {
					cancels.delete(requestId);
				},
			};
		},
		trackRequest(header) {
			underWay++;
			const write = header.mode === 'write' ? homes.grantRegistry.trackWrite(header.database) : undefined;
			return {
				[Symbol.dispose]() {
					write?.[Symbol.dispose]();
					underWay--;
				},
			};
		},
		isDraining: () => draining,
	};

	const stewards = createFailoverCoordinators({
		world, vm: settings.vm, clusterView: fleet, store, callVm, emit, onGroupView: acceptView,
	});
	const keepers = createQuotaAllocators(world, fleet, callVm);
	const lease = createProcessLease(store, world);
	const promises = createTakeoverPromises(incarnation, world);
	const relay = createRelayService(facts, incarnation, world);

	const cancelHere = (requestId: string) => {
		cancels.get(parseId<RequestId>(requestId))?.();
	};

	const cancelRequest = (requestId: string) => {
		cancelHere(requestId);
		for (const member of members.getLive()) {
			if (member.vm !== settings.vm) {
				void callVm(member.vm, 'cancel', requestId, PEER_TIMEOUT_MS);
			}
		}
	};

	const numberOf = (vm: string) => computeVmNumber(computeHash(vm));
	const forwardCancel = (vmNumber: number, processId: number, secret: number) => {
		const member = findVmByNumber(members.getAll().map(member => member.vm), vmNumber, numberOf);
		if (member) {
			void callVm(member, 'cancelCaller', {processId, secret}, PEER_TIMEOUT_MS);
		}
	};

	const entry = createEntry({
		world,
		vm: settings.vm,
		clusterView: fleet,
		peers,
		quotaClient: createQuotaClient(keepers.requestTokens, world),
		owner: home,
		retryBudget: createRetryBudget(),
		scope: requests,
		emit,
		metrics,
		getGroup: database => groups.get(database),
		cancelRequest,
		isDraining: () => draining,
	});

	handlers = createHandlers({
		world, incarnation, scope: requests, clusterView: fleet, callVm, relay, coordinators: stewards, allocators: keepers, grantRegistry: homes.grantRegistry, promises, owner: home,
		getEpoch(slot) {
			const known = facts.get(`${ROLE_PREFIX}${slot}`);
			return known ? parseSlotRecord(known.value).map(record => record.epoch).unwrapOr(0) : 0;
		},
		isStoreReachable: () => storeReached && world.now() - storeReachedAt < STORE_SILENCE_MS,
		cancelLocally: cancelHere,
		cancelCaller(processId, secret) {
			callers?.cancel(processId, secret);
		},
		getStatus: () => ({
			vm: settings.vm,
			dataCentre: settings.dataCentre,
			incarnation,
			version: VERSION,
			revision: inForce.getRevision(),
			confirmedAgeMs: Math.round(world.now() - inForce.getConfirmedAt()),
			draining,
			members: members.getAll().map(({vm, status, state}) => ({vm, status, state})),
			groups: [...groups.values()],
			homes: homes.getState(),
			reports: relay.getReports().map(({vm, revision, at}) => ({vm, revision, ageMs: Math.round(world.now() - at)})),
			metrics: metrics.snapshot(),
		}),
		listEvents: ring.list,
		explain: createExplain({clusterView: fleet, getGroup: database => groups.get(database), random: world.random}),
	});

	const freshness: CacheSyncContext = {
		world,
		cache: facts,
		store,
		vm: settings.vm,
		isRelay: () => fleet.isRelay(),
		getRelays: () => fleet.getRelays(),
		sendSync: async (vm, request) => callVm<SyncReply>(vm, 'sync', request, SYNC_TIMEOUT_MS),
		async isStoreDownForAll() {
			const places = new Set(inForce.getInventory()?.dataCentres);
			const others = fleet.getRelays();
			const answers = await Promise.all(others.map(async vm => ({
				place: members.get(vm)?.dataCentre, answer: await callVm<boolean>(vm, 'vouch', null, PEER_TIMEOUT_MS),
			})));
			if (answers.some(({answer}) => answer.ok && answer.val)) {
				return false;
			}

			const vouching = new Set<string | undefined>(answers.filter(({answer}) => answer.ok).map(({place}) => place));
			vouching.add(settings.dataCentre);
			return [...places].every(place => vouching.has(place));
		},
		getActiveRevision: inForce.getRevision,
		onStoreContact(reachable) {
			if (reachable) {
				storeReachedAt = world.now();
			}

			if (reachable !== storeReached) {
				storeReached = reachable;
				emit(reachable ? EVENTS.storeReachable : EVENTS.storeUnreachable);
			}
		},
	};

	const runContenders = createRoleCandidates({
		world, vm: settings.vm, incarnation, clusterView: fleet, store, lease, promises, scope: roles, emit, isDraining: () => draining,
		requestPromise: async (vm, request) => callVm<boolean>(vm, 'promise', request, PEER_TIMEOUT_MS),
		runAsHolder: {steward: stewards.runAsHolder, keeper: keepers.runAsHolder},
	});

	const runSweep = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			callers?.closeIdle();
			metrics.gauge('entry.confirmedAgeMs', world.now() - inForce.getConfirmedAt());
			await world.sleep(SWEEP_MS, signal);
		}
	};

	try {
		const listener = await startPeerListener(settings.peerListen, peerContext, settings.peerTls);
		callers = await startCallerListener({
			settings, clusterView: fleet, entry, emit, metrics, vmNumber: numberOf(settings.vm), forwardCancel,
		});
		emit(EVENTS.processStarted, {
			version: VERSION, dataCentre: settings.dataCentre, listen: `${callers.address.host}:${callers.address.port}`, peerListen: `${listener.address.host}:${listener.address.port}`,
		});
		control.run(async signal => runCacheSync(freshness, signal));
		control.run(async signal => runRelayWatches(freshness, signal));
		control.run(async signal => runFailureDetector({
			world, members, self: settings.vm, ping: async (vm, ping, timeoutMs) => callVm<PingResponse>(vm, 'ping', ping, timeoutMs),
		}, signal));
		control.run(runContenders);
		control.run(homes.runGrantRenewal);
		control.run(homes.runOwnershipUpdates);
		control.run(runSweep);
		const open = callers;
		return Ok({
			callers: open,
			async stop() {
				draining = true;
				emit(EVENTS.processDraining);
				members.markLeaving();
				const patience = new AbortController();
				const timer = setTimeout(() => {
					patience.abort();
				}, settings.drainMs);
				await roles[Symbol.asyncDispose]();
				await lease.revoke();
				await open.drain(patience.signal);
				while (underWay > 0 && !patience.signal.aborted) {
					await world.sleep(DRAIN_POLL_MS);
				}

				clearTimeout(timer);
				await listener.drain(createDeadline(world.now(), GOODBYE_MS));
				await open[Symbol.asyncDispose]();
				await control[Symbol.asyncDispose]();
				await requests[Symbol.asyncDispose]();
				await homes[Symbol.asyncDispose]();
				await stewards[Symbol.asyncDispose]();
				await peers[Symbol.asyncDispose]();
				await listener[Symbol.asyncDispose]();
				await store[Symbol.asyncDispose]();
				emit(EVENTS.processStopped);
				await metrics[Symbol.asyncDispose]();
			},
		});
	} catch (error) {
		return Err({code: 'addressUnusable', message: getMessage(error)});
	}
};

