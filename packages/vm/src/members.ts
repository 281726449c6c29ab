/** The live vms, and their ranking as database owners and as relays of the change feed. */

import {
	computeHash, type DatabaseId, type DataCentreId, type VmId,
} from '@guavapitch/core';
import type {StoreEntry} from '@guavapitch/feed';

/** A live vm. */
export type Member = Readonly<{
	vm: VmId;
	/** Identifier of this run of its process. */
	run: string;
	dataCentre: DataCentreId;
	host: string;
	port: number;
	/** Processor capacity, in cores of standard speed; work is distributed in proportion to it. */
	capacity: number;
	/** Store revision at which its entry was created; the oldest vms relay the change feed to the others. */
	createdRevision: number;
}>;

/** Formats the store entry of a vm. */
export const formatMember = (member: Omit<Member, 'createdRevision'>): string => JSON.stringify(member);

/** Parses the store entry of a vm; returns `undefined` if it is malformed. */
export const parseMember = (entry: StoreEntry): Member | undefined => {
	try {
		const value = JSON.parse(entry.value) as Partial<Member>;
		const isComplete = typeof value.vm === 'string' && typeof value.run === 'string' && typeof value.dataCentre === 'string'
			&& typeof value.host === 'string' && typeof value.port === 'number' && typeof value.capacity === 'number';
		return isComplete ? {...value as Member, createdRevision: entry.createdRevision} : undefined;
	} catch {
		return undefined;
	}
};

/** Number of different hash values. */
const HASH_RANGE = 4_294_967_296;

/** Fraction of the largest capacity below which a vm ranks behind the others as an owner: all statements of a database go through its owner. */
const MIN_CAPACITY_FRACTION = 0.5;

/** Lists the vms of the preferred data centre, or all if it has none. */
const listPreferred = (members: readonly Member[], preferredDataCentre: DataCentreId | undefined): readonly Member[] => {
	const preferredMembers = members.filter(member => member.dataCentre === preferredDataCentre);
	return preferredMembers.length > 0 ? preferredMembers : members;
};

const computeMinCapacity = (members: readonly Member[], preferredDataCentre: DataCentreId | undefined): number => {
	const capacities = listPreferred(members, preferredDataCentre).map(({capacity}) => capacity);
	return MIN_CAPACITY_FRACTION * Math.max(0, ...capacities);
};

/**
 * Ranks vms as owners of a key by weighted rendezvous hashing: those of the preferred data centre first, and among these the ones with enough capacity.
 * In a fleet of unequal vms, a weak owner would be the bottleneck of its whole database.
 */
export const rankOwners = (key: string, members: readonly Member[], preferredDataCentre: DataCentreId | undefined): readonly Member[] => {
	const minCapacity = computeMinCapacity(members, preferredDataCentre);
	return members
		.map(member => {
			const uniformHash = (computeHash(`${key}\u0000${member.vm}`) + 1) / (HASH_RANGE + 1);
			return {
				member, isPreferred: member.dataCentre === preferredDataCentre, hasCapacity: member.capacity >= minCapacity, score: -member.capacity / Math.log(uniformHash),
			};
		})
		.toSorted((a, b) => Number(b.isPreferred) - Number(a.isPreferred) || Number(b.hasCapacity) - Number(a.hasCapacity) || b.score - a.score || (a.member.vm < b.member.vm ? -1 : 1))
		.map(({member}) => member);
};

/** A database whose owner is to be ranked, and the data centre of its primary. */
export type OwnedDatabase = Readonly<{id: DatabaseId; preferredDataCentre: DataCentreId | undefined}>;

/**
 * Ranks vms as owners of all databases, as `rankOwners` does, but puts another vm with enough capacity first where the best one already
 * has its part of the data centre's databases: few vms of a data centre have enough capacity, and by hashing alone one of them often gets most databases.
 */
export const rankBalancedOwners = (databases: readonly OwnedDatabase[], members: readonly Member[]): ReadonlyMap<DatabaseId, readonly Member[]> => {
	const databaseCounts = new Map<DataCentreId | undefined, number>();
	for (const {preferredDataCentre} of databases) {
		databaseCounts.set(preferredDataCentre, (databaseCounts.get(preferredDataCentre) ?? 0) + 1);
	}

	const ownedCounts = new Map<string, number>();
	const ranks = new Map<DatabaseId, readonly Member[]>();
	// Every vm visits the databases in the same order and so assigns them alike.
	for (const {id, preferredDataCentre} of databases.toSorted((a, b) => computeHash(a.id) - computeHash(b.id) || (a.id < b.id ? -1 : 1))) {
		const ranked = rankOwners(id, members, preferredDataCentre);
		const minCapacity = computeMinCapacity(members, preferredDataCentre);
		const candidates = listPreferred(members, preferredDataCentre).filter(({capacity}) => capacity >= minCapacity);
		const totalCapacity = candidates.reduce((total, {capacity}) => total + capacity, 0);
		const databaseCount = databaseCounts.get(preferredDataCentre) ?? 0;
		const countKey = ({vm}: Member) => `${preferredDataCentre ?? ''}\u0000${vm}`;
		const owner = ranked.find(member => candidates.includes(member) && (ownedCounts.get(countKey(member)) ?? 0) < Math.ceil(databaseCount * member.capacity / totalCapacity));
		if (owner) {
			ownedCounts.set(countKey(owner), (ownedCounts.get(countKey(owner)) ?? 0) + 1);
		}

		ranks.set(id, owner ? [owner, ...ranked.filter(member => member !== owner)] : ranked);
	}

	return ranks;
};

/**
 * Ranks vms as failover coordinators, given their ranking as owners and the data centre of the primary: those of other data centres first.
 * When the primary's data centre is cut off, the coordinator then notices at once, and no lease has to expire before a replica is promoted.
 */
export const rankCoordinators = (rankedOwners: readonly Member[], primaryDataCentre: DataCentreId | undefined): readonly Member[] => [
	...rankedOwners.filter(({dataCentre}) => dataCentre !== primaryDataCentre),
	...rankedOwners.filter(({dataCentre}) => dataCentre === primaryDataCentre),
];

/** Number of vms of other data centres that the oldest vm of a data centre tries to follow before it reads the store itself. */
const MAX_REMOTE_RELAYS = 2;

/**
 * Ranks the vms that may relay the change feed to a vm: the older ones of its data centre, oldest first; for the oldest one, the oldest of the other data centres.
 * Only the oldest vm of the fleet has none, so that the load on the store does not depend on the number of vms. A vm that is not a member yet may follow any member.
 */
export const rankRelays = (self: VmId, dataCentre: DataCentreId, members: readonly Member[]): readonly Member[] => {
	const selfRevision = members.find(member => member.vm === self)?.createdRevision ?? Number.POSITIVE_INFINITY;
	const olderMembers = members.filter(member => member.vm !== self && member.createdRevision < selfRevision).toSorted((a, b) => a.createdRevision - b.createdRevision);
	const localMembers = olderMembers.filter(member => member.dataCentre === dataCentre);
	return localMembers.length > 0 ? localMembers : olderMembers.slice(0, MAX_REMOTE_RELAYS);
};
