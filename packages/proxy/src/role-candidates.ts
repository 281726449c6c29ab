/** Contending for the slots of the roles that the inventory asks for. */

import type {
	Failure, Result, Scope, VmId, World,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import {
	formatSlotName, runSlot, type Authority, type ProcessLease, type TakeoverPromises, type TakeoverPromiseRequest, type RoleName, type SlotContext,
} from '@guavapitch/roles';
import {EVENTS, type Emit} from '@guavapitch/telemetry';
import type {ClusterView} from './cluster-view.js';

/** What the contenders of a process need. */
export type RoleCandidatesContext = Readonly<{
	world: World;
	vm: VmId;
	incarnation: string;
	clusterView: ClusterView;
	store: Store;
	lease: ProcessLease;
	promises: TakeoverPromises;
	/** Owner of the tasks that contend. */
	scope: Scope;
	emit: Emit;
	isDraining: () => boolean;
	/** Asks a candidate not to take over for a while. */
	requestPromise: (vm: VmId, request: TakeoverPromiseRequest) => Promise<Result<boolean, Failure>>;
	/** What the holder of a slot does, by role. */
	runAsHolder: Readonly<Record<RoleName, (authority: Authority, signal: AbortSignal) => Promise<void>>>;
}>;

const SWEEP_MS = 100;

/** Creates the task that starts a contender for each slot once the inventory says how many there are. */
export const createRoleCandidates = (context: RoleCandidatesContext): ((signal: AbortSignal) => Promise<void>) => {
	const {world, clusterView: fleet, emit} = context;
	const {members, inForce} = fleet;

	const createSlotContext = (role: RoleName, slot: string): SlotContext => ({
		world,
		store: context.store,
		lease: context.lease,
		promises: context.promises,
		self: {vm: context.vm, incarnation: context.incarnation},
		slot,
		rankCandidates: () => context.isDraining() ? [] : fleet.rankLiveVms(`role/${slot}`),
		requestPromise: async (candidate, request) => context.requestPromise(candidate.vm, request),
		isConfirmedGone(candidate) {
			const member = members.get(candidate.vm);
			return member?.state === 'gone' || (member !== undefined && member.incarnation !== '' && member.incarnation !== candidate.incarnation);
		},
		runAsHolder: context.runAsHolder[role],
		onGained(name, epoch) {
			emit(EVENTS.roleGained, {slot: name, epoch});
		},
		onLost(name, epoch) {
			emit(EVENTS.roleLost, {slot: name, epoch});
		},
		onExtended(name, by) {
			emit(EVENTS.roleExtended, {slot: name, by});
		},
	});

	const listSlots = (): ReadonlyArray<readonly [RoleName, string]> => {
		const counts = inForce.getInventory()?.fleet;
		const roles: ReadonlyArray<readonly [RoleName, number]> = [['steward', counts?.stewardSlots ?? 0], ['keeper', counts?.keeperSlots ?? 0]];
		return roles.flatMap(([role, count]) => Array.from({length: count}, (_, number) => [role, formatSlotName(role, number)] as const));
	};

	return async signal => {
		const started = new Set<string>();
		while (!signal.aborted) {
			for (const [role, slot] of listSlots()) {
				if (!started.has(slot)) {
					started.add(slot);
					context.scope.run(async own => runSlot(createSlotContext(role, slot), own));
				}
			}

			await world.sleep(SWEEP_MS, signal);
		}
	};
};
