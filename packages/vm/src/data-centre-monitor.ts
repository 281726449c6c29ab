/** Detects which other data centres a vm can reach none of the vms of. */

import {
	createDeadline, isPast, PAST, rankCandidates, type DataCentreId, type Deadline, type Runtime, type VmId,
} from '@guavapitch/core';
import type {Member} from './members.js';

/** Dependencies of a data centre monitor. */
export type DataCentreMonitorContext = Readonly<{
	runtime: Runtime;
	vm: VmId;
	dataCentre: DataCentreId;
	listMembers: () => readonly Member[];
	/** Sends a liveness probe to a vm; resolves to whether it answered in time. */
	ping: (member: Member, timeoutMs: number) => Promise<boolean>;
	/** Called when a data centre becomes unreachable, and when it answers again. */
	onChange: (dataCentre: DataCentreId, isReachable: boolean) => void;
}>;

/** Detects which data centres are unreachable, and whether all others are. */
export type DataCentreMonitor = Readonly<{
	/** To be called when a vm could not be reached or is silent; a vm of another data centre starts a check of its data centre. */
	handleSilence: (member: Member) => void;
	/** Tells whether vms of a data centre should be called; the own one always counts as reachable. */
	isReachable: (dataCentre: DataCentreId) => boolean;
	/** Tells whether every other data centre is unreachable. */
	isIsolated: () => boolean;
	/** Registers a callback for the moment at which a data centre becomes unreachable; returns a function that removes it. */
	onUnreachable: (dataCentre: DataCentreId, callback: () => void) => (() => void);
}>;

/** Number of vms probed in a data centre: several, as one of them may be down or busy. */
const PROBED_VMS = 3;
/** Timeout of a probe, in milliseconds: many times the delay between data centres, so that only busy vms answer later. */
const PROBE_TIMEOUT_MS = 350;
/** Pause between checks of an unreachable data centre, in milliseconds. */
const CHECK_INTERVAL_MS = 300;
/** Time for which a data centre that answered is not checked again, in milliseconds: single vms are often silent for a moment. */
const CHECKED_VALIDITY_MS = 300;

/** Creates a monitor to which every data centre counts as reachable. */
export const createDataCentreMonitor = (context: DataCentreMonitorContext): DataCentreMonitor => {
	const {runtime} = context;
	const unreachable = new Set<DataCentreId>();
	const checking = new Set<DataCentreId>();
	const checkedUntil = new Map<DataCentreId, Deadline>();
	const callbacksByDataCentre = new Map<DataCentreId, Set<() => void>>();

	const listOtherDataCentres = (): ReadonlySet<DataCentreId> => new Set(context.listMembers().map(({dataCentre}) => dataCentre).filter(dataCentre => dataCentre !== context.dataCentre));

	/** Chooses the vms to probe: always the same ones, so that few connections are opened, unless the members change. */
	const chooseProbedVms = (dataCentre: DataCentreId): readonly Member[] => {
		const members = new Map(context.listMembers().filter(member => member.dataCentre === dataCentre).map(member => [member.vm, member]));
		return rankCandidates(context.vm, [...members.keys()]).slice(0, PROBED_VMS).flatMap(vm => members.get(vm) ?? []);
	};

	const setReachable = (dataCentre: DataCentreId, isReachable: boolean) => {
		if (isReachable !== unreachable.has(dataCentre)) {
			return;
		}

		if (isReachable) {
			unreachable.delete(dataCentre);
		} else {
			unreachable.add(dataCentre);
		}

		context.onChange(dataCentre, isReachable);
		if (!isReachable) {
			for (const callback of callbacksByDataCentre.get(dataCentre) ?? []) {
				callback();
			}
		}
	};

	/** Tells whether any of the probed vms answers; a data centre without vms counts as reachable. */
	const probe = async (dataCentre: DataCentreId): Promise<boolean> => {
		const probedVms = chooseProbedVms(dataCentre);
		const pings = probedVms.map(async member => {
			if (!await context.ping(member, PROBE_TIMEOUT_MS)) {
				throw new Error('no answer');
			}
		});
		return probedVms.length === 0 || Promise.any(pings).then(() => true, () => false);
	};

	/** Probes a data centre, and repeats this until it answers. */
	const check = async (dataCentre: DataCentreId): Promise<void> => {
		checking.add(dataCentre);
		while (!await probe(dataCentre)) {
			if (!unreachable.has(dataCentre)) {
				setReachable(dataCentre, false);
				// Isolation of this data centre shows only when all others are checked.
				for (const other of listOtherDataCentres()) {
					startCheck(other);
				}
			}

			await runtime.sleep(CHECK_INTERVAL_MS);
		}

		setReachable(dataCentre, true);
		checkedUntil.set(dataCentre, createDeadline(runtime.now(), CHECKED_VALIDITY_MS));
		checking.delete(dataCentre);
	};

	const startCheck = (dataCentre: DataCentreId) => {
		if (!checking.has(dataCentre) && isPast(checkedUntil.get(dataCentre) ?? PAST, runtime.now())) {
			void check(dataCentre);
		}
	};

	return {
		handleSilence({dataCentre}) {
			if (dataCentre !== context.dataCentre) {
				startCheck(dataCentre);
			}
		},
		isReachable: dataCentre => !unreachable.has(dataCentre),
		isIsolated() {
			const others = listOtherDataCentres();
			return others.size > 0 && [...others].every(dataCentre => unreachable.has(dataCentre));
		},
		onUnreachable(dataCentre, callback) {
			const callbacks = callbacksByDataCentre.get(dataCentre) ?? new Set();
			callbacksByDataCentre.set(dataCentre, callbacks);
			callbacks.add(callback);
			return () => {
				callbacks.delete(callback);
			};
		},
	};
};
