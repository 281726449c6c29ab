/** Decisions of a database owner, for the logs and metrics. */

/** A decision of a database owner, for the logs and metrics; `requestId` and `target` are empty if it concerns none. `positionRefused`: a target reported a log position that no leader can have. For `transactionExpired`, `requestId` is the identifier of the transaction. */
export type DatabaseOwnerDecision = Readonly<{
	kind: 'placed' | 'retried' | 'refused' | 'lost' | 'unproven' | 'positionRefused' | 'leaderChanged' | 'targetFailing' | 'targetBack' | 'paceLimited' | 'paceRestored' | 'transactionExpired';
	requestId: string;
	customer?: string;
	target: string;
	reason: string;
	/** Age or waiting time that led to the decision, in milliseconds. */
	ageMs: number;
}>;
