/** Membership of the fleet: tracks which vms are alive from pings, gossip, and a suspicion timeout before a vm is declared dead. */

import {
	createDeadline, isPast, NEVER, type DataCentreId, type Deadline, type VmId, type Runtime,
} from '@guavapitch/core';

/** Address and data centre of a vm according to the platform's list. */
export type VmEntry = Readonly<{
	vm: VmId;
	dataCentre: DataCentreId;
	/** Address for the protocol between vms. */
	host: string;
	port: number;
	/** State in the platform's list, which lags behind. */
	state: 'live' | 'leaving' | 'gone';
}>;

/** Status of a vm as its peers see it. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

/** Gossip update: what one vm reports of another. */
export type MemberUpdate = Readonly<{
	vm: VmId;
	/** Identifier of the run of the process; empty before the first contact. */
	incarnation: string;
	/** Version of the update within a run. A vm refutes a false update about itself by one with a higher version. */
	version: number;
	status: MemberStatus;
}>;

/** A vm with its entry in the list and its status. */
export type Member = VmEntry & MemberUpdate;

/** Members of the fleet as one process sees them. */
export type Members = Readonly<{
	/** Applies the platform's list of vms; a vm that is missing from it keeps its last entry. */
	applyVmList: (entries: readonly VmEntry[]) => void;
	/** Applies updates that a peer sent. */
	applyUpdates: (updates: readonly MemberUpdate[]) => void;
	/** Records that a vm responded; a suspected or dead one counts as alive again. */
	recordResponse: (vm: VmId, incarnation: string) => void;
	/** Records that a vm did not respond; if it counted as alive, it becomes a suspect. */
	recordTimeout: (vm: VmId) => void;
	/** Declares suspects dead whose suspicion timeout has passed. */
	expireSuspects: () => void;
	/** Marks this vm as leaving, which its peers learn by gossip. */
	markLeaving: () => void;
	/** Returns a member; `undefined` if the vm has never been in the list. */
	get: (vm: VmId) => Member | undefined;
	/** Returns the vms that may be given work: those that the list shows as live and that are alive or suspected. Includes this one, unless it is leaving. */
	getLive: (dataCentre?: DataCentreId) => readonly Member[];
	/** Returns this vm and all others that the list has contained. */
	getAll: () => readonly Member[];
	/** Returns a number that grows whenever the result of `getLive` may have changed. */
	getVersion: () => number;
	/** Chooses the updates to send with the next message and counts them as sent. */
	chooseUpdates: () => readonly MemberUpdate[];
}>;

/** The vm of this process. */
export type LocalMember = VmEntry & Readonly<{incarnation: string}>;

type MemberState = {
	entry: VmEntry;
	update: MemberUpdate;
	suspectUntil: Deadline;
	/** Number of messages that this update is still sent with. */
	remainingTransmissions: number;
};

/** Time that a suspect has to respond or to refute the suspicion before it is declared dead, in milliseconds. */
const SUSPICION_TIMEOUT_MS = 600;
/** Number of messages that an update is sent with. */
const MAX_TRANSMISSIONS = 8;
/** Maximum number of updates about other vms in one message; the update about this vm is always sent. */
const MAX_UPDATES_PER_MESSAGE = 12;
/** Precedence of updates with the same version; the one with the higher number replaces the other. */
const STATUS_PRECEDENCE: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

const isNewer = (update: MemberUpdate, current: MemberUpdate): boolean => {
	if (update.incarnation !== current.incarnation && current.incarnation !== '') {
		// The update is about another run of the process. That run counts as newer if it is alive: it announced itself or was seen by another vm.
		return update.status === 'alive';
	}

	return update.version > current.version || (update.version === current.version && STATUS_PRECEDENCE[update.status] > STATUS_PRECEDENCE[current.status]);
};

/** Creates the members, with only this vm. Calls `onChange` when the status of another vm changes and when its run is first known. */
export const createMembers = (self: LocalMember, runtime: Runtime, onChange: (member: Member, previousStatus: MemberStatus | undefined) => void): Members => {
	const states = new Map<VmId, MemberState>();
	let localUpdate: MemberUpdate = {
		vm: self.vm, incarnation: self.incarnation, version: 1, status: 'alive',
	};

	let changeCount = 0;

	const applyUpdate = (state: MemberState, update: MemberUpdate) => {
		changeCount++;
		const previousStatus = state.update.status;
		const isFirstContact = state.update.incarnation === '' && update.incarnation !== '';
		state.update = update;
		state.remainingTransmissions = MAX_TRANSMISSIONS;
		state.suspectUntil = update.status === 'suspect' ? createDeadline(runtime.now(), SUSPICION_TIMEOUT_MS) : NEVER;
		if (previousStatus !== update.status || isFirstContact) {
			onChange({...state.entry, ...update}, previousStatus);
		}
	};

	const refute = (update: MemberUpdate) => {
		if (update.incarnation === self.incarnation && update.status !== 'alive' && update.version >= localUpdate.version && localUpdate.status === 'alive') {
			localUpdate = {...localUpdate, version: update.version + 1};
		}
	};

	const getLocal = (): Member => ({...self, ...localUpdate});
	const getMember = (state: MemberState): Member => ({...state.entry, ...state.update});

	return {
		getVersion: () => changeCount,
		applyVmList(entries) {
			changeCount++;
			for (const entry of entries) {
				if (entry.vm === self.vm) {
					continue;
				}

				const existing = states.get(entry.vm);
				if (existing) {
					existing.entry = entry;
				} else {
					states.set(entry.vm, {
						entry,
						update: {
							vm: entry.vm, incarnation: '', version: 0, status: 'alive',
						},
						suspectUntil: NEVER,
						remainingTransmissions: 0,
					});
				}
			}
		},
		applyUpdates(updates) {
			for (const update of updates) {
				if (update.vm === self.vm) {
					refute(update);
					continue;
				}

				const state = states.get(update.vm);
				if (state && isNewer(update, state.update)) {
					applyUpdate(state, update);
				}
			}
		},
		recordResponse(vm, incarnation) {
			const state = states.get(vm);
			if (!state) {
				return;
			}

			const {update} = state;
			if (update.incarnation !== incarnation) {
				applyUpdate(state, {
					vm, incarnation, version: 1, status: 'alive',
				});
			} else if (update.status === 'suspect' || update.status === 'dead') {
				applyUpdate(state, {...update, version: update.version + 1, status: 'alive'});
			}
		},
		recordTimeout(vm) {
			const state = states.get(vm);
			if (state?.update.status === 'alive') {
				applyUpdate(state, {...state.update, status: 'suspect'});
			}
		},
		expireSuspects() {
			for (const state of states.values()) {
				if (state.update.status === 'suspect' && isPast(state.suspectUntil, runtime.now())) {
					applyUpdate(state, {...state.update, status: 'dead'});
				}
			}
		},
		markLeaving() {
			changeCount++;
			localUpdate = {...localUpdate, version: localUpdate.version + 1, status: 'leaving'};
		},
		get: vm => vm === self.vm ? getLocal() : [states.get(vm)].filter(state => state !== undefined).map(state => getMember(state))[0],
		getLive(dataCentre) {
			return [getLocal(), ...[...states.values()].map(state => getMember(state))]
				.filter(member => (member.status === 'alive' || member.status === 'suspect') && member.state === 'live')
				.filter(member => dataCentre === undefined || member.dataCentre === dataCentre);
		},
		getAll: () => [getLocal(), ...[...states.values()].map(state => getMember(state))],
		chooseUpdates() {
			const updates: MemberUpdate[] = [localUpdate];
			const pendingStates = [...states.values()]
				.filter(state => state.remainingTransmissions > 0)
				.toSorted((a, b) => b.remainingTransmissions - a.remainingTransmissions)
				.slice(0, MAX_UPDATES_PER_MESSAGE);
			for (const state of pendingStates) {
				state.remainingTransmissions--;
				updates.push(state.update);
			}

			return updates;
		},
	};
};
