/** Targets of a database and the functions by which a home reaches them, without an encoding. */

import type {
	CustomerId, DatabaseId, DataCentreId, Deadline, Failure, Result, TargetId, TransactionStatus,
} from '@guavapitch/core';
import type {LogPosition, PreparedDefinition, TargetStatement} from '@guavapitch/sessions';

/** Role that a target says it has. */
export type TargetRole = 'primary' | 'replica';

/** A target as the registry describes it. */
export type Target = Readonly<{
	id: TargetId;
	database: DatabaseId;
	host: string;
	port: number;
	dataCentre: DataCentreId;
	/** Statements it runs at the same time. */
	slots: number;
	/** Whether it is about to leave. */
	isDraining: boolean;
	role: TargetRole;
	/** Start of this run of the target, in milliseconds since 1970 by its own clock. */
	startedAtMs: number;
}>;

/** One thing to ask on a connection to a target. */
export type Command
	= | Readonly<{kind: 'statement'; id: string; statement: TargetStatement; preparedName: string; after: LogPosition | undefined}>
		| Readonly<{kind: 'begin'; readOnly: boolean; after: LogPosition | undefined}>
		| Readonly<{kind: 'rollback'}>
		| Readonly<{kind: 'reset'}>
		| Readonly<{kind: 'set'; name: string; value: string}>
		| Readonly<{kind: 'prepare'; name: string; prepared: PreparedDefinition}>
		| Readonly<{kind: 'status'}>
		/** Stops a replica from receiving until it is promoted or resumed. */
		| Readonly<{kind: 'pause'; term: number}>
		| Readonly<{kind: 'resume'}>;

/** Why a target refused or failed a command. */
export type TargetErrorCode = 'busy' | 'noStatement' | 'lagging' | 'readOnly' | 'failed' | 'timeout' | 'misrouted' | 'tooMany' | 'malformed' | 'other';

/** Answer to one command. */
export type Reply = Readonly<{
	result:
		| Readonly<{kind: 'done'; rows: readonly string[]; signature: string}>
		| Readonly<{kind: 'error'; code: TargetErrorCode; text: string}>;
	status: TransactionStatus;
	/** Position of the target's log. */
	position: LogPosition | undefined;
}>;

/** Answers to some commands; fewer than the commands when the connection ended before. */
export type Execution = Readonly<{
	replies: readonly Reply[];
	ended: 'no' | 'lost' | 'timeout';
}>;

/** State that a target reports of itself. */
export type TargetStatus = Readonly<{role: TargetRole; term: number; received: LogPosition; lagMs: number}>;

/** A connection to a target. After a time-out it is ended, since a late answer could not be told from the next one. */
export type TargetConnection = Readonly<{
	/** Sends commands together and collects their answers. */
	execute: (commands: readonly Command[], deadline: Deadline) => Promise<Execution>;
	isEnded: () => boolean;
	close: () => void;
}>;

/** Failure of opening a connection; nothing has run. */
export type DialFailure = Failure<'refused' | 'silent' | 'misrouted' | 'tooMany' | 'rejected'>;

/** Opens connections to targets. */
export type DialTarget = (target: Target, customer: CustomerId, deadline: Deadline) => Promise<Result<TargetConnection, DialFailure>>;

/** Reads the status out of a reply. */
export type ReadStatus = (reply: Reply) => TargetStatus | undefined;
