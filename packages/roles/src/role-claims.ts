/** Exclusive roles, each held by one vm at a time through an entry on the lease of the vm, with fencing tokens from the store. */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant, type Runtime,
} from '@guavapitch/core';
import {
	LEASE_TTL_MS, type CachedEntry, type VmRegistration, type RoleStore,
} from './vm-registration.js';

/** Record of the holder of a role; `epoch` is the fencing token drawn with the claim. */
export type HolderRecord = Readonly<{vm: string; run: string; epoch: number}>;

/** Dependencies of role claims. */
export type RoleClaimsContext = Readonly<{
	runtime: Runtime;
	store: RoleStore;
	registration: VmRegistration;
	vm: string;
	/** Identifier of this run of the process. */
	run: string;
	/** Prefixes of the keys of holder records and of fencing tokens. */
	holderPrefix: string;
	fencingTokenPrefix: string;
	/** Returns an entry of the store according to the change feed. */
	getEntry: (key: string) => CachedEntry | undefined;
	/** Returns the latest era of the store that is known; a new one begins each time that the store is restored from an older copy. */
	getEra: () => number;
	/** Lists all roles. */
	listRoles: () => readonly string[];
	/** Returns the rank of this vm for a role, 0 for the best; `undefined` if it may not hold the role. */
	getRank: (role: string) => number | undefined;
	/** Tells whether the run of the holder is confirmed to have ended, because the same vm has started another run. */
	hasRunEnded: (holder: HolderRecord) => boolean;
	/** Called after this process has written an entry. */
	onWritten: (key: string, value: string, version: Readonly<{era: number; revision: number}>) => void;
	/** Called when this process has claimed a role. */
	onClaimed: (role: string, epoch: number) => void;
}>;

/** An entry of the store that records what a fencing token is used for; it outlives the lease of the holder. */
export type TokenRecord = Readonly<{key: string; value: string}>;

/** Roles that one process holds and claims. */
export type RoleClaims = Readonly<{
	/** Claims roles without a holder until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** Tells whether this process is confirmed to hold a role at this moment. */
	isHeld: (role: string) => boolean;
	/** Returns the holder of a role according to the change feed; `undefined` if there is none. */
	getHolder: (role: string) => HolderRecord | undefined;
	/** Must be called when a new era of the store begins, while the entries of the era before are still known. */
	handleRestore: () => void;
	/** Draws a fencing token that is higher than all earlier ones and writes the record of its use in the same transaction; returns `undefined` if the role is lost or the store does not answer. */
	drawFencingToken: (role: string, createRecord: (token: number) => TokenRecord) => Promise<number | undefined>;
}>;

/** Interval at which roles are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 150;
/** Head start that each rank has over the next, in milliseconds; longer than other vms take to learn of a claim. */
const RANK_DELAY_MS = 400;
/** Number of fencing tokens of each era. A restored store may have forgotten the last tokens, so those of a new era begin above all that the era before could draw. */
const TOKENS_PER_ERA = 1_000_000_000;
/** Tells whether a fencing token was drawn in an era, rather than in one before it. */
export const isTokenOfEra = (token: number, era: number): boolean => token > era * TOKENS_PER_ERA;

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
	const {runtime, store, registration} = context;
	const claimableAt = new Map<string, Deadline>();
	/** Holders before the store was restored, by role; they may still act until `holdersUntil`, as far as they have not learned of it. */
	let holdersBefore: ReadonlyMap<string, string | undefined> = new Map();
	let holdersUntil: Deadline = PAST;

	const getHolder = (role: string): HolderRecord | undefined => {
		const entry = context.getEntry(`${context.holderPrefix}${role}`);
		return entry && parseHolderRecord(entry.value);
	};

	/** Returns an entry if it is known as it is in the present era; its revision is of no use otherwise. */
	const getPresentEntry = (key: string): CachedEntry | undefined => {
		const entry = context.getEntry(key);
		return entry?.era === context.getEra() ? entry : undefined;
	};

	/** Tells whether another process may still act as the holder of a role because it has not learned that the store was restored. */
	const mayOtherAct = (role: string): boolean => !isPast(holdersUntil, runtime.now()) && holdersBefore.get(role) !== context.run;

	const isHeld = (role: string): boolean => getHolder(role)?.run === context.run
		&& getPresentEntry(`${context.holderPrefix}${role}`) !== undefined
		&& !mayOtherAct(role)
		&& registration.getLease() !== undefined;

	/** Returns the next fencing token of a role and the revision of the entry from which it is drawn, 0 if there is none. */
	const getNextToken = (role: string): Readonly<{token: number; revision: number}> => {
		const key = `${context.fencingTokenPrefix}${role}`;
		const lastToken = Number(context.getEntry(key)?.value ?? 0);
		return {token: Math.max(lastToken, context.getEra() * TOKENS_PER_ERA) + 1, revision: getPresentEntry(key)?.revision ?? 0};
	};

	const claimRole = async (role: string): Promise<void> => {
		const leaseId = registration.getLease();
		if (leaseId === undefined) {
			return;
		}

		const holderKey = `${context.holderPrefix}${role}`;
		const fencingTokenKey = `${context.fencingTokenPrefix}${role}`;
		const era = context.getEra();
		const {token: epoch, revision: tokenRevision} = getNextToken(role);
		const holderRevision = getPresentEntry(holderKey)?.revision ?? 0;
		const holder: HolderRecord = {vm: context.vm, run: context.run, epoch};
		const value = JSON.stringify(holder);
		const written = await store.transact({
			conditions: [{key: holderKey, revision: holderRevision}, {key: fencingTokenKey, revision: tokenRevision}],
			puts: [{key: holderKey, value, leaseId}, {key: fencingTokenKey, value: String(epoch), leaseId: undefined}],
			removes: [],
		});
		if (written.ok && written.val.revision !== undefined && written.val.era === era) {
			const version = {era, revision: written.val.revision};
			context.onWritten(fencingTokenKey, String(epoch), version);
			context.onWritten(holderKey, value, version);
			context.onClaimed(role, epoch);
		}
	};

	const checkRole = async (role: string): Promise<void> => {
		const rank = context.getRank(role);
		const holder = getHolder(role);
		const isLost = holder?.run === context.run && getPresentEntry(`${context.holderPrefix}${role}`) === undefined;
		const hasHolder = holder !== undefined && !context.hasRunEnded(holder) && !isLost;
		if (hasHolder || rank === undefined || rank >= MAX_RANKS) {
			claimableAt.delete(role);
			return;
		}

		const earliestClaimAt = mayOtherAct(role) ? holdersUntil : createDeadline(runtime.now(), 0);
		const claimAt = claimableAt.get(role) ?? createDeadline(earliestClaimAt as number as Instant, rank * RANK_DELAY_MS);
		claimableAt.set(role, claimAt);
		if (registration.getLease() !== undefined && isPast(claimAt, runtime.now())) {
			claimableAt.set(role, createDeadline(runtime.now(), RANK_DELAY_MS));
			await claimRole(role);
		}
	};

	return {
		async run(signal) {
			while (!signal.aborted) {
				for (const role of context.listRoles()) {
					await checkRole(role);
				}

				await runtime.sleep(CHECK_INTERVAL_MS, signal).catch(() => undefined);
			}
		},
		isHeld,
		getHolder,
		handleRestore() {
			holdersBefore = new Map(context.listRoles().map(role => [role, getHolder(role)?.run]));
			holdersUntil = createDeadline(runtime.now(), LEASE_TTL_MS);
			claimableAt.clear();
		},
		async drawFencingToken(role, createRecord) {
			const holderKey = `${context.holderPrefix}${role}`;
			const holder = context.getEntry(holderKey);
			if (!holder || !isHeld(role)) {
				return undefined;
			}

			const fencingTokenKey = `${context.fencingTokenPrefix}${role}`;
			const {era} = holder;
			const {token, revision: tokenRevision} = getNextToken(role);
			const value = String(token);
			const record = createRecord(token);
			const written = await store.transact({
				conditions: [{key: holderKey, revision: holder.revision}, {key: fencingTokenKey, revision: tokenRevision}],
				puts: [{key: fencingTokenKey, value, leaseId: undefined}, {...record, leaseId: undefined}],
				removes: [],
			});
			if (written.err || written.val.revision === undefined || written.val.era !== era) {
				return undefined;
			}

			const version = {era, revision: written.val.revision};
			context.onWritten(fencingTokenKey, value, version);
			context.onWritten(record.key, record.value, version);
			return token;
		},
	};
};
