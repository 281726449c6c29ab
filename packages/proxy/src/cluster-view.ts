/** What this process knows of the fleet, and how it reaches its peers. */

import {
	Err, rankCandidates, type DataCentreId, type Failure, type TargetId, type Result, type VmId, type World,
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

/** Prefix of the platform's list of vms. */
export const VM_PREFIX = '/platform/vms/';

/** Relays of each data centre. */
export const RELAYS_PER_DATA_CENTRE = 2;

/** Homes of a target: the first, and one that takes over when the first is gone. */
export const OWNERS_PER_TARGET = 2;

/** A target and the database it belongs to. */
export type ConfiguredTarget = Readonly<{databaseName: string; database: Database; target: Target}>;

/** View of the fleet. */
export type ClusterView = Readonly<{
	members: Members;
	storeCache: StoreCache;
	inForce: ActiveConfiguration;
	/** Gets the homes of a target, best first. */
	getOwners: (target: TargetId) => readonly VmId[];
	/** Ranks the live vms for a role, best first. */
	rankLiveVms: (key: string, dataCentre?: DataCentreId) => readonly Candidate[];
	/** Finds a target in the inventory. */
	findTarget: (target: TargetId) => ConfiguredTarget | undefined;
	/** Gets every target of the inventory. */
	listTargets: () => readonly ConfiguredTarget[];
	isRelay: () => boolean;
	/** Gets the relays to ask: of this data centre, then of the others. */
	getRelays: () => readonly VmId[];
}>;

/** What the fleet's view needs. */
export type ClusterViewContext = Readonly<{
	world: World;
	settings: Settings;
	incarnation: string;
	emit: Emit;
	/** Hears that a vm was declared dead. */
	onMemberDead: (member: Member) => void;
	/** Hears that a new inventory is in force. */
	onInventoryApplied: (inventory: Inventory) => void;
}>;

const listTargets = (inventory: Inventory | undefined): readonly ConfiguredTarget[] => Object.entries(inventory?.databases ?? {})
	.flatMap(([databaseName, database]) => database.targets.map(target => ({databaseName, database, target})));

/** Creates the view. */
export const createClusterView = (context: ClusterViewContext): ClusterView => {
	const {world, settings, emit, incarnation} = context;
	const self = {
		vm: settings.vm, dataCentre: settings.dataCentre, host: settings.peerListen.host, port: settings.peerListen.port, state: 'live' as const, incarnation,
	};
	const members = createMembers(self, world, (member, before) => {
		const fields = {member: member.vm, status: member.status, memberIncarnation: member.incarnation};
		if (member.status === 'suspect') {
			emit(EVENTS.memberSuspected, fields);
		} else if (member.status === 'dead') {
			emit(EVENTS.memberDead, fields);
			context.onMemberDead(member);
		} else if (before !== 'suspect') {
			emit(EVENTS.memberJoined, fields);
		}
	});
	const facts = createStoreCache(world);
	let known: ReadonlyMap<string, ConfiguredTarget> = new Map();
	const inForce = createActiveConfiguration(facts, world, {
		onApplied(revision, inventory) {
			known = new Map(listTargets(inventory).map(one => [one.target.name, one]));
			emit(EVENTS.configurationApplied, {revision});
			context.onInventoryApplied(inventory);
		},
		onRejected(revision, failure) {
			emit(EVENTS.configurationRejected, {revision, reason: failure.code});
		},
	});

	facts.subscribe(keys => {
		const entries = keys.filter(key => key.startsWith(VM_PREFIX)).map(key => facts.get(key)).filter(entry => entry !== undefined);
		members.applyVmList(entries.map(entry => JSON.parse(entry.value) as VmEntry));
	});

	const getNames = (list: readonly Member[]): readonly VmId[] => list.map(member => member.vm);

	const ranked = new Map<string, readonly VmId[]>();
	let rankedVersion = -1;

	/** Ranks the live vms for a key; kept until a member changes. */
	const rankVms = (key: string, dataCentre?: DataCentreId): readonly VmId[] => {
		if (rankedVersion !== members.getVersion()) {
			ranked.clear();
			rankedVersion = members.getVersion();
		}

		const place = `${dataCentre ?? ''}/${key}`;
		const kept = ranked.get(place) ?? rankCandidates(key, getNames(members.getLive(dataCentre)));
		ranked.set(place, kept);
		return kept;
	};

	const getHomes = (target: TargetId): readonly VmId[] => {
		const place = known.get(target)?.target.dataCentre as DataCentreId | undefined;
		const near = rankVms(`home/${target}`, place);
		return (near.length > 0 ? near : rankVms(`home/${target}`)).slice(0, OWNERS_PER_TARGET);
	};

	const getPlaces = (): readonly DataCentreId[] => [...new Set(members.getAll().map(member => member.dataCentre))];

	return {
		members,
		storeCache: facts,
		inForce,
		getOwners: getHomes,
		rankLiveVms: (key, dataCentre) => rankVms(key, dataCentre).map(vm => ({vm, incarnation: members.get(vm)?.incarnation ?? ''})),
		findTarget: target => known.get(target),
		listTargets: () => [...known.values()],
		isRelay: () => rankVms(`relay/${settings.dataCentre}`, settings.dataCentre).slice(0, RELAYS_PER_DATA_CENTRE).includes(settings.vm),
		getRelays() {
			const own = rankVms(`relay/${settings.dataCentre}`, settings.dataCentre).slice(0, RELAYS_PER_DATA_CENTRE);
			const others = getPlaces()
				.filter(place => place !== settings.dataCentre)
				.flatMap(place => rankVms(`relay/${place}`, place).slice(0, RELAYS_PER_DATA_CENTRE));
			return [...own, ...others].filter(vm => vm !== settings.vm);
		},
	};
};

/** Calls a vm by its name. */
export type CallVm = <Reply>(vm: VmId, method: string, body: unknown, timeoutMs: number) => Promise<Result<Reply, Failure>>;

/** Creates calls by name over the connections to the peers. */
export const createCallVm = (members: Members, peers: PeerConnections): CallVm => async <Reply>(vm: VmId, method: string, body: unknown, timeoutMs: number): Promise<Result<Reply, Failure>> => {
	const member = members.get(vm);
	if (!member) {
		return Err({code: 'peerUnreachable', message: `The vm ${vm} is not in the platform's list`});
	}

	const reply = await peers.call({host: member.host, port: member.port}, method, body, timeoutMs);
	return reply.map(body_ => body_ as Reply);
};
