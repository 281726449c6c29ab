/** This process's view of the cluster (members, configuration and owners of targets), and calls to vms by name. */

import {
	Err, rankCandidates, type DataCentreId, type Failure, type TargetId, type Result, type VmId, type Runtime,
} from '@guavapitch/core';
import {
	createStoreCache, createActiveConfiguration, type StoreCache, type ActiveConfiguration,
} from '@guavapitch/configuration';
import type {Database, Target, Inventory} from '@guavapitch/inventory';
import {
	createMembers, type Member, type Members, type VmEntry,
} from '@guavapitch/membership';
import type {PeerConnections} from '@guavapitch/peer-protocol';
import type {Candidate} from '@guavapitch/roles';
import {EVENTS, type Emit} from '@guavapitch/telemetry';
import type {Settings} from './settings.js';

/** Key prefix of the platform's list of vms. */
export const VM_PREFIX = '/platform/vms/';

/** Number of relays in each data centre. */
export const RELAYS_PER_DATA_CENTRE = 2;

/** Number of owners of a target: the preferred one, and one that takes over when it fails. */
export const OWNERS_PER_TARGET = 2;

/** A target of the active inventory, with its database. */
export type ConfiguredTarget = Readonly<{databaseName: string; database: Database; target: Target}>;

/** One process's view of the cluster. */
export type ClusterView = Readonly<{
	members: Members;
	storeCache: StoreCache;
	activeConfiguration: ActiveConfiguration;
	/** Returns the vms that own a target, best first: live vms of its data centre, or of any data centre if none is live there. */
	getOwners: (target: TargetId) => readonly VmId[];
	/** Ranks the live vms for a key, such as that of a role slot, best first; if a data centre is given, only its vms. */
	rankLiveVms: (key: string, dataCentre?: DataCentreId) => readonly Candidate[];
	/** Finds a target in the active inventory; `undefined` if it is not configured. */
	findTarget: (target: TargetId) => ConfiguredTarget | undefined;
	/** Returns every target of the active inventory. */
	listTargets: () => readonly ConfiguredTarget[];
	/** Tells whether this vm is a relay of its data centre. */
	isRelay: () => boolean;
	/** Returns the relays to read from, without this vm: those of this data centre, then those of the others. */
	getRelays: () => readonly VmId[];
}>;

/** Dependencies of the cluster view. */
export type ClusterViewContext = Readonly<{
	runtime: Runtime;
	settings: Settings;
	incarnation: string;
	emit: Emit;
	/** Called when a vm is declared dead. */
	onMemberDead: (member: Member) => void;
	/** Called when a new inventory has become active. */
	onInventoryApplied: (inventory: Inventory) => void;
}>;

const listConfiguredTargets = (inventory: Inventory | undefined): readonly ConfiguredTarget[] => Object.entries(inventory?.databases ?? {})
	.flatMap(([databaseName, database]) => database.targets.map(target => ({databaseName, database, target})));

/** Creates a cluster view that knows only this vm until entries arrive from the store. */
export const createClusterView = (context: ClusterViewContext): ClusterView => {
	const {runtime, settings, emit, incarnation} = context;
	const self = {
		vm: settings.vm, dataCentre: settings.dataCentre, host: settings.peerListen.host, port: settings.peerListen.port, state: 'live' as const, incarnation,
	};
	const members = createMembers(self, runtime, (member, previousStatus) => {
		const fields = {member: member.vm, status: member.status, memberIncarnation: member.incarnation};
		if (member.status === 'suspect') {
			emit(EVENTS.memberSuspected, fields);
		} else if (member.status === 'dead') {
			emit(EVENTS.memberDead, fields);
			context.onMemberDead(member);
		} else if (previousStatus !== 'suspect') {
			emit(EVENTS.memberJoined, fields);
		}
	});
	const storeCache = createStoreCache(runtime);
	let configuredTargets: ReadonlyMap<string, ConfiguredTarget> = new Map();
	const activeConfiguration = createActiveConfiguration(storeCache, runtime, {
		onApplied(revision, inventory) {
			configuredTargets = new Map(listConfiguredTargets(inventory).map(configured => [configured.target.name, configured]));
			emit(EVENTS.configurationApplied, {revision});
			context.onInventoryApplied(inventory);
		},
		onRejected(revision, failure) {
			emit(EVENTS.configurationRejected, {revision, reason: failure.code});
		},
	});

	storeCache.subscribe(keys => {
		const entries = keys.filter(key => key.startsWith(VM_PREFIX)).map(key => storeCache.get(key)).filter(entry => entry !== undefined);
		members.applyVmList(entries.map(entry => JSON.parse(entry.value) as VmEntry));
	});

	const getVmIds = (list: readonly Member[]): readonly VmId[] => list.map(member => member.vm);

	const rankings = new Map<string, readonly VmId[]>();
	let rankedMembersVersion = -1;

	/** Ranks the live vms for a key; the result is cached until a member changes. */
	const rankVms = (key: string, dataCentre?: DataCentreId): readonly VmId[] => {
		if (rankedMembersVersion !== members.getVersion()) {
			rankings.clear();
			rankedMembersVersion = members.getVersion();
		}

		const cacheKey = `${dataCentre ?? ''}/${key}`;
		const ranking = rankings.get(cacheKey) ?? rankCandidates(key, getVmIds(members.getLive(dataCentre)));
		rankings.set(cacheKey, ranking);
		return ranking;
	};

	const getOwners = (target: TargetId): readonly VmId[] => {
		const dataCentre = configuredTargets.get(target)?.target.dataCentre as DataCentreId | undefined;
		const localOwners = rankVms(`home/${target}`, dataCentre);
		return (localOwners.length > 0 ? localOwners : rankVms(`home/${target}`)).slice(0, OWNERS_PER_TARGET);
	};

	const listDataCentres = (): readonly DataCentreId[] => [...new Set(members.getAll().map(member => member.dataCentre))];

	return {
		members,
		storeCache,
		activeConfiguration,
		getOwners,
		rankLiveVms: (key, dataCentre) => rankVms(key, dataCentre).map(vm => ({vm, incarnation: members.get(vm)?.incarnation ?? ''})),
		findTarget: target => configuredTargets.get(target),
		listTargets: () => [...configuredTargets.values()],
		isRelay: () => rankVms(`relay/${settings.dataCentre}`, settings.dataCentre).slice(0, RELAYS_PER_DATA_CENTRE).includes(settings.vm),
		getRelays() {
			const localRelays = rankVms(`relay/${settings.dataCentre}`, settings.dataCentre).slice(0, RELAYS_PER_DATA_CENTRE);
			const remoteRelays = listDataCentres()
				.filter(dataCentre => dataCentre !== settings.dataCentre)
				.flatMap(dataCentre => rankVms(`relay/${dataCentre}`, dataCentre).slice(0, RELAYS_PER_DATA_CENTRE));
			return [...localRelays, ...remoteRelays].filter(vm => vm !== settings.vm);
		},
	};
};

/** Calls a method of a vm by the name of the vm; fails with `peerUnreachable` if the vm is not in the platform's list. The type of the response is not checked. */
export type CallVm = <ResponseBody>(vm: VmId, method: string, body: unknown, timeoutMs: number) => Promise<Result<ResponseBody, Failure>>;

/** Creates the function that looks up the address of a vm and calls it over the connections to peers. */
export const createCallVm = (
	members: Members,
	peers: PeerConnections,
): CallVm => async <ResponseBody>(vm: VmId, method: string, body: unknown, timeoutMs: number): Promise<Result<ResponseBody, Failure>> => {
	const member = members.get(vm);
	if (!member) {
		return Err({code: 'peerUnreachable', message: `The vm ${vm} is not in the platform's list of vms`});
	}

	const response = await peers.call({host: member.host, port: member.port}, method, body, timeoutMs);
	return response.map(responseBody => responseBody as ResponseBody);
};
