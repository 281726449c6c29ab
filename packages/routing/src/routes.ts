/** Chooses the target of a request and the owner through which it runs. */

import {match} from 'ts-pattern';
import {
	Err, Ok, brandId, type DatabaseId, type TargetId, type Result, type VmId,
} from '@guavapitch/core';
import type {GroupRecord} from '@guavapitch/failover';
import type {Database} from '@guavapitch/inventory';
import type {Refusal, RequestMode, StatementClass} from '@guavapitch/sessions';
import {getDatabase, type RoutingView} from './view.js';

/** Where a request is sent and why. */
export type Route = Readonly<{
	target: TargetId;
	/** The vm that owns the connections to the target. */
	owner: VmId;
	/** Mode in which the owner runs it; a read that no replica can serve goes to the primary as a write. */
	mode: RequestMode;
	/** Why this target was chosen, as a clause for people to read. */
	reason: string;
}>;

/** A target and an owner that were already tried for the same request. */
export type RouteAttempt = Readonly<{target: TargetId; owner: VmId}>;

/** Chooses the request mode for a class of statement; `maxStalenessMs` is the staleness that the service allows for reads, `undefined` for none. */
export const chooseRequestMode = (statementClass: StatementClass, maxStalenessMs: number | undefined): RequestMode => match(statementClass)
	.with('read', 'empty', (): RequestMode => maxStalenessMs === undefined ? 'read' : 'stale')
	.otherwise(() => 'write');

const getReplicas = (database: Database, record: GroupRecord): readonly TargetId[] => database.targets
	.map(target => brandId<TargetId>(target.name))
	.filter(target => target !== record.primary);

const getCandidates = (database: Database, record: GroupRecord, mode: RequestMode): readonly TargetId[] => match(mode)
	.with('write', () => [])
	.with('read', () => record.replicated ? getReplicas(database, record).filter(target => record.synced.includes(target)) : [])
	.with('stale', () => getReplicas(database, record))
	.exhaustive();

const chooseOwner = (view: RoutingView, target: TargetId, tried: readonly RouteAttempt[]): VmId | undefined => {
	const owners = view.getOwners(target);
	return owners.find(owner => !tried.some(attempt => attempt.target === target && attempt.owner === owner));
};

const chooseReplica = (view: RoutingView, candidates: readonly TargetId[], tried: readonly RouteAttempt[]): RouteAttempt | undefined => {
	const availableReplicas = candidates
		.filter(target => !view.isLeaving(target) && !tried.some(attempt => attempt.target === target))
		.map(target => ({target, sortKey: view.getRunningCount(target) + view.random()}))
		.toSorted((a, b) => a.sortKey - b.sortKey);
	for (const {target} of availableReplicas) {
		const owner = chooseOwner(view, target, tried);
		if (owner) {
			return {target, owner};
		}
	}

	return undefined;
};

const createNoRouteRefusal = (message: string): Refusal => ({code: 'noRoute', message});

/** Chooses a route; fails with `noRoute` if there is none. `tried` are the attempts that were refused without having run; once all owners of the primary were tried, the preferred one is chosen again. */
export const chooseRoute = (view: RoutingView, databaseId: DatabaseId, mode: RequestMode, tried: readonly RouteAttempt[]): Result<Route, Refusal> => {
	const database = getDatabase(view.inventory, databaseId);
	const record = view.getGroup(databaseId)?.record;
	if (!database || !record) {
		return Err(createNoRouteRefusal(`The primary of ${databaseId} is not known yet`));
	}

	const replica = chooseReplica(view, getCandidates(database, record, mode), tried);
	if (replica) {
		return Ok({...replica, mode, reason: mode === 'read' ? 'a synced replica has every acknowledged write' : 'the service allows stale reads'});
	}

	const owner = chooseOwner(view, record.primary, tried) ?? view.getOwners(record.primary)[0];
	if (!owner) {
		return Err(createNoRouteRefusal(`No live vm owns the target ${record.primary}`));
	}

	return Ok({
		target: record.primary, owner, mode: 'write', reason: mode === 'write' ? 'writes go to the primary' : 'no replica can serve the read now',
	});
};
