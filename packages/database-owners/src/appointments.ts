/** Appointments of primaries: which target was last ordered to lead a database, and proofs that it has not been replaced since. */

import {
	createDeadline, createSingleFlight, isPast, PAST, type Deadline, type Failure, type Result, type Runtime, type TargetId,
} from '@guavapitch/core';

/** Record of the target that was last ordered to lead a database. It is written to the store before the order is sent. */
export type Appointment = Readonly<{target: TargetId; fencingToken: number}>;

/** Outcome of the check of a proof: whether another target was appointed, or that neither the failover coordinator nor the store responded. */
export type LeadCheck = 'unchanged' | 'changed' | 'unreadable';

/** Proof that a target has not been replaced while work was sent to it. */
export type LeadProof = Readonly<{
	/** Tells without a request to the store whether the proof holds up to this call. */
	isCertain: () => boolean;
	/** Resolves to whether another target was appointed between the start of the proof and this call. */
	check: () => Promise<LeadCheck>;
	/** Resolves to whether no other target was appointed between the start of the proof and this call. */
	confirm: () => Promise<boolean>;
}>;

/** Appointments of one database, as its owner uses them. */
export type Appointments = Readonly<{
	/** Tells whether the appointment decides which target leads; otherwise a target that was replaced refuses work itself. */
	isDecisive: boolean;
	/** Returns the target that was appointed last, according to this vm; `undefined` if none is known. */
	getAppointed: () => TargetId | undefined;
	/** Starts a proof for work that is about to be sent to a target. */
	startProof: (target: TargetId) => LeadProof;
	/** Tells whether a proof can be expected to succeed now. */
	canConfirm: () => boolean;
}>;

/** Dependencies of the appointments of a database. */
export type AppointmentsContext = Readonly<{
	runtime: Runtime;
	/** Returns the record as this vm knows it. */
	getRecord: () => Appointment | undefined;
	/** Reads the record with every change that was completed before the call, from the failover coordinator or from the store. */
	readRecord: () => Promise<Result<Appointment | undefined, Failure>>;
	/** Tells whether this vm alone may change the record now, and is not changing it; `getRecord` is then up to date. */
	isAuthorized: () => boolean;
}>;

/** Time after a failed read of the record during which no further proof is expected to succeed, in milliseconds. */
const FAILURE_PAUSE_MS = 300;

const CERTAIN_PROOF: LeadProof = {isCertain: () => true, check: async () => 'unchanged', confirm: async () => true};

/** Appointments where a target refuses work itself once another one has been promoted, so that its acceptance is the proof. */
export const SELF_FENCING_APPOINTMENTS: Appointments = {
	isDecisive: false,
	getAppointed: () => undefined,
	startProof: () => CERTAIN_PROOF,
	canConfirm: () => true,
};

const isSameAppointment = (a: Appointment | undefined, b: Appointment | undefined): boolean => a?.target === b?.target && a?.fencingToken === b?.fencingToken;

/**
 * Creates the appointments of a database whose targets go on leading after they were replaced.
 * The failover coordinator proves that a target leads by its own authority; any other vm reads the record again
 * after the target has replied, from the coordinator or the store, as no order is sent before the record names its target.
 */
export const createAppointments = (context: AppointmentsContext): Appointments => {
	const {runtime, getRecord, isAuthorized} = context;
	let pausedUntil: Deadline = PAST;

	const readRecord = createSingleFlight(async () => {
		const read = await context.readRecord();
		pausedUntil = read.ok ? PAST : createDeadline(runtime.now(), FAILURE_PAUSE_MS);
		return read;
	});

	return {
		isDecisive: true,
		getAppointed: () => getRecord()?.target,
		startProof(target) {
			const record = getRecord();
			const isUnchanged = () => record?.target === target && isSameAppointment(record, getRecord());
			const check = async (): Promise<LeadCheck> => {
				if (!isUnchanged() || isAuthorized()) {
					return isUnchanged() ? 'unchanged' : 'changed';
				}

				const read = await readRecord();
				if (read.err) {
					return 'unreadable';
				}

				return isSameAppointment(record, read.val) ? 'unchanged' : 'changed';
			};

			return {
				isCertain: () => isAuthorized() && isUnchanged(),
				check,
				confirm: async () => await check() === 'unchanged',
			};
		},
		canConfirm() {
			if (getRecord() === undefined) {
				return false;
			}

			if (isAuthorized() || pausedUntil === PAST) {
				return true;
			}

			if (isPast(pausedUntil, runtime.now())) {
				// Work is refused until a read succeeds, as its outcome would otherwise remain unknown.
				pausedUntil = createDeadline(runtime.now(), FAILURE_PAUSE_MS);
				void readRecord();
			}

			return false;
		},
	};
};
