/** The steward's side of grants: what is outstanding, and how it ends. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Result, type Failure, type VmId, type World,
} from '@guavapitch/core';
import type {GrantReply} from './grants.js';
import type {GroupView} from './record.js';

/** One run of the process of a vm that holds grants. */
export type Holder = Readonly<{vm: VmId; incarnation: string}>;

/** Which permissions of a holder end. */
export type Permissions = Readonly<{writes: boolean; reads: boolean}>;

/** Permissions that a steward gives now. */
export type GrantTerms = Readonly<{
	view: GroupView;
	permissions: Permissions;
	agesMs: Readonly<Record<string, number>>;
	/** Deadline of the steward's own authority. */
	authority: Deadline;
}>;

/** Grants given by one steward for one database. */
export type Granter = Readonly<{
	/** Gives a grant; `undefined` if the authority has passed. */
	grant: (holder: Holder, terms: GrantTerms) => GrantReply | undefined;
	/** Ends permissions of all holders: asks each, and waits out those that do not answer. */
	endAll: (permissions: Permissions, revoke: (holder: Holder) => Promise<Result<unknown, Failure>>, signal: AbortSignal) => Promise<void>;
	/** Waits until every outstanding grant is of a revision or newer. */
	waitForRevision: (revision: number, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** Longest validity of a grant, in milliseconds. */
export const GRANT_MS = 1000;

/** Allowance for clocks that run at different rates. */
const DRIFT_MS = 50;

type Outstanding = {readonly holder: Holder; writes: Deadline; reads: Deadline; revision: number};

const formatHolder = (holder: Holder): string => `${holder.vm}/${holder.incarnation}`;

/** Creates the table of a steward that has granted nothing. */
export const createGranter = (world: World): Granter => {
	const outstanding = new Map<string, Outstanding>();
	const changed = createNotifier(world);

	const isOver = (grant: Outstanding, permissions: Permissions): boolean => {
		const now = world.now();
		return (!permissions.writes || isPast(grant.writes, now)) && (!permissions.reads || isPast(grant.reads, now));
	};

	const end = (grant: Outstanding, permissions: Permissions) => {
		if (permissions.writes) {
			grant.writes = PAST;
		}

		if (permissions.reads) {
			grant.reads = PAST;
		}

		changed.notify();
	};

	const getLastDeadline = (permissions: Permissions): Deadline => {
		const deadlines = [...outstanding.values()].flatMap(grant => [permissions.writes ? grant.writes : PAST, permissions.reads ? grant.reads : PAST]);
		return Math.max(PAST, ...deadlines) as Deadline;
	};

	return {
		grant(holder, terms) {
			const now = world.now();
			const validMs = Math.min(GRANT_MS, terms.authority - now - DRIFT_MS);
			if (validMs <= 0) {
				return undefined;
			}

			const key = formatHolder(holder);
			const deadline = createDeadline(now, validMs + DRIFT_MS);
			const known = outstanding.get(key);
			outstanding.set(key, {
				holder,
				writes: terms.permissions.writes ? deadline : (known?.writes ?? PAST),
				reads: terms.permissions.reads ? deadline : (known?.reads ?? PAST),
				revision: terms.view.revision,
			});
			return {
				view: terms.view, validMs, agesMs: terms.agesMs, permissions: terms.permissions,
			};
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
			const isRenewed = () => [...outstanding.values()].every(grant => grant.revision >= revision || isOver(grant, {writes: true, reads: true}));
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
