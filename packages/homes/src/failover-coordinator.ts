/** The steward of a database: notices that its primary is gone or leaving, and orders another one. */

import {
	createDeadline, isPast, type DatabaseId, type Instant, type TargetId, type World,
} from '@guavapitch/core';
import {comparePositions} from '@guavapitch/sessions';
import type {DatabaseOwner} from './database-owner.js';
import type {Command, Target, TargetStatus} from './targets.js';

/** Outcome of an order of promotion. */
export type PromotionOutcome
	= 'done'
	/** A newer fencing number was seen, or the target is not running. */
		| 'refused'
	/** No answer: it may still be carried out. */
		| 'unknown';

/** What happened in a change of primary, for the logs. */
export type FailoverCoordinatorEvent = Readonly<{
	kind: 'suspected' | 'started' | 'ordered' | 'finished' | 'failed';
	target: string;
	reason: string;
	ageMs: number;
}>;

/** What a steward needs. */
export type FailoverCoordinatorContext = Readonly<{
	world: World;
	database: DatabaseId;
	owner: DatabaseOwner;
	/** Tells whether this vm holds the stewardship, surely and now. */
	isCoordinator: () => boolean;
	/** Draws a fencing number higher than all before. */
	drawFencingToken: () => Promise<number | undefined>;
	orderPromotion: (target: TargetId, fence: number) => Promise<PromotionOutcome>;
	/** Tells whether another vm reaches a target that this one does not. */
	isReachableFromPeers: (target: TargetId) => Promise<boolean>;
	/** Tells whether commits are acknowledged only when a replica has them. */
	isSynchronouslyReplicated: () => boolean;
	onEvent: (event: FailoverCoordinatorEvent) => void;
}>;

/** Pause between looks at the primary, in milliseconds. */
const LOOK_MS = 100;
/** Silence after which the primary is pinged, in milliseconds. */
const QUIET_MS = 300;
/** Time that a refusing primary has to come back, in milliseconds: a restart of its listener is not a crash. */
const REFUSING_MS = 150;
/** Silence after which the primary is taken for dead, in milliseconds; several pings. */
const SILENT_MS = 800;
/** Time without any target that leads before one is chosen, in milliseconds; the registry lags behind a promotion. */
const LEADERLESS_MS = 600;
/** Longest time for the questions before an order, in milliseconds. */
const STATUS_TIMEOUT_MS = 300;
/** Longest time that an ordered target has to prove that it leads, in milliseconds; several times a promotion. */
const PROOF_MS = 3000;
/** Longest time that writes wait for a replica to have everything before a planned change, in milliseconds. */
const HANDOVER_MS = 1500;
const HANDOVER_LOOK_MS = 20;

type Standing = Readonly<{target: Target; status: TargetStatus}>;

/** Asks targets for their state, after another command if there is one. */
const askAll = async (context: FailoverCoordinatorContext, targets: readonly Target[], before?: Command): Promise<readonly Standing[]> => {
	const deadline = createDeadline(context.world.now(), STATUS_TIMEOUT_MS);
	const answers = await Promise.all(targets.map(async target => {
		const status = await context.owner.queryStatus(target.id, deadline, before);
		return status ? [{target, status}] : [];
	}));
	return answers.flat();
};

/** Ranks replicas for a promotion: the longest log first. */
export const rankReplicas = (standings: readonly Standing[]): readonly Standing[] => standings.toSorted((a, b) =>
	comparePositions(b.status.received, a.status.received)
	|| Number(a.target.isDraining) - Number(b.target.isDraining)
	|| (a.target.id < b.target.id ? -1 : 1));

/** Waits until a target proves that it leads. */
const waitForProof = async (context: FailoverCoordinatorContext, target: TargetId): Promise<boolean> => {
	const {world, owner: home} = context;
	const deadline = createDeadline(world.now(), PROOF_MS);
	while (!isPast(deadline, world.now())) {
		if (await home.ping(target, deadline) === 'leads') {
			return true;
		}

		await world.sleep(LOOK_MS / 2);
	}

	return false;
};

/**
 * Asks the replicas where they stand. Where a commit is acknowledged once one replica has it, they stop receiving first,
 * so that the old primary acknowledges nothing more, and all of them must answer: the one that is missing may have it.
 */
const askStandings = async (context: FailoverCoordinatorContext, replicas: readonly Target[]): Promise<readonly Standing[]> => {
	if (!context.isSynchronouslyReplicated()) {
		return rankReplicas(await askAll(context, replicas));
	}

	const known = await askAll(context, replicas);
	const term = Math.max(0, ...known.map(({status}) => status.term), context.owner.components.positionHistory.getLatest()?.term ?? 0) + 1;
	const paused = await askAll(context, replicas, {kind: 'pause', term});
	if (paused.length === replicas.length) {
		return rankReplicas(paused);
	}

	await askAll(context, replicas, {kind: 'resume'});
	return [];
};

/** Orders the replicas in turn to lead, until one does. */
const promoteBest = async (context: FailoverCoordinatorContext, replicas: readonly Target[], reason: string): Promise<boolean> => {
	const startedAt = context.world.now();
	const standings = await askStandings(context, replicas);
	if (standings.length === 0) {
		context.onEvent({
			kind: 'failed', target: '', reason: `${reason}; ${context.isSynchronouslyReplicated() ? 'a replica does' : 'the replicas do'} not answer`, ageMs: 0,
		});
		return false;
	}

	for (const {target} of standings) {
		const fence = await context.drawFencingToken();
		if (fence === undefined) {
			context.onEvent({
				kind: 'failed', target: target.id, reason: 'the store gave no fencing number', ageMs: context.world.now() - startedAt,
			});
			return false;
		}

		context.onEvent({
			kind: 'ordered', target: target.id, reason: `${reason}; fence ${fence}`, ageMs: context.world.now() - startedAt,
		});
		const outcome = await context.orderPromotion(target.id, fence);
		if (outcome !== 'refused' && await waitForProof(context, target.id)) {
			context.onEvent({
				kind: 'finished', target: target.id, reason, ageMs: context.world.now() - startedAt,
			});
			return true;
		}

		// With acknowledgements by a replica only the longest log surely holds them all.
		if (context.isSynchronouslyReplicated()) {
			break;
		}
	}

	if (context.isSynchronouslyReplicated()) {
		await askAll(context, replicas, {kind: 'resume'});
	}

	return false;
};

const listReplicas = (context: FailoverCoordinatorContext, except: TargetId | undefined): readonly Target[] => context.owner.components.listTargets().filter(({id}) => id !== except);

/** Replaces a primary that is about to leave: writes wait until a replica has everything. */
const handOver = async (context: FailoverCoordinatorContext, leader: Target): Promise<boolean> => {
	const {world, owner: home} = context;
	const replicas = listReplicas(context, leader.id).filter(({isDraining}) => !isDraining);
	if (replicas.length === 0) {
		return false;
	}

	const startedAt = world.now();
	const deadline = createDeadline(startedAt, HANDOVER_MS);
	context.onEvent({
		kind: 'started', target: leader.id, reason: 'the primary is leaving', ageMs: 0,
	});
	home.pauseWrites(true);
	try {
		while (!isPast(deadline, world.now())) {
			const [own] = await askAll(context, [leader]);
			const standings = rankReplicas(await askAll(context, replicas));
			const best = standings[0];
			if (own && best && comparePositions(best.status.received, own.status.received) >= 0 && home.components.transactions.getWriterCount() === 0) {
				break;
			}

			await world.sleep(HANDOVER_LOOK_MS);
		}

		return await promoteBest(context, context.isSynchronouslyReplicated() ? listReplicas(context, leader.id) : replicas, 'the primary is leaving');
	} finally {
		home.pauseWrites(false);
	}
};

/** What the steward believes of the primary while it looks again and again. */
type Suspicion = {
	refusedSince: Instant | undefined;
	leaderlessSince: Instant | undefined;
	/** When this vm first looked at the primary. */
	knownSince: Instant | undefined;
};

/** Looks once at the primary; gives the reason to replace it. */
const examine = async (context: FailoverCoordinatorContext, suspicion: Suspicion): Promise<string | undefined> => {
	const {world, owner: home} = context;
	const {leaderTracker: leadership, healthTracker: reach} = home.components;
	const leader = leadership.getLeader();
	const now = world.now();
	if (leader === undefined || !home.components.getTarget(leader)) {
		suspicion.leaderlessSince ??= now;
		return now - suspicion.leaderlessSince >= LEADERLESS_MS ? 'no target leads' : undefined;
	}

	suspicion.leaderlessSince = undefined;
	const answeredAt = reach.getLastResponseAt(leader) ?? suspicion.knownSince ?? now;
	suspicion.knownSince ??= now;
	if (now - answeredAt < QUIET_MS && reach.isUsable(leader)) {
		suspicion.refusedSince = undefined;
		return undefined;
	}

	const answer = await home.ping(leader, createDeadline(now, QUIET_MS));
	if (answer === 'leads' || answer === 'follows') {
		suspicion.refusedSince = undefined;
		return undefined;
	}

	suspicion.refusedSince = answer === 'refused' ? suspicion.refusedSince ?? now : undefined;
	if (suspicion.refusedSince !== undefined && world.now() - suspicion.refusedSince >= REFUSING_MS) {
		return 'the primary refuses connections';
	}

	const isSilent = world.now() - answeredAt >= SILENT_MS;
	return isSilent && !await context.isReachableFromPeers(leader) ? 'the primary is silent' : undefined;
};

/** Tends a database until the signal aborts; acts only while this vm is its steward. */
export const runFailoverCoordinator = async (context: FailoverCoordinatorContext, signal: AbortSignal): Promise<void> => {
	const {world, owner: home} = context;
	const suspicion: Suspicion = {refusedSince: undefined, leaderlessSince: undefined, knownSince: undefined};
	while (!signal.aborted) {
		await world.sleep(LOOK_MS, signal).catch(() => undefined);
		if (signal.aborted || !context.isCoordinator() || home.components.listTargets().length === 0) {
			continue;
		}

		const leader = home.components.leaderTracker.getLeader();
		const known = leader === undefined ? undefined : home.components.getTarget(leader);
		if (known?.isDraining && await handOver(context, known)) {
			continue;
		}

		const reason = await examine(context, suspicion);
		if (reason !== undefined && context.isCoordinator()) {
			context.onEvent({
				kind: 'started', target: leader ?? '', reason, ageMs: leader === undefined ? 0 : world.now() - (home.components.healthTracker.getLastResponseAt(leader) ?? world.now()),
			});
			const all = listReplicas(context, leader);
			const staying = all.filter(({isDraining}) => !isDraining);
			await promoteBest(context, staying.length > 0 && !context.isSynchronouslyReplicated() ? staying : all, reason);
			suspicion.refusedSince = undefined;
			suspicion.leaderlessSince = undefined;
			suspicion.knownSince = undefined;
		}
	}
};
