/** Records of the slots of exclusive roles in the store. */

import {
	computeHash, Err, getErrorMessage, Ok, type Failure, type Result, type VmId,
} from '@guavapitch/core';

/** A vm that may hold a slot, identified by one run of its process. */
export type Candidate = Readonly<{vm: VmId; incarnation: string}>;

/** Record of a slot. It is changed only by compare-and-swap. */
export type SlotRecord = Readonly<{
	/** Number of the claim by which the slot is held; grows by one with each claim. */
	epoch: number;
	holder: Candidate;
	/** Processes that the holder asks for a promise not to take over while it cannot reach the store. Its authority is extended only if all of them promise. */
	candidates: readonly Candidate[];
}>;

/** Name of a role as it stands in the store: `steward` is the failover coordinator, `keeper` the quota allocator. */
export type RoleName = 'steward' | 'keeper';

/** Failure to parse a slot record. */
export type SlotRecordFailure = Failure<'slotMalformed'>;

/** Prefix of the keys of slot records. */
export const ROLE_PREFIX = '/guavapitch/roles/';

/** Prefix of the keys of entries that are attached to the lease of the holder of a slot. */
export const HOLDER_LEASE_PREFIX = '/guavapitch-alive/';

/** Returns the name of a slot. */
export const formatSlotName = (role: RoleName, number: number): string => `${role}/${number}`;

/** Chooses the slot of a role that is responsible for a key, by a hash of the key; `slots` is the number of slots of the role. */
export const chooseSlot = (role: RoleName, slots: number, key: string): string => formatSlotName(role, computeHash(key) % slots);

/** Encodes a slot record for the store. */
export const formatSlotRecord = (record: SlotRecord): string => JSON.stringify(record);

/** Parses a slot record from the store; fails if the text is not JSON, but does not check the fields. */
export const parseSlotRecord = (text: string): Result<SlotRecord, SlotRecordFailure> => {
	try {
		return Ok(JSON.parse(text) as SlotRecord);
	} catch (error) {
		return Err({code: 'slotMalformed', message: getErrorMessage(error)});
	}
};
