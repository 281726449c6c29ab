/** Records of exclusive role slots in the store. */

import {
	computeHash, Err, getMessage, Ok, type Failure, type Result, type VmId,
} from '@guavapitch/core';

/** One run of the process of a vm. */
export type Candidate = Readonly<{vm: VmId; incarnation: string}>;

/** Record of a slot; changed only by compare-and-swap. */
export type SlotRecord = Readonly<{
	/** Grows by one with each holder. */
	epoch: number;
	holder: Candidate;
	/** Processes that must promise not to take over when the holder cannot reach the store. */
	candidates: readonly Candidate[];
}>;

/** Name of a role. */
export type RoleName = 'steward' | 'keeper';

/** Failure of parsing a record. */
export type SlotRecordFailure = Failure<'slotMalformed'>;

/** Prefix of the records of slots. */
export const ROLE_PREFIX = '/guavapitch/roles/';

/** Prefix of the entries that live as long as the lease of the holder. */
export const HOLDER_LEASE_PREFIX = '/guavapitch-alive/';

/** Formats the name of a slot. */
export const formatSlotName = (role: RoleName, number: number): string => `${role}/${number}`;

/** Chooses the slot that something belongs to. */
export const chooseSlot = (role: RoleName, slots: number, key: string): string => formatSlotName(role, computeHash(key) % slots);

/** Formats a record for the store. */
export const formatSlotRecord = (record: SlotRecord): string => JSON.stringify(record);

/** Parses a record from the store. */
export const parseSlotRecord = (text: string): Result<SlotRecord, SlotRecordFailure> => {
	try {
		return Ok(JSON.parse(text) as SlotRecord);
	} catch (error) {
		return Err({code: 'slotMalformed', message: getMessage(error)});
	}
};
