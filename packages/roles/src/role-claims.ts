/** Exclusive duties of one vm at a time, held by an entry on the vm's lease, with fencing numbers from the store. */

import {
	createDeadline, isPast, type Deadline, type World,
} from '@guavapitch/core';
import type {VmRegistration, RoleStore} from './vm-registration.js';

/** A store's entry as the feed knows it. */
export type CachedEntry = Readonly<{value: string; revision: number}>;

/** Record of who holds a duty. */
export type HolderRecord = Readonly<{vm: string; run: string; epoch: number}>;

/** What stewardships need. */
export type RoleClaimsContext = Readonly<{
	world: World;
	store: RoleStore;
	registration: VmRegistration;
	vm: string;
	/** Identifier of this run of the process. */
	run: string;
	/** Prefixes of the entries of holders and of fencing numbers. */
	holderPrefix: string;
	epochPrefix: string;
	getEntry: (key: string) => CachedEntry | undefined;
	/** Lists the duties that there are. */
	listRoles: () => readonly string[];
	/** Ranks this vm for a duty, 0 for the first; `undefined` if it is no candidate. */
	getRank: (duty: string) => number | undefined;
	/** Tells whether a run of a process is over for certain, as the same vm has begun another. */
	hasRunEnded: (holding: HolderRecord) => boolean;
	/** Takes note of an entry that this process has written. */
	onWritten: (key: string, value: string, revision: number) => void;
	onClaimed: (duty: string, epoch: number) => void;
}>;

/** Duties of one process. */
export type RoleClaims = Readonly<{
	/** Claims duties that nobody holds, until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** Tells whether this process holds a duty, surely and now. */
	isHeld: (duty: string) => boolean;
	/** Gets who holds a duty, by the feed. */
	getHolder: (duty: string) => HolderRecord | undefined;
	/** Draws a fencing number higher than all before; `undefined` if the duty is lost or the store does not answer. */
	drawFencingToken: (duty: string) => Promise<number | undefined>;
}>;

/** Pause between looks at the duties, in milliseconds. */
const LOOK_MS = 150;
/** Head start of each rank before the next, in milliseconds; longer than a claim takes to be known. */
const RANK_DELAY_MS = 400;
const RANKS = 4;

/** Parses the record of a holder; `undefined` if it is malformed. */
export const parseHolderRecord = (text: string): HolderRecord | undefined => {
	try {
		const value = JSON.parse(text) as Partial<HolderRecord>;
		return typeof value.vm === 'string' && typeof value.run === 'string' && typeof value.epoch === 'number'
			? {vm: value.vm, run: value.run, epoch: value.epoch}
			: undefined;
	} catch {
		return undefined;
	}
};

/** Creates the duties of a process; it holds none yet. */
export const createRoleClaims = (context: RoleClaimsContext): RoleClaims => {
	const {world, store, registration: presence} = context;
	const claimableAt = new Map<string, Deadline>();

	const getHolder = (duty: string): HolderRecord | undefined => {
		const entry = context.getEntry(`${context.holderPrefix}${duty}`);
		return entry && parseHolderRecord(entry.value);
	};

	const isHeld = (duty: string): boolean => getHolder(duty)?.run === context.run && presence.getLease() !== undefined;

	const getEpoch = (duty: string): Readonly<{epoch: number; revision: number}> => {
		const entry = context.getEntry(`${context.epochPrefix}${duty}`);
		return {epoch: Number(entry?.value ?? 0), revision: entry?.revision ?? 0};
	};

	const claim = async (duty: string): Promise<void> => {
		const leaseId = presence.getLease();
		if (leaseId === undefined) {
			return;
		}

		const holderKey = `${context.holderPrefix}${duty}`;
		const epochKey = `${context.epochPrefix}${duty}`;
		const before = getEpoch(duty);
		const holderRevision = context.getEntry(holderKey)?.revision ?? 0;
		const epoch = before.epoch + 1;
		const holding: HolderRecord = {vm: context.vm, run: context.run, epoch};
		const value = JSON.stringify(holding);
		const written = await store.transact({
			conditions: [{key: holderKey, revision: holderRevision}, {key: epochKey, revision: before.revision}],
			puts: [{key: holderKey, value, leaseId}, {key: epochKey, value: String(epoch), leaseId: undefined}],
			removes: [],
		});
		if (written.ok && written.val.revision !== undefined) {
			context.onWritten(epochKey, String(epoch), written.val.revision);
			context.onWritten(holderKey, value, written.val.revision);
			context.onClaimed(duty, epoch);
		}
	};

	const look = async (duty: string): Promise<void> => {
		const rank = context.getRank(duty);
		const holder = getHolder(duty);
		const isTaken = holder !== undefined && !context.hasRunEnded(holder);
		if (isTaken || rank === undefined || rank >= RANKS) {
			claimableAt.delete(duty);
			return;
		}

		const at = claimableAt.get(duty) ?? createDeadline(world.now(), rank * RANK_DELAY_MS);
		claimableAt.set(duty, at);
		if (presence.getLease() !== undefined && isPast(at, world.now())) {
			claimableAt.set(duty, createDeadline(world.now(), RANK_DELAY_MS));
			await claim(duty);
		}
	};

	return {
		async run(signal) {
			while (!signal.aborted) {
				for (const duty of context.listRoles()) {
					await look(duty);
				}

				await world.sleep(LOOK_MS, signal).catch(() => undefined);
			}
		},
		isHeld,
		getHolder,
		async drawFencingToken(duty) {
			const holderKey = `${context.holderPrefix}${duty}`;
			const holder = context.getEntry(holderKey);
			if (!holder || !isHeld(duty)) {
				return undefined;
			}

			const epochKey = `${context.epochPrefix}${duty}`;
			const before = getEpoch(duty);
			const value = String(before.epoch + 1);
			const written = await store.transact({
				conditions: [{key: holderKey, revision: holder.revision}, {key: epochKey, revision: before.revision}],
				puts: [{key: epochKey, value, leaseId: undefined}],
				removes: [],
			});
			if (written.err || written.val.revision === undefined) {
				return undefined;
			}

			context.onWritten(epochKey, value, written.val.revision);
			return before.epoch + 1;
		},
	};
};
