/** The cluster as one vm sees it through the change feed: configuration, targets and members. */

import {
	chooseEarliest, createDeadline, getRemainingMs, isPast, NEVER, type DatabaseId, type DataCentreId, type Deadline, type TargetId,
} from '@guavapitch/core';
import type {Feed, StoreChange, StoreEntry} from '@guavapitch/feed';
import type {RegisteredTarget, Target} from '@guavapitch/database-owners';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import {
	parseMember, rankBalancedOwners, rankCoordinators, rankOwners, type Member,
} from './members.js';
import type {Configuration} from './configuration.js';

/** Prefix of all keys that this product writes to the store. */
export const STORE_PREFIX = 'guavapitch/';
/** Key prefix of the store entries of vms. */
export const MEMBER_PREFIX = `${STORE_PREFIX}vms/`;
/** Key prefix of the entries that name the holder of each role. */
export const HOLDER_PREFIX = `${STORE_PREFIX}holders/`;
/** Key prefix of the entries from which the fencing tokens of each role are drawn. */
export const FENCING_TOKEN_PREFIX = `${STORE_PREFIX}epochs/`;

/** Key prefix of the records of appointed primaries. */
export const APPOINTMENT_PREFIX = `${STORE_PREFIX}primaries/`;

/** View of the cluster at one vm. */
export type ClusterView = Readonly<{
	/** Returns the active configuration; `undefined` until one has been received. */
	getConfiguration: () => Configuration | undefined;
	listMembers: () => readonly Member[];
	listTargets: (database: DatabaseId) => readonly Target[];
	findTarget: (id: TargetId) => Target | undefined;
	/** Records that a target was announced as promoted; owners are ranked by its data centre until the registry has had time to follow. */
	recordLeader: (database: DatabaseId, target: TargetId) => void;
	/** Returns the target that was last announced as promoted; `undefined` if none was lately. */
	getAnnouncedLeader: (database: DatabaseId) => Target | undefined;
	/** Ranks the vms as owners of a database, best first. */
	rankOwners: (database: DatabaseId) => readonly Member[];
	/** Ranks the vms as failover coordinators of a database, best first. */
	rankCoordinators: (database: DatabaseId) => readonly Member[];
	/** Applies changes of the feed; returns which kinds of entries they touch. */
	applyChanges: (changes: readonly StoreChange[]) => Readonly<{hasConfigurationChange: boolean; hasTargetChange: boolean; hasMemberChange: boolean; hasAppointmentChange: boolean}>;
}>;

/** Tells whether a change affects the cluster view. A target entry that decodes to the same target as before is only a heartbeat and does not. */
export const isRelevantChange = (context: VmContext, change: StoreChange, previous: StoreEntry | undefined): boolean => {
	if (!change.entry || !previous || !change.key.startsWith(context.targetPrefix)) {
		return true;
	}

	const parsed = context.parseTarget(change.entry);
	const parsedPrevious = context.parseTarget(previous);
	return parsed.err || parsedPrevious.err || JSON.stringify(parsed.val) !== JSON.stringify(parsedPrevious.val);
};

/** Describes how the registered entry of a target has changed; `undefined` if nothing that matters for placing statements has. */
const describeTargetChange = (before: Target | undefined, after: Target | undefined): string | undefined => {
	if (!before || !after) {
		return after ? 'added' : 'removed';
	}

	if (before.startedAtMs !== after.startedAtMs) {
		return 'restarted';
	}

	if (before.isDraining !== after.isDraining) {
		return 'draining';
	}

	if (before.acceptsUntil !== after.acceptsUntil) {
		return after.acceptsUntil === NEVER ? 'listedAgain' : 'lapsed';
	}

	return before.role === after.role ? undefined : 'roleChanged';
};

/** Maximum number of changed quotas named in one log line. */
const MAX_LOGGED_QUOTAS = 20;

/** Lists the quotas that differ between two versions of the configuration, for the log; empty for the first version. */
const listChangedQuotas = (before: Configuration | undefined, after: Configuration): readonly string[] => before
	? [...after.quotas]
		.filter(([customer, {rate, burst}]) => before.quotas.get(customer)?.rate !== rate || before.quotas.get(customer)?.burst !== burst)
		.slice(0, MAX_LOGGED_QUOTAS)
		.map(([customer, {rate, burst}]) => `${customer}: ${rate}/s, burst ${burst}`)
	: [];

/** Maximum number of runs of leaving targets that are remembered. */
const MAX_REMEMBERED_RUNS = 1000;

/**
 * Time for which a target counts as present after its entry lapsed, in milliseconds: the entry of a target that lives is back within two seconds
 * of the store's return, a watch of targets pauses for 1.2 s, and a relay may hold the change for 0.8 s.
 */
const LAPSED_GRACE_MS = 4000;

/** Time for which an announced promotion counts more than the registry, in milliseconds: a watch of targets pauses for 1.2 s, and two relays may each hold the change for 0.8 s and be replaced after 1.5 s. */
const ANNOUNCEMENT_VALIDITY_MS = 6000;

/** Functions by which a cluster view reaches the rest of its vm. */
export type ClusterViewHooks = Readonly<{
	getFeed: () => Feed;
	/** Called when targets are dropped without a change of the feed, because their entries have been missing for too long. */
	onTargetsDropped: () => void;
}>;

/** Creates an empty cluster view. */
export const createClusterView = (context: VmContext, {getFeed, onTargetsDropped}: ClusterViewHooks): ClusterView => {
	let configuration: Configuration | undefined;
	let members: readonly Member[] = [];
	let targets = new Map<TargetId, Target>();
	let targetsByDatabase = new Map<DatabaseId, Target[]>();
	let ownerRanks = new Map<DatabaseId, readonly Member[]>();
	/** Until when leaving targets accept new work, by run of the target; kept when an entry is missing for a while, as the drain time goes on. */
	const acceptsUntilByRun = new Map<string, Deadline>();

	/** Targets that were announced as promoted, and until when this counts more than the registry. */
	const announcedLeaders = new Map<DatabaseId, Readonly<{target: TargetId; until: Deadline}>>();

	/** Until when targets without an entry count as present. */
	const lapsedUntil = new Map<TargetId, Deadline>();

	/** Returns the age of the change feed as a finite number, for the log. */
	const getLoggedAgeMs = () => Math.round(Math.min(getFeed().getAgeMs(), Number.MAX_SAFE_INTEGER));

	const applyConfiguration = (entry: StoreEntry | undefined) => {
		const parsed = entry && context.parseConfiguration(entry.value);
		if (!parsed) {
			return;
		}

		if (parsed.err) {
			context.emit(EVENTS.configurationRejected, {message: parsed.val.message, revision: entry.revision});
			return;
		}

		if (!configuration || parsed.val.version > configuration.version) {
			const changedQuotas = listChangedQuotas(configuration, parsed.val);
			configuration = parsed.val;
			context.emit(EVENTS.configurationApplied, {
				version: configuration.version, revision: entry.revision, ageMs: getLoggedAgeMs(), changedShares: changedQuotas,
			});
		}
	};

	const reportTargetChanges = (newTargets: ReadonlyMap<TargetId, Target>, newTargetsByDatabase: ReadonlyMap<DatabaseId, readonly Target[]>) => {
		for (const id of new Set([...targets.keys(), ...newTargets.keys()])) {
			const target = newTargets.get(id) ?? targets.get(id);
			const change = describeTargetChange(targets.get(id), newTargets.get(id));
			if (target && change !== undefined) {
				const stayingTargets = newTargetsByDatabase.get(target.database)?.filter(({isDraining}) => !isDraining) ?? [];
				context.emit(EVENTS.targetsChanged, {
					change, target: id, database: target.database, role: target.role, isDraining: target.isDraining, stayingTargets: stayingTargets.length, ageMs: getLoggedAgeMs(),
				});
			}
		}
	};

	/**
	 * Returns until when a target accepts new work; the drain time counts from the last moment at which it had certainly not announced that it leaves.
	 * A run that has announced it never stays: an entry that says otherwise is older, from a store that was restored.
	 */
	const getAcceptsUntil = ({id, startedAtMs, isDraining}: RegisteredTarget): Deadline => {
		const run = `${id} ${startedAtMs}`;
		const known = acceptsUntilByRun.get(run);
		if (known !== undefined || !isDraining) {
			return known ?? NEVER;
		}

		const acceptsUntil = createDeadline(getFeed().getCompleteAt(context.targetPrefix), context.getTargetDrainMs());
		acceptsUntilByRun.set(run, acceptsUntil);
		const [oldestRun] = acceptsUntilByRun.keys();
		if (acceptsUntilByRun.size > MAX_REMEMBERED_RUNS && oldestRun !== undefined) {
			acceptsUntilByRun.delete(oldestRun);
		}

		return acceptsUntil;
	};

	/**
	 * Returns a target whose entry is missing, as long as it counts as present; entries also lapse while the store is away, and with it a sound primary.
	 * A target that had announced that it leaves, or whose address another one has, is gone. The others get no more work than if they had announced it when the entry lapsed.
	 */
	const keepLapsed = (target: Target, listed: readonly Target[]): Target | undefined => {
		if (target.isDraining || listed.some(({host, port}) => host === target.host && port === target.port)) {
			return undefined;
		}

		const now = context.readSuspensionClock();
		const until = lapsedUntil.get(target.id);
		if (until !== undefined) {
			return isPast(until, now) ? undefined : target;
		}

		const presentUntil = createDeadline(now, LAPSED_GRACE_MS);
		lapsedUntil.set(target.id, presentUntil);
		context.runtime.schedule(getRemainingMs(presentUntil, now), () => {
			rebuildTargets();
			onTargetsDropped();
		});
		return {...target, acceptsUntil: chooseEarliest([presentUntil, createDeadline(getFeed().getCompleteAt(context.targetPrefix), context.getTargetDrainMs())])};
	};

	const rebuildTargets = () => {
		const targetsById = new Map<TargetId, Target>();
		const groupedTargets = new Map<DatabaseId, Target[]>();
		for (const entry of getFeed().list(context.targetPrefix)) {
			const parsed = context.parseTarget(entry);
			if (parsed.ok) {
				const acceptsUntil = getAcceptsUntil(parsed.val);
				const target: Target = {...parsed.val, isDraining: acceptsUntil !== NEVER, acceptsUntil};
				targetsById.set(target.id, target);
				groupedTargets.set(target.database, [...groupedTargets.get(target.database) ?? [], target]);
				lapsedUntil.delete(target.id);
			}
		}

		const listedTargets = [...targetsById.values()];
		for (const known of targets.values()) {
			const target = targetsById.has(known.id) ? undefined : keepLapsed(known, listedTargets);
			if (target) {
				targetsById.set(target.id, target);
				groupedTargets.set(target.database, [...groupedTargets.get(target.database) ?? [], target]);
			} else {
				lapsedUntil.delete(known.id);
			}
		}

		reportTargetChanges(targetsById, groupedTargets);
		targets = targetsById;
		targetsByDatabase = groupedTargets;
		ownerRanks = new Map();
	};

	const reportMalformed = (changes: readonly StoreChange[]) => {
		for (const {key, entry} of changes) {
			const parsed = entry && key.startsWith(context.targetPrefix) ? context.parseTarget(entry) : undefined;
			if (parsed?.err) {
				context.emit(EVENTS.targetMalformed, {key, message: parsed.val.message});
			}
		}
	};

	const rebuildMembers = () => {
		members = getFeed().list(MEMBER_PREFIX).flatMap(entry => parseMember(entry) ?? []);
		ownerRanks = new Map();
	};

	const getAnnouncedLeader = (database: DatabaseId): Target | undefined => {
		const announced = announcedLeaders.get(database);
		return announced && !isPast(announced.until, context.readSuspensionClock()) ? targets.get(announced.target) : undefined;
	};

	/** Returns the data centre of the primary according to its promotion or to the store. What this vm observes itself is not used, so that owners do not move with every observation. */
	const getPreferredDataCentre = (database: DatabaseId): DataCentreId | undefined => {
		const primary = getAnnouncedLeader(database) ?? targetsByDatabase.get(database)?.find(({role}) => role === 'primary');
		return primary?.dataCentre;
	};

	const rankDatabaseOwners = (database: DatabaseId): readonly Member[] => {
		if (ownerRanks.size === 0) {
			const databases = [...new Set([...configuration?.databases.keys() ?? [], ...targetsByDatabase.keys()])];
			ownerRanks = new Map(rankBalancedOwners(databases.map(id => ({id, preferredDataCentre: getPreferredDataCentre(id)})), members));
		}

		const ranked = ownerRanks.get(database) ?? rankOwners(database, members, getPreferredDataCentre(database));
		ownerRanks.set(database, ranked);
		return ranked;
	};

	return {
		getConfiguration: () => configuration,
		listMembers: () => members,
		listTargets: database => targetsByDatabase.get(database) ?? [],
		findTarget: id => targets.get(id),
		recordLeader(database, target) {
			announcedLeaders.set(database, {target, until: createDeadline(context.readSuspensionClock(), ANNOUNCEMENT_VALIDITY_MS)});
			ownerRanks = new Map();
		},
		getAnnouncedLeader,
		rankOwners: rankDatabaseOwners,
		rankCoordinators: database => rankCoordinators(rankDatabaseOwners(database), getPreferredDataCentre(database)),
		applyChanges(changes) {
			const hasConfigurationChange = changes.some(({key}) => key === context.configurationKey);
			const hasTargetChange = changes.some(({key}) => key.startsWith(context.targetPrefix));
			const hasMemberChange = changes.some(({key}) => key.startsWith(MEMBER_PREFIX));
			const hasAppointmentChange = changes.some(({key}) => key.startsWith(APPOINTMENT_PREFIX));
			if (hasConfigurationChange) {
				applyConfiguration(getFeed().get(context.configurationKey));
				ownerRanks = new Map();
			}

			if (hasTargetChange) {
				rebuildTargets();
				reportMalformed(changes);
			}

			if (hasMemberChange) {
				rebuildMembers();
			}

			return {
				hasConfigurationChange, hasTargetChange, hasMemberChange, hasAppointmentChange,
			};
		},
	};
};
