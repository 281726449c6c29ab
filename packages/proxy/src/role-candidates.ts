/** Runs this process as a candidate for every role slot that the inventory configures. */

import type {
	Failure, Result, Scope, VmId, Runtime,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import {
	formatSlotName, runSlot, type Authority, type ProcessLease, type TakeoverPromises, type TakeoverPromiseRequest, type RoleName, type SlotContext,
} from '@guavapitch/roles';
import {EVENTS, type Emit} from '@guavapitch/telemetry';
import type {ClusterView} from './cluster-view.js';

/** Dependencies of the role candidates of a process. */
export type RoleCandidatesContext = Readonly<{
	runtime: Runtime;
	vm: VmId;
	incarnation: string;
	clusterView: ClusterView;
	store: Store;
	lease: ProcessLease;
	takeoverPromises: TakeoverPromises;
	/** Scope that owns the task of each slot. */
	scope: Scope;
	emit: Emit;
	isDraining: () => boolean;
	/** Asks a candidate for a takeover promise: not to take over the slot for a limited time. */
	requestPromise: (vm: VmId, request: TakeoverPromiseRequest) => Promise<Result<boolean, Failure>>;
	/** Work of the holder of a slot, by role; runs until the signal aborts. */
	runAsHolder: Readonly<Record<RoleName, (authority: Authority, signal: AbortSignal) => Promise<void>>>;
}>;

/** Interval between checks of the active inventory for new slots, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Creates the task that becomes a candidate for each slot as soon as the active inventory contains it. */
export const createRoleCandidates = (context: RoleCandidatesContext): ((signal: AbortSignal) => Promise<void>) => {
	const {runtime, clusterView, emit} = context;
	const {members, activeConfiguration} = clusterView;

	const createSlotContext = (role: RoleName, slot: string): SlotContext => ({
		runtime,
		store: context.store,
		lease: context.lease,
		takeoverPromises: context.takeoverPromises,
		self: {vm: context.vm, incarnation: context.incarnation},
		slot,
		rankCandidates: () => context.isDraining() ? [] : clusterView.rankLiveVms(`role/${slot}`),
		requestPromise: async (candidate, request) => context.requestPromise(candidate.vm, request),
		hasRunEnded(candidate) {
			const member = members.get(candidate.vm);
			return member?.state === 'gone' || (member !== undefined && member.incarnation !== '' && member.incarnation !== candidate.incarnation);
		},
		runAsHolder: context.runAsHolder[role],
		onGained(slotName, epoch) {
			emit(EVENTS.roleGained, {slot: slotName, epoch});
		},
		onLost(slotName, epoch) {
			emit(EVENTS.roleLost, {slot: slotName, epoch});
		},
		onExtended(slotName, by) {
			emit(EVENTS.roleExtended, {slot: slotName, by});
		},
	});

	const listSlots = (): ReadonlyArray<readonly [RoleName, string]> => {
		const slotCounts = activeConfiguration.getInventory()?.fleet;
		const roles: ReadonlyArray<readonly [RoleName, number]> = [['steward', slotCounts?.stewardSlots ?? 0], ['keeper', slotCounts?.keeperSlots ?? 0]];
		return roles.flatMap(([role, slotCount]) => Array.from({length: slotCount}, (_, slotNumber) => [role, formatSlotName(role, slotNumber)] as const));
	};

	return async signal => {
		const startedSlots = new Set<string>();
		while (!signal.aborted) {
			for (const [role, slot] of listSlots()) {
				if (!startedSlots.has(slot)) {
					startedSlots.add(slot);
					context.scope.run(async slotSignal => runSlot(createSlotContext(role, slot), slotSignal));
				}
			}

			await runtime.sleep(CHECK_INTERVAL_MS, signal);
		}
	};
};
