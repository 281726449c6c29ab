/** The steward's side of grants: what is outstanding, and how it ends. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Result, type Failure, type VmId, type World,
} from '@guavapitch/core';
import type {GrantReply} from './grant-registry.js';

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
export const ALL_PERMISSIONS: Permissions = {writes: true, acknowledgements: true, reads: true};

/** No permission. */
export const NO_PERMISSIONS: Permissions = {writes: false, acknowledgements: false, reads: false};

/** Reading only, as between two primaries. */
export const READ_PERMISSION: Permissions = {...NO_PERMISSIONS, reads: true};

/** Sending writes only: what was sent before may still be acknowledged when it ends. */
export const WRITE_PERMISSION: Permissions = {...NO_PERMISSIONS, writes: true};

/** All that only a primary is needed for. */
export const PRIMARY_PERMISSIONS: Permissions = {writes: true, acknowledgements: true, reads: false};

/** Until when each permission is valid. */
export type PermissionDeadlines = Readonly<Record<keyof Permissions, Deadline>>;

/** Nothing valid. */
export const EXPIRED_DEADLINES: PermissionDeadlines = {writes: PAST, acknowledgements: PAST, reads: PAST};

/** Sets the deadline of the permissions that are named. */
export const changeDeadlines = (deadlines: PermissionDeadlines, permissions: Permissions, deadline: Deadline): PermissionDeadlines => ({
	writes: permissions.writes ? deadline : deadlines.writes,
	acknowledgements: permissions.acknowledgements ? deadline : deadlines.acknowledgements,
	reads: permissions.reads ? deadline : deadlines.reads,
});

const KINDS = ['writes', 'acknowledgements', 'reads'] as const;

/** Permissions that a steward gives now. */
export type GrantParameters = Omit<GrantReply, 'validMs'> & Readonly<{
	/** Deadline of the steward's own authority. */
	authorityDeadline: Deadline;
}>;

/** Grants given by one steward for one database. */
export type GrantIssuer = Readonly<{
	/** Gives a grant; `undefined` if the authority has passed. */
	grant: (holder: Holder, terms: GrantParameters) => GrantReply | undefined;
	/** Ends permissions of all holders: asks each, and waits out those that do not answer. A holder answers once nothing runs under them. */
	revokeAll: (permissions: Permissions, revoke: (holder: Holder) => Promise<Result<unknown, Failure>>, signal: AbortSignal) => Promise<void>;
	/** Waits until every outstanding grant is of a revision or newer. */
	waitForRevision: (revision: number, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** Longest validity of a grant, in milliseconds. */
export const MAX_GRANT_VALIDITY_MS = 1000;

/** Allowance for clocks that run at different rates. */
const DRIFT_MS = 50;

type Outstanding = {readonly holder: Holder; deadlines: PermissionDeadlines; revision: number};

const formatHolder = (holder: Holder): string => `${holder.vm}/${holder.incarnation}`;

/** Creates the table of a steward that has granted nothing. */
export const createGrantIssuer = (world: World): GrantIssuer => {
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
			const {authorityDeadline: authority, ...given} = terms;
			const validMs = Math.min(MAX_GRANT_VALIDITY_MS, authority - now - DRIFT_MS);
			if (validMs <= 0) {
				return undefined;
			}

			const key = formatHolder(holder);
			const deadline = createDeadline(now, validMs + DRIFT_MS);
			const known = outstanding.get(key);
			outstanding.set(key, {
				holder,
				deadlines: changeDeadlines(known?.deadlines ?? EXPIRED_DEADLINES, terms.permissions, deadline),
				revision: terms.view.revision,
			});
			return {...given, validMs};
		},
		async revokeAll(permissions, revoke, signal) {
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
			const isRenewed = () => [...outstanding.values()].every(grant => grant.revision >= revision || isOver(grant, ALL_PERMISSIONS));
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
