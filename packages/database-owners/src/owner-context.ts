/** Dependencies of a database owner. */

import type {
	CustomerId, DatabaseId, DataCentreId, Deadline, Failure, Instant, Result, Runtime,
} from '@guavapitch/core';
import type {Appointments} from './appointments.js';
import type {KnownGroup} from './commit-proofs.js';
import type {DatabaseOwnerDecision} from './decisions.js';
import type {DialTarget, ReadStatus} from './targets.js';

/** Dependencies of a database owner. */
export type DatabaseOwnerContext = Readonly<{
	runtime: Runtime;
	/** Reads a clock that keeps running while the process or its machine is suspended. */
	readSuspensionClock: () => Instant;
	database: DatabaseId;
	dial: DialTarget;
	readStatus: ReadStatus;
	appointments: Appointments;
	/** Returns the deadline of the suspension clock after which nothing more may reach the targets of a data centre; `NEVER` unless it is evacuated. */
	getEvacuationDeadline: (dataCentre: DataCentreId) => Deadline;
	/** Tells whether the vms of a data centre can be reached from here. */
	isDataCentreReachable: (dataCentre: DataCentreId) => boolean;
	/** Returns the group of the database if a replica may hold an acknowledged commit alone and the appointments above do not decide; otherwise `undefined`. */
	getKnownGroup: () => KnownGroup | undefined;
	/** Returns how many connections each target accepts from all owners together. */
	getConnectionLimit: () => number;
	/** Returns the requests per second that this owner may send to a target whose caches are cold; `undefined` if they are not limited. */
	getColdLimit: () => number | undefined;
	/** Returns an instant of the suspension clock at which the known entries of the targets were certainly complete. */
	getTargetsCompleteAt: () => Instant;
	/** Returns a customer on whose connections the owner may send its own pings and status queries. */
	getAnyCustomer: () => CustomerId;
	/** Returns how long a transaction may stay idle, in milliseconds. */
	getIdleTransactionMs: () => number;
	/** Acquires one token of the customer's quota; fails with the time to wait if the customer has exceeded it. */
	acquireToken: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, Failure & Readonly<{retryAfterMs: number}>>>;
	onDecision: (decision: DatabaseOwnerDecision) => void;
}>;
