/** What a vm knows from the feed: rules, targets and members. */

import type {DatabaseId, DataCentreId, TargetId} from '@guavapitch/core';
import type {Feed, StoreChange, StoreEntry} from '@guavapitch/feed';
import type {Target} from '@guavapitch/homes';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import {parseMember, rankOwners, type Member} from './members.js';
import type {Configuration} from './configuration.js';

/** Prefix of everything that the product keeps in the store. */
export const STORE_PREFIX = 'guavapitch/';
/** Prefix of the entries of vms. */
export const MEMBER_PREFIX = `${STORE_PREFIX}vms/`;
/** Prefix of the entries of those who hold duties. */
export const HOLDER_PREFIX = `${STORE_PREFIX}holders/`;
/** Prefix of the fencing numbers of duties. */
export const FENCING_TOKEN_PREFIX = `${STORE_PREFIX}epochs/`;

/** Knowledge of one vm. */
export type ClusterView = Readonly<{
	getConfiguration: () => Configuration | undefined;
	listMembers: () => readonly Member[];
	listTargets: (database: DatabaseId) => readonly Target[];
	findTarget: (id: TargetId) => Target | undefined;
	/** Ranks the vms as homes of a database, best first. */
	rankOwners: (database: DatabaseId) => readonly Member[];
	/** Takes note of changes; tells which kinds of entries changed. */
	applyChanges: (changes: readonly StoreChange[]) => Readonly<{configuration: boolean; targets: boolean; members: boolean}>;
}>;

/** Tells whether a change matters: a heartbeat alone does not. */
export const isRelevantChange = (context: VmContext, change: StoreChange, before: StoreEntry | undefined): boolean => {
	if (!change.entry || !before || !change.key.startsWith(context.targetPrefix)) {
		return true;
	}

	const now = context.parseTarget(change.entry);
	const earlier = context.parseTarget(before);
	return now.err || earlier.err || JSON.stringify(now.val) !== JSON.stringify(earlier.val);
};

/** Changed shares named in one line of the log. */
const MOST_SHARES = 20;

/** Lists the shares that differ between two versions, for the log. */
const listChangedShares = (before: Configuration | undefined, after: Configuration): readonly string[] => before
	? [...after.quotas]
		.filter(([customer, {rate, burst}]) => before.quotas.get(customer)?.rate !== rate || before.quotas.get(customer)?.burst !== burst)
		.slice(0, MOST_SHARES)
		.map(([customer, {rate, burst}]) => `${customer}: ${rate}/s, burst ${burst}`)
	: [];

/** Creates the view of a vm that knows nothing. */
export const createClusterView = (context: VmContext, getFeed: () => Feed): ClusterView => {
	let rules: Configuration | undefined;
	let members: readonly Member[] = [];
	let targets = new Map<TargetId, Target>();
	let byDatabase = new Map<DatabaseId, Target[]>();
	let ranks = new Map<DatabaseId, readonly Member[]>();

	const readRules = (entry: StoreEntry | undefined) => {
		const parsed = entry && context.parseConfiguration(entry.value);
		if (!parsed) {
			return;
		}

		if (parsed.err) {
			context.emit(EVENTS.configurationRejected, {message: parsed.val.message, revision: entry.revision});
			return;
		}

		if (!rules || parsed.val.version > rules.version) {
			const changedShares = listChangedShares(rules, parsed.val);
			rules = parsed.val;
			context.emit(EVENTS.configurationApplied, {
				version: rules.version, revision: entry.revision, ageMs: Math.round(Math.min(getFeed().getAgeMs(), Number.MAX_SAFE_INTEGER)), changedShares,
			});
		}
	};

	const readTargets = () => {
		const next = new Map<TargetId, Target>();
		const grouped = new Map<DatabaseId, Target[]>();
		for (const entry of getFeed().list(context.targetPrefix)) {
			const parsed = context.parseTarget(entry);
			if (parsed.ok) {
				next.set(parsed.val.id, parsed.val);
				grouped.set(parsed.val.database, [...grouped.get(parsed.val.database) ?? [], parsed.val]);
			}
		}

		targets = next;
		byDatabase = grouped;
		ranks = new Map();
	};

	const reportMalformed = (changes: readonly StoreChange[]) => {
		for (const {key, entry} of changes) {
			const parsed = entry && key.startsWith(context.targetPrefix) ? context.parseTarget(entry) : undefined;
			if (parsed?.err) {
				context.emit(EVENTS.targetMalformed, {key, message: parsed.val.message});
			}
		}
	};

	const readMembers = () => {
		members = getFeed().list(MEMBER_PREFIX).flatMap(entry => parseMember(entry) ?? []);
		ranks = new Map();
	};

	/** Data centre of the primary, by the registry, so that homes do not follow every belief. */
	const getPreferred = (database: DatabaseId): DataCentreId | undefined => byDatabase.get(database)?.find(({role}) => role === 'primary')?.dataCentre;

	return {
		getConfiguration: () => rules,
		listMembers: () => members,
		listTargets: database => byDatabase.get(database) ?? [],
		findTarget: id => targets.get(id),
		rankOwners(database) {
			const known = ranks.get(database);
			if (known) {
				return known;
			}

			const ranked = rankOwners(database, members, getPreferred(database));
			ranks.set(database, ranked);
			return ranked;
		},
		applyChanges(changes) {
			const hasRules = changes.some(({key}) => key === context.configurationKey);
			const hasTargets = changes.some(({key}) => key.startsWith(context.targetPrefix));
			const hasMembers = changes.some(({key}) => key.startsWith(MEMBER_PREFIX));
			if (hasRules) {
				readRules(getFeed().get(context.configurationKey));
			}

			if (hasTargets) {
				readTargets();
				reportMalformed(changes);
			}

			if (hasMembers) {
				readMembers();
			}

			return {configuration: hasRules, targets: hasTargets, members: hasMembers};
		},
	};
};
