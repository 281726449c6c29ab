/** Issues grants on the side of the failover coordinator: tracks those that may still be valid, and revokes them. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Result, type Failure, type VmId, type Runtime,
} from '@guavapitch/core';
import type {GrantResponse} from './grant-registry.js';

/** Holder of a grant: one run of the process of a vm. */
export type GrantHolder = Readonly<{vm: VmId; incarnation: string}>;

/** A set of permissions: those a grant gives, or those a revocation ends. */
export type Permissions = Readonly<{
	/** Send writes to the primary. */
	writes: boolean;
	/** Send the responses of writes to callers. */
	acknowledgements: boolean;
	/** Send reads that must not be stale to the synced set. */
	reads: boolean;
}>;

/** All permissions. */
export const ALL_PERMISSIONS: Permissions = {writes: true, acknowledgements: true, reads: true};

/** No permission. */
export const NO_PERMISSIONS: Permissions = {writes: false, acknowledgements: false, reads: false};

/** Permission to read only, for the time between two primaries. */
export const READ_PERMISSION: Permissions = {...NO_PERMISSIONS, reads: true};

/** Permission to send writes only. When only this is revoked, writes sent earlier may still be acknowledged. */
export const WRITE_PERMISSION: Permissions = {...NO_PERMISSIONS, writes: true};

/** Permissions that need a primary. */
export const PRIMARY_PERMISSIONS: Permissions = {writes: true, acknowledgements: true, reads: false};

/** Deadline of each permission. */
export type PermissionDeadlines = Readonly<Record<keyof Permissions, Deadline>>;

/** Deadlines of a grant without any valid permission. */
export const EXPIRED_DEADLINES: PermissionDeadlines = {writes: PAST, acknowledgements: PAST, reads: PAST};

/** Returns the deadlines with the deadline of the given permissions replaced. */
export const changeDeadlines = (deadlines: PermissionDeadlines, permissions: Permissions, deadline: Deadline): PermissionDeadlines => ({
	writes: permissions.writes ? deadline : deadlines.writes,
	acknowledgements: permissions.acknowledgements ? deadline : deadlines.acknowledgements,
	reads: permissions.reads ? deadline : deadlines.reads,
});

const PERMISSION_NAMES = ['writes', 'acknowledgements', 'reads'] as const;

/** Contents of a grant to issue. */
export type GrantParameters = Omit<GrantResponse, 'validMs'> & Readonly<{
	/** Deadline of the coordinator's own authority, which no grant outlives. */
	authorityDeadline: Deadline;
}>;

/** Grants issued by one coordinator for one database. */
export type GrantIssuer = Readonly<{
	/** Issues a grant; returns `undefined` if the authority has expired. */
	grant: (holder: GrantHolder, parameters: GrantParameters) => GrantResponse | undefined;
	/** Revokes permissions of all holders: asks each of them, and waits for the grants of those that do not respond to expire. A holder responds once nothing runs under the permissions any more. */
	revokeAll: (permissions: Permissions, revoke: (holder: GrantHolder) => Promise<Result<unknown, Failure>>, signal: AbortSignal) => Promise<void>;
	/** Waits until every outstanding grant is based on the given record revision or a newer one; returns `false` if the deadline passes or the signal aborts first. */
	waitForRevision: (revision: number, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** Maximum validity of a grant, in milliseconds. */
export const MAX_GRANT_VALIDITY_MS = 1000;

/** Safety margin for clocks that run at different rates. */
const CLOCK_DRIFT_MS = 50;

type IssuedGrant = {readonly holder: GrantHolder; deadlines: PermissionDeadlines; revision: number};

const formatHolder = (holder: GrantHolder): string => `${holder.vm}/${holder.incarnation}`;

/** Creates an issuer without outstanding grants. */
export const createGrantIssuer = (runtime: Runtime): GrantIssuer => {
	const outstandingGrants = new Map<string, IssuedGrant>();
	const changed = createNotifier(runtime);

	const hasExpired = (grant: IssuedGrant, permissions: Permissions): boolean => {
		const now = runtime.now();
		return PERMISSION_NAMES.every(name => !permissions[name] || isPast(grant.deadlines[name], now));
	};

	const expirePermissions = (grant: IssuedGrant, permissions: Permissions) => {
		grant.deadlines = changeDeadlines(grant.deadlines, permissions, PAST);
		changed.notify();
	};

	const getLatestDeadline = (permissions: Permissions): Deadline => {
		const deadlines = [...outstandingGrants.values()].flatMap(grant => PERMISSION_NAMES.map(name => permissions[name] ? grant.deadlines[name] : PAST));
		return Math.max(PAST, ...deadlines) as Deadline;
	};

	return {
		grant(holder, parameters) {
			const now = runtime.now();
			const {authorityDeadline, ...contents} = parameters;
			const validMs = Math.min(MAX_GRANT_VALIDITY_MS, authorityDeadline - now - CLOCK_DRIFT_MS);
			if (validMs <= 0) {
				return undefined;
			}

			const key = formatHolder(holder);
			const deadline = createDeadline(now, validMs + CLOCK_DRIFT_MS);
			const previousGrant = outstandingGrants.get(key);
			outstandingGrants.set(key, {
				holder,
				deadlines: changeDeadlines(previousGrant?.deadlines ?? EXPIRED_DEADLINES, parameters.permissions, deadline),
				revision: parameters.view.revision,
			});
			return {...contents, validMs};
		},
		async revokeAll(permissions, revoke, signal) {
			const validGrants = [...outstandingGrants.values()].filter(grant => !hasExpired(grant, permissions));
			for (const grant of validGrants) {
				void revoke(grant.holder).then(response => {
					if (response.ok) {
						expirePermissions(grant, permissions);
					}
				});
			}

			await changed.waitUntil(() => validGrants.every(grant => hasExpired(grant, permissions)), getLatestDeadline(permissions), signal);
		},
		async waitForRevision(revision, deadline, signal) {
			const areAllRenewed = () => [...outstandingGrants.values()].every(grant => grant.revision >= revision || hasExpired(grant, ALL_PERMISSIONS));
			while (!areAllRenewed()) {
				if (isPast(deadline, runtime.now()) || signal.aborted) {
					return false;
				}

				await runtime.sleep(CLOCK_DRIFT_MS, signal).catch(() => undefined);
			}

			return true;
		},
	};
};
