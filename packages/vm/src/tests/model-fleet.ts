/** Fleet of change feeds on a virtual clock, with a store and links between vms that a test can disturb. */

import {
	brandId, createNotifier, createDeadline, createSuspensionClock, Err, isPast, Ok, type DataCentreId, type Failure, type Instant, type Result, type Runtime, type VmId,
} from '@guavapitch/core';
import {
	createChange, createFeed, type Feed, type FeedRequest, type FeedResponse, type FeedSource, type StoreChange,
} from '@guavapitch/feed';
import {MEMBER_PREFIX} from '../cluster-view.js';
import {createFeedPrefixes, computeFollowerWaitMs} from '../feed-prefixes.js';
import {
	formatMember, parseMember, rankRelays, type Member,
} from '../members.js';

/** State of a vm: it works, its process does not respond, its machine is dark, or the store turns it away. */
export type VmState = 'working' | 'frozen' | 'dark' | 'turnedAway';

/** A vm of the model. */
export type ModelVm = Readonly<{
	vm: VmId;
	feed: Feed;
	getState: () => VmState;
	/** Returns the instant at which its state last changed. */
	getDisturbedAt: () => Instant;
}>;

/** A fleet whose vms follow one another and the store. */
export type ModelFleet = Readonly<{
	vms: readonly ModelVm[];
	/** Writes a version of the configuration; the store's acknowledgement is immediate. */
	writeConfiguration: (version: number) => void;
	/** Returns how often the vms have read all entries under a prefix from the store. */
	getReadCount: () => number;
	/** Returns the version of the configuration that a vm knows; 0 if none. */
	getVersion: (vm: ModelVm) => number;
	setState: (vm: ModelVm, state: VmState) => void;
	/** Leaves all further watches of the operators' entries by a vm without a response; its other calls to the store get theirs. */
	silenceOperatorWatch: (vm: ModelVm) => void;
}>;

/** Time within which a change must be active at every vm of the model, in milliseconds. */
export const APPLY_MS = 3000;
const OPERATOR_PREFIX = 'op/';
const CONFIGURATION_KEY = `${OPERATOR_PREFIX}config`;
const DELAY_MS = 2;
const READ_TIMEOUT_MS = 1200;
const WATCH_MARGIN_MS = 700;
/** Time after which a connection that has become silent is given up, in milliseconds. */
const SILENCE_MS = 700;
/** Time limit of a connection to a dark machine, and of a call between vms, in milliseconds. */
const DIAL_TIMEOUT_MS = 1000;
const CALL_TIMEOUT_MS = 1500;
const PROBE_INTERVAL_MS = 300;

const createModelStore = (runtime: Runtime) => {
	const changes: StoreChange[] = [];
	const changed = createNotifier(runtime);
	const getVersion = () => ({era: 1, revision: changes.length});
	let readCount = 0;
	return {
		getReadCount: () => readCount,
		put(key: string, value: string) {
			const revision = changes.length + 1;
			changes.push(createChange({
				key, value, era: 1, revision, createdRevision: revision,
			}));
			changed.notify();
		},
		/** Returns the store as a vm sees it. */
		connect(getState: () => VmState, isOperatorWatchSilent: () => boolean): FeedSource {
			/** Resolves to a failure if the vm's call is not answered. */
			const check = async (timeoutMs: number): Promise<Result<undefined, Failure<'storeUnreachable'>>> => {
				await runtime.sleep(DELAY_MS);
				const state = getState();
				if (state === 'working') {
					return Ok(undefined);
				}

				await runtime.sleep(state === 'turnedAway' ? 0 : timeoutMs);
				return Err({code: 'storeUnreachable', message: state});
			};

			return {
				async readAll(prefix, timeoutMs = READ_TIMEOUT_MS) {
					readCount++;
					const checked = await check(timeoutMs);
					const latest = new Map(changes.map(change => [change.key, change.entry]));
					return checked.map(() => ({entries: [...latest.values()].flatMap(entry => entry?.key.startsWith(prefix) ? [entry] : []), version: getVersion()}));
				},
				async watch(prefix, after, waitMs) {
					const deadline = createDeadline(runtime.now(), waitMs);
					const listNew = () => changes.filter(change => change.revision > after && change.key.startsWith(prefix));
					if (isOperatorWatchSilent() && prefix === OPERATOR_PREFIX) {
						await runtime.sleep(waitMs + WATCH_MARGIN_MS);
						return Err({code: 'storeUnreachable', message: 'silent'});
					}

					while (listNew().length === 0 && !isPast(deadline, runtime.now())) {
						await changed.waitForChange(deadline);
					}

					const checked = await check(WATCH_MARGIN_MS);
					return checked.map(() => ({changes: listNew(), version: getVersion()}));
				},
			};
		},
	};
};

/** Starts a fleet; vms are numbered by age, and neighbours in age are of different data centres. */
export const createModelFleet = (runtime: Runtime, dataCentreCount: number, vmsPerDataCentre: number, signal: AbortSignal): ModelFleet => {
	const store = createModelStore(runtime);
	const startedAt = runtime.now();
	const vms: ModelVm[] = [];
	const openConnections = new Set<string>();
	const excluded = new Set<string>();
	const states = new Map<VmId, Readonly<{state: VmState; since: Instant}>>();
	const silentWatches = new Set<VmId>();
	const getState = (vm: VmId): VmState => states.get(vm)?.state ?? 'working';
	const find = (name: string) => vms.find(({vm}) => vm === name);
	const isConnected = (from: ModelVm, to: ModelVm) => [from, to].every(({vm}) => getState(vm) === 'working' || getState(vm) === 'turnedAway');

	/** Excludes a vm from the calls of another until a probe succeeds. */
	const exclude = async (link: string, from: ModelVm, to: ModelVm) => {
		openConnections.delete(link);
		excluded.add(link);
		while (!isConnected(from, to)) {
			await runtime.sleep(PROBE_INTERVAL_MS);
		}

		excluded.delete(link);
	};

	const call = async (from: ModelVm, to: ModelVm, request: FeedRequest): Promise<Result<FeedResponse, Failure<'lost'>>> => {
		const link = `${from.vm}>${to.vm}`;
		const fail = async (afterMs: number): Promise<Result<FeedResponse, Failure<'lost'>>> => {
			await runtime.sleep(afterMs);
			void exclude(link, from, to);
			return Err({code: 'lost', message: to.getState()});
		};

		if (!isConnected(from, to)) {
			return fail(openConnections.has(link) ? SILENCE_MS : (to.getState() === 'dark' ? DIAL_TIMEOUT_MS : CALL_TIMEOUT_MS));
		}

		openConnections.add(link);
		await runtime.sleep(DELAY_MS);
		const response = await to.feed.serve(request);
		await runtime.sleep(DELAY_MS);
		return isConnected(from, to) ? Ok(response) : fail(SILENCE_MS);
	};

	const startVm = (index: number) => {
		const vm = brandId<VmId>(`vm${index}`);
		const dataCentre = brandId<DataCentreId>(`dc${index % dataCentreCount}`);
		const listMembers = (): readonly Member[] => self.feed.list(MEMBER_PREFIX).flatMap(entry => parseMember(entry) ?? []);
		const isUsable = (to: string) => !excluded.has(`${vm}>${to}`);
		const feed = createFeed({
			runtime,
			readSuspensionClock: createSuspensionClock(runtime),
			run: `run${index}`,
			source: store.connect(() => getState(vm), () => silentWatches.has(vm)),
			prefixes: createFeedPrefixes({
				operatorPrefix: OPERATOR_PREFIX, targetPrefix: 'servers/', settings: {configurationApplyMs: APPLY_MS},
			}),
			followerWaitMs: computeFollowerWaitMs(APPLY_MS),
			isRelevantChange: () => true,
			relayPrefix: MEMBER_PREFIX,
			waitUntilListed: async () => undefined,
			listRelays: () => rankRelays(vm, dataCentre, listMembers()).map(member => member.vm).filter(name => isUsable(name)),
			listVms: () => listMembers().map(member => member.vm).filter(name => name !== vm && isUsable(name)),
			async callRelay(relay, request) {
				const to = find(relay);
				return to ? call(self, to, request) : Err({code: 'gone', message: relay});
			},
			onChange: () => undefined,
			onSourceChange: () => undefined,
			onRelayRejected: () => undefined,
			onEraChange: () => undefined,
			onStoreStatus: () => undefined,
		});
		const self: ModelVm = {
			vm, feed, getState: () => getState(vm), getDisturbedAt: () => states.get(vm)?.since ?? startedAt,
		};
		vms.push(self);
		store.put(`${MEMBER_PREFIX}${vm}`, formatMember({
			vm, run: `run${index}`, dataCentre, host: '', port: 0, capacity: 1,
		}));
		void feed.run(signal);
	};

	store.put(CONFIGURATION_KEY, '1');
	for (let index = 0; index < dataCentreCount * vmsPerDataCentre; index++) {
		startVm(index);
	}

	return {
		vms,
		getReadCount: store.getReadCount,
		writeConfiguration(version) {
			store.put(CONFIGURATION_KEY, String(version));
		},
		getVersion: ({feed}) => Number(feed.get(CONFIGURATION_KEY)?.value ?? 0),
		setState({vm}, state) {
			states.set(vm, {state, since: runtime.now()});
		},
		silenceOperatorWatch({vm}) {
			silentWatches.add(vm);
		},
	};
};
