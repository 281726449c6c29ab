/** The live vms, and which of them is the home of what. */

import {
	computeHash, type DataCentreId, type VmId,
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
	/** Processor share, by which work is dealt out. */
	capacity: number;
	/** Revision of its entry's creation; the oldest relay for the others. */
	since: number;
}>;

/** Formats the entry of a vm. */
export const formatMember = (member: Omit<Member, 'since'>): string => JSON.stringify(member);

/** Parses the entry of a vm; `undefined` if it is malformed. */
export const parseMember = (entry: StoreEntry): Member | undefined => {
	try {
		const value = JSON.parse(entry.value) as Partial<Member>;
		const isWhole = typeof value.vm === 'string' && typeof value.run === 'string' && typeof value.dataCentre === 'string'
			&& typeof value.host === 'string' && typeof value.port === 'number' && typeof value.capacity === 'number';
		return isWhole ? {...value as Member, since: entry.createdRevision} : undefined;
	} catch {
		return undefined;
	}
};

const HASH_RANGE = 4_294_967_296;

/** Part of the largest capacity that a vm must have to be home before the others: all statements of a database meet there. */
const ABLE_PART = 0.5;

/**
 * Ranks vms for a key by weighted rendezvous hashing: those of a preferred data centre first, and of these the able ones.
 * Answers the load of a fleet of unequal vms, where a weak home is the bottleneck of its whole database.
 */
export const rankOwners = (key: string, members: readonly Member[], preferred: DataCentreId | undefined): readonly Member[] => {
	const near = members.filter(member => member.dataCentre === preferred);
	const able = ABLE_PART * Math.max(0, ...(near.length > 0 ? near : members).map(({capacity}) => capacity));
	return members
		.map(member => {
			const drawn = (computeHash(`${key}\u0000${member.vm}`) + 1) / (HASH_RANGE + 1);
			return {
				member, isNear: member.dataCentre === preferred, isAble: member.capacity >= able, score: -member.capacity / Math.log(drawn),
			};
		})
		.toSorted((a, b) => Number(b.isNear) - Number(a.isNear) || Number(b.isAble) - Number(a.isAble) || b.score - a.score || (a.member.vm < b.member.vm ? -1 : 1))
		.map(({member}) => member);
};

/** Ranks the vms that a vm may follow: the older ones of its data centre, oldest first. */
export const rankRelays = (self: VmId, dataCentre: DataCentreId, members: readonly Member[]): readonly Member[] => {
	const near = members.filter(member => member.dataCentre === dataCentre).toSorted((a, b) => a.since - b.since);
	const index = near.findIndex(member => member.vm === self);
	return index === -1 ? near : near.slice(0, index);
};
