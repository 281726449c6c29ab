/** The steward's side of grants: what is outstanding, and how it ends. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Result, type Failure, type VmId, type World,
} from '@guavapitch/core';
import type {GrantReply} from './grants.js';

/** One run of the process of a vm that holds grants. */
export type Holder = Readonly<{vm: VmId; incarnation: string}>;

/** What a holder may do, or what of it ends. */
export type Permissions = Readonly<{
	/** Send writes to the primary. */
	writes: boolean;
	/** Release the answers of writes. */
	acknowledgements: boolean;
	/** Read from the synced set what must not be stale. */
	reads: boolean;
}>;

/** Every permission. */
export const ALL: Permissions = {writes: true, acknowledgements: true, reads: true};

/** No permission. */
export const NONE: Permissions = {writes: false, acknowledgements: false, reads: false};

/** Reading only, as between two primaries. */
export const READS: Permissions = {...NONE, reads: true};

/** Sending writes only: what was sent before may still be acknowledged when it ends. */
export const WRITES: Permissions = {...NONE, writes: true};

/** All that only a primary is needed for. */
export const PRIMARY_ONLY: Permissions = {writes: true, acknowledgements: true, reads: false};

/** Until when each permission is valid. */
export type Deadlines = Readonly<Record<keyof Permissions, Deadline>>;

/** Nothing valid. */
export const OVER: Deadlines = {writes: PAST, acknowledgements: PAST, reads: PAST};

/** Sets the deadline of the permissions that are named. */
export const changeDeadlines = (deadlines: Deadlines, permissions: Permissions, deadline: Deadline): Deadlines => ({
	writes: permissions.writes ? deadline : deadlines.writes,
	acknowledgements: permissions.acknowledgements ? deadline : deadlines.acknowledgements,
	reads: permissions.reads ? deadline : deadlines.reads,
});

const KINDS = ['writes', 'acknowledgements', 'reads'] as const;

/** Permissions that a steward gives now. */
export type GrantTerms = Omit<GrantReply, 'validMs'> & Readonly<{
	/** Deadline of the steward's own authority. */
	authority: Deadline;
}>;

/** Grants given by one steward for one database. */
export type Granter = Readonly<{
	/** Gives a grant; `undefined` if the authority has passed. */
	grant: (holder: Holder, terms: GrantTerms) => GrantReply | undefined;
	/** Ends permissions of all holders: asks each, and waits out those that do not answer. A holder answers once nothing runs under them. */
	endAll: (permissions: Permissions, revoke: (holder: Holder) => Promise<Result<unknown, Failure>>, signal: AbortSignal) => Promise<void>;
	/** Waits until every outstanding grant is of a revision or newer. */
	waitForRevision: (revision: number, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** Longest validity of a grant, in milliseconds. */
export const GRANT_MS = 1000;

/** Allowance for clocks that run at different rates. */
const DRIFT_MS = 50;

type Outstanding = {readonly holder: Holder; deadlines: Deadlines; revision: number};

const formatHolder = (holder: Holder): string => `${holder.vm}/${holder.incarnation}`;

/** Creates the table of a steward that has granted nothing. */
export const createGranter = (world: World): Granter => {
	const outstanding = new Map<string, Outstanding>();
	const changed = createNotifier(world);

	const isOver = (grant: Outstanding, permissions: Permissions): boolean => {
		const now = world.now();
		return KINDS.every(kind => !permissions[kind] || isPast(grant.deadlines[kind], now));
	};

	const end = (grant: Outstanding, permissions: Permissions) => {
		grant.deadlines = changeDeadlines(grant.deadlines, permissions, PAST);
		changed.notify();
	};

	const getLastDeadline = (permissions: Permissions): Deadline => {
		const deadlines = [...outstanding.values()].flatMap(grant => KINDS.map(kind => permissions[kind] ? grant.deadlines[kind] : PAST));
		return Math.max(PAST, ...deadlines) as Deadline;
	};

	return {
		grant(holder, terms) {
			const now = world.now();
			const {authority, ...given} = terms;
			const validMs = Math.min(GRANT_MS, authority - now - DRIFT_MS);
			if (validMs <= 0) {
				return undefined;
			}

			const key = formatHolder(holder);
			const deadline = createDeadline(now, validMs + DRIFT_MS);
			const known = outstanding.get(key);
			outstanding.set(key, {
				holder,
				deadlines: changeDeadlines(known?.deadlines ?? OVER, terms.permissions, deadline),
				revision: terms.view.revision,
			});
			return {...given, validMs};
		},
		async endAll(permissions, revoke, signal) {
			const living = [...outstanding.values()].filter(grant => !isOver(grant, permissions));
			for (const grant of living) {
				void revoke(grant.holder).then(answer => {
					if (answer.ok) {
						end(grant, permissions);
					}
				});
			}

			await changed.waitUntil(() => living.every(grant => isOver(grant, permissions)), getLastDeadline(permissions), signal);
		},
		async waitForRevision(revision, deadline, signal) {
			const isRenewed = () => [...outstanding.values()].every(grant => grant.revision >= revision || isOver(grant, ALL));
			while (!isRenewed()) {
				if (isPast(deadline, world.now()) || signal.aborted) {
					return false;
				}

				await world.sleep(DRIFT_MS, signal).catch(() => undefined);
			}

			return true;
		},
	};
};
