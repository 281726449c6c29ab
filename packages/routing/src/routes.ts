/** Choice of the target and the home for a request. */

import {match} from 'ts-pattern';
import {
	Err, Ok, parseId, type DatabaseId, type TargetId, type Result, type VmId,
} from '@guavapitch/core';
import type {GroupRecord} from '@guavapitch/failover';
import type {Database} from '@guavapitch/inventory';
import type {Refusal, RequestMode, StatementClass} from '@guavapitch/sessions';
import {getDatabase, type RoutingView} from './view.js';

/** Where a request goes and why. */
export type Route = Readonly<{
	target: TargetId;
	owner: VmId;
	/** Mode in which the home serves it; a read that no replica may serve goes to the primary as a write. */
	mode: RequestMode;
	/** Why this target, in one sentence. */
	reason: string;
}>;

/** A choice already tried for the same request. */
export type RouteAttempt = Readonly<{target: TargetId; owner: VmId}>;

/** Chooses the consistency that a class of statement needs under the rule of its service. */
export const chooseRequestMode = (statement: StatementClass, staleReadsMs: number | undefined): RequestMode => match(statement)
	.with('read', 'empty', (): RequestMode => staleReadsMs === undefined ? 'read' : 'stale')
	.otherwise(() => 'write');

const getReplicas = (database: Database, record: GroupRecord): readonly TargetId[] => database.targets
	.map(target => parseId<TargetId>(target.name))
	.filter(target => target !== record.primary);

const getCandidates = (database: Database, record: GroupRecord, mode: RequestMode): readonly TargetId[] => match(mode)
	.with('write', () => [])
	.with('read', () => record.replicated ? getReplicas(database, record).filter(target => record.synced.includes(target)) : [])
	.with('stale', () => getReplicas(database, record))
	.exhaustive();

const chooseHome = (view: RoutingView, target: TargetId, tried: readonly RouteAttempt[]): VmId | undefined => {
	const homes = view.getOwners(target);
	return homes.find(home => !tried.some(attempt => attempt.target === target && attempt.owner === home));
};

const chooseReplica = (view: RoutingView, candidates: readonly TargetId[], tried: readonly RouteAttempt[]): RouteAttempt | undefined => {
	const open = candidates
		.filter(target => !view.isLeaving(target) && !tried.some(attempt => attempt.target === target))
		.map(target => ({target, order: view.getPendingCount(target) + view.random()}))
		.toSorted((a, b) => a.order - b.order);
	for (const {target} of open) {
		const home = chooseHome(view, target, tried);
		if (home) {
			return {target, owner: home};
		}
	}

	return undefined;
};

const noRoute = (message: string): Refusal => ({code: 'noRoute', message});

/** Chooses a route; `tried` are the choices that were refused without having run. */
export const chooseRoute = (view: RoutingView, databaseId: DatabaseId, mode: RequestMode, tried: readonly RouteAttempt[]): Result<Route, Refusal> => {
	const database = getDatabase(view.inventory, databaseId);
	const record = view.getGroup(databaseId)?.record;
	if (!database || !record) {
		return Err(noRoute(`The primary of ${databaseId} is not known yet`));
	}

	const replica = chooseReplica(view, getCandidates(database, record, mode), tried);
	if (replica) {
		return Ok({...replica, mode, reason: mode === 'read' ? 'a synced replica holds every acknowledged write' : 'the rule of the service allows data of a stated age'});
	}

	const owner = chooseHome(view, record.primary, tried) ?? view.getOwners(record.primary)[0];
	if (!owner) {
		return Err(noRoute(`No live vm is home of ${record.primary}`));
	}

	return Ok({
		target: record.primary, owner: owner, mode: 'write', reason: mode === 'write' ? 'writes go to the primary' : 'no replica may serve it now',
	});
};
