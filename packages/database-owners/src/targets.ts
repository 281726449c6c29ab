/** Targets of a database and the interface through which a database owner talks to them, independent of any encoding. */

import {
	PAST, type CustomerId, type DatabaseId, type DataCentreId, type Deadline, type Failure, type RegionId, type Result, type TargetId, type TransactionStatus,
} from '@guavapitch/core';
import type {LogPosition, PreparedDefinition, TargetStatement} from '@guavapitch/sessions';

/** Role that a target reports. */
export type TargetRole = 'primary' | 'replica';

/** A target, as listed in the registry. */
export type RegisteredTarget = Readonly<{
	id: TargetId;
	database: DatabaseId;
	host: string;
	port: number;
	dataCentre: DataCentreId;
	/** Number of statements that it runs concurrently. */
	slots: number;
	/** Whether it is about to be removed. */
	isDraining: boolean;
	role: TargetRole;
	/** When the target process was started, in milliseconds since 1970 by its own clock. */
	startedAtMs: number;
	/** How much longer its caches are cold, as of the time of its entry, in milliseconds; absent if the entry does not say. */
	coldRemainingMs?: number;
}>;

/** A registered target, and until when it accepts new work. */
export type Target = RegisteredTarget & Readonly<{
	/** Deadline of the suspension clock after which no statement outside a transaction, and no transaction, may begin on the target; `NEVER` unless it is leaving. */
	acceptsUntil: Deadline;
	/** Deadline of the suspension clock until which its caches count as cold, because it has started a short time ago; `PAST` if they do not. */
	coldUntil: Deadline;
	/** Region of its data centre; `undefined` if it is not known. */
	region: RegionId | undefined;
	/** Whether its data centre is evacuated: it must be replaced as primary, and gets no reads. */
	isEvacuated: boolean;
}>;

/** Describes a target that is reached although it need not be listed; no work begins on it. */
export const createUnlistedTarget = (target: RegisteredTarget): Target => ({
	...target, acceptsUntil: PAST, coldUntil: PAST, region: undefined, isEvacuated: false,
});

/** A command on a connection to a target. `after` is the minimum log position that the target must have reached. */
export type Command
	= | Readonly<{kind: 'statement'; id: string; statement: TargetStatement; preparedName: string; after: LogPosition | undefined}>
		| Readonly<{kind: 'begin'; readOnly: boolean; after: LogPosition | undefined}>
		| Readonly<{kind: 'rollback'}>
		| Readonly<{kind: 'reset'}>
		| Readonly<{kind: 'set'; name: string; value: string}>
		| Readonly<{kind: 'prepare'; name: string; prepared: PreparedDefinition}>
		| Readonly<{kind: 'status'}>
		/** Stops a replica from receiving the log until it is promoted or resumed; `term` is higher than every known one. */
		| Readonly<{kind: 'pause'; term: number}>
		| Readonly<{kind: 'resume'}>
		/** Makes a primary of a term below `term` a replica. */
		| Readonly<{kind: 'stepDown'; term: number}>;

/** Why a target refused a command or failed to run it; `tooLong` if it ran it, but the answer was too long to be kept. */
export type TargetErrorCode = 'busy' | 'noStatement' | 'lagging' | 'readOnly' | 'failed' | 'timeout' | 'misrouted' | 'tooMany' | 'malformed' | 'tooLong' | 'other';

/** Reply to one command; `signature` is the target's proof that it ran the command. */
export type Reply = Readonly<{
	result:
		| Readonly<{kind: 'done'; rows: readonly string[]; signature: string}>
		| Readonly<{kind: 'error'; code: TargetErrorCode; text: string}>;
	status: TransactionStatus;
	/** Log position of the target. */
	position: LogPosition | undefined;
}>;

/** Replies to a list of commands; fewer than the commands if the connection ended early, as `ended` tells. */
export type Execution = Readonly<{
	replies: readonly Reply[];
	ended: 'no' | 'lost' | 'timeout';
}>;

/** Status that a target reports; `received` is the position up to which it has received the log, `heldTerm` the term of a pause that holds, `lagMs` its replication lag. A replica is paused if `heldTerm` is above `term`. */
export type TargetStatus = Readonly<{role: TargetRole; term: number; received: LogPosition; heldTerm: number; lagMs: number}>;

/** A connection to a target. It ends after a timeout, since a late reply could be mistaken for the reply to the next command. */
export type TargetConnection = Readonly<{
	/** Sends commands as one batch and collects their replies. */
	execute: (commands: readonly Command[], deadline: Deadline) => Promise<Execution>;
	isEnded: () => boolean;
	close: () => void;
}>;

/** Failure to open a connection; nothing has run. `refused`: no connection was established; `silent`: no response before the deadline; `rejected`: the target refused the session; `unsendable`: it cannot be told a name, so nothing was sent. */
export type DialFailure = Failure<'refused' | 'silent' | 'misrouted' | 'tooMany' | 'rejected' | 'unsendable'>;

/** Opens a connection to a target. */
export type DialTarget = (target: Target, customer: CustomerId, deadline: Deadline) => Promise<Result<TargetConnection, DialFailure>>;

/** Reads the status from a reply; `undefined` if it contains none. */
export type ReadStatus = (reply: Reply) => TargetStatus | undefined;
