/** Exclusive roles, each held by one vm at a time through an entry on the lease of the vm, with fencing tokens from the store. */

import {
	createDeadline, isPast, type Deadline, type World,
} from '@guavapitch/core';
import type {VmRegistration, RoleStore} from './vm-registration.js';

/** An entry of the store as the change feed last delivered it. */
export type CachedEntry = Readonly<{value: string; revision: number}>;

/** Record of the holder of a role. */
export type HolderRecord = Readonly<{vm: string; run: string; epoch: number}>;

/** Dependencies of role claims. */
export type RoleClaimsContext = Readonly<{
	world: World;
	store: RoleStore;
	registration: VmRegistration;
	vm: string;
	/** Identifier of this run of the process. */
	run: string;
	/** Prefixes of the keys of holder records and of fencing tokens. */
	holderPrefix: string;
	fencingTokenPrefix: string;
	getEntry: (key: string) => CachedEntry | undefined;
	/** Lists all roles. */
	listRoles: () => readonly string[];
	/** Returns the rank of this vm for a role, 0 for the best; `undefined` if it may not hold the role. */
	getRank: (role: string) => number | undefined;
	/** Tells whether the run of the holder is confirmed to have ended, because the same vm has started another run. */
	hasRunEnded: (holder: HolderRecord) => boolean;
	/** Called after this process has written an entry. */
	onWritten: (key: string, value: string, revision: number) => void;
	onClaimed: (role: string, epoch: number) => void;
}>;

/** Roles that one process holds and claims. */
export type RoleClaims = Readonly<{
	/** Claims roles without a holder until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** Tells whether this process is confirmed to hold a role at this moment. */
	isHeld: (role: string) => boolean;
	/** Returns the holder of a role according to the change feed. */
	getHolder: (role: string) => HolderRecord | undefined;
	/** Draws a fencing token that is higher than all earlier ones; returns `undefined` if the role is lost or the store does not answer. */
	drawFencingToken: (role: string) => Promise<number | undefined>;
}>;

/** Interval at which roles are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 150;
/** Head start that each rank has over the next, in milliseconds; longer than other vms take to learn of a claim. */
const RANK_DELAY_MS = 400;
/** Number of best-ranked vms that may claim a role. */
const MAX_RANKS = 4;

/** Parses the record of a holder; returns `undefined` if it is malformed. */
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

/** Creates the role claims of a process; it holds no role yet. */
export const createRoleClaims = (context: RoleClaimsContext): RoleClaims => {
	const {world, store, registration} = context;
	const claimableAt = new Map<string, Deadline>();

	const getHolder = (role: string): HolderRecord | undefined => {
		const entry = context.getEntry(`${context.holderPrefix}${role}`);
		return entry && parseHolderRecord(entry.value);
	};

	const isHeld = (role: string): boolean => getHolder(role)?.run === context.run && registration.getLease() !== undefined;

	const getEpoch = (role: string): Readonly<{epoch: number; revision: number}> => {
		const entry = context.getEntry(`${context.fencingTokenPrefix}${role}`);
		return {epoch: Number(entry?.value ?? 0), revision: entry?.revision ?? 0};
	};

	const claim = async (role: string): Promise<void> => {
		const leaseId = registration.getLease();
		if (leaseId === undefined) {
			return;
		}

		const holderKey = `${context.holderPrefix}${role}`;
		const epochKey = `${context.fencingTokenPrefix}${role}`;
		const previous = getEpoch(role);
		const holderRevision = context.getEntry(holderKey)?.revision ?? 0;
		const epoch = previous.epoch + 1;
		const holder: HolderRecord = {vm: context.vm, run: context.run, epoch};
		const value = JSON.stringify(holder);
		const written = await store.transact({
			conditions: [{key: holderKey, revision: holderRevision}, {key: epochKey, revision: previous.revision}],
			puts: [{key: holderKey, value, leaseId}, {key: epochKey, value: String(epoch), leaseId: undefined}],
			removes: [],
		});
		if (written.ok && written.val.revision !== undefined) {
			context.onWritten(epochKey, String(epoch), written.val.revision);
			context.onWritten(holderKey, value, written.val.revision);
			context.onClaimed(role, epoch);
		}
	};

	const checkRole = async (role: string): Promise<void> => {
		const rank = context.getRank(role);
		const holder = getHolder(role);
		const hasHolder = holder !== undefined && !context.hasRunEnded(holder);
		if (hasHolder || rank === undefined || rank >= MAX_RANKS) {
			claimableAt.delete(role);
			return;
		}

		const claimAt = claimableAt.get(role) ?? createDeadline(world.now(), rank * RANK_DELAY_MS);
		claimableAt.set(role, claimAt);
		if (registration.getLease() !== undefined && isPast(claimAt, world.now())) {
			claimableAt.set(role, createDeadline(world.now(), RANK_DELAY_MS));
			await claim(role);
		}
	};

	return {
		async run(signal) {
			while (!signal.aborted) {
				for (const role of context.listRoles()) {
					await checkRole(role);
				}

				await world.sleep(CHECK_INTERVAL_MS, signal).catch(() => undefined);
			}
		},
		isHeld,
		getHolder,
		async drawFencingToken(role) {
			const holderKey = `${context.holderPrefix}${role}`;
			const holder = context.getEntry(holderKey);
			if (!holder || !isHeld(role)) {
				return undefined;
			}

			const epochKey = `${context.fencingTokenPrefix}${role}`;
			const previous = getEpoch(role);
			const value = String(previous.epoch + 1);
			const written = await store.transact({
				conditions: [{key: holderKey, revision: holder.revision}, {key: epochKey, revision: previous.revision}],
				puts: [{key: epochKey, value, leaseId: undefined}],
				removes: [],
			});
			if (written.err || written.val.revision === undefined) {
				return undefined;
			}

			context.onWritten(epochKey, value, written.val.revision);
			return previous.epoch + 1;
		},
	};
};
