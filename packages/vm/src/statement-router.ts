/** Routes statements to the owner of their database. */

import {
	Err, getRemainingMs, isPast, type DatabaseId, type DataCentreId, type Deadline, type Instant, type Result, type VmId, type Runtime,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import type {KnownPositions} from './known-positions.js';
import type {Member} from './members.js';
import type {CallFailure} from './peer-client.js';

/** Dependencies of the statement router. */
export type StatementRouterContext = Readonly<{
	runtime: Runtime;
	/** Reads the clock that keeps running while the process is suspended. */
	readSuspensionClock: () => Instant;
	self: VmId;
	/** Positions that owners reported; another owner can serve reads with them before it has asked the leader. */
	knownPositions: KnownPositions;
	rankOwners: (database: DatabaseId) => readonly Member[];
	isUsable: (vm: VmId) => boolean;
	/** Tells whether vms of a data centre should be called. */
	isReachable: (dataCentre: DataCentreId) => boolean;
	/** Registers a callback for the moment at which a data centre becomes unreachable; returns a function that removes it. */
	onUnreachable: (dataCentre: DataCentreId, callback: () => void) => (() => void);
	callOwner: (member: Member, request: StatementRequest, timeoutMs: number) => Promise<Result<StatementResponse, CallFailure>>;
	serveLocally: (request: StatementRequest) => Promise<StatementResponse>;
	/** Rolls a transaction back at an owner; `undefined` stands for this vm itself. */
	rollBackAt: (member: Member | undefined, database: DatabaseId, transaction: string) => void;
	/** Called when an owner could not be reached, or was lost during a read; the next owner in the ranking is then tried. */
	onRetry: (request: StatementRequest, owner: VmId, reason: string) => void;
}>;

/** Routes the statements that arrive at one entry vm. */
export type StatementRouter = Readonly<{
	/** Runs a statement at the owner that holds its transaction, otherwise at the best-ranked owner that can be reached. */
	run: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
	/** Rolls a transaction back at the owner that holds it; does nothing if no owner holds it. */
	rollBack: (database: DatabaseId, transaction: string) => void;
}>;

/** Time allowed for the transit of a response that an owner sends at the deadline, in milliseconds. */
const RESPONSE_TRANSIT_MS = 100;
/** Maximum number of owners at which one statement is tried. */
const MAX_OWNERS_TRIED = 4;
/** Time after which a caller should retry when no owner can be reached, in milliseconds. */
const NO_OWNER_RETRY_MS = 300;

const createResponse = (outcome: StatementOutcome, status: StatementResponse['status']): StatementResponse => ({
	outcome, status, position: undefined, target: undefined, waitedMs: 0,
});

/** Creates the response to a statement whose owner was lost; returns `undefined` if the statement may run again at another owner. */
export const createLossResponse = (request: StatementRequest, reason: string): StatementResponse | undefined => {
	const access = getAccess(request.statement);
	if (request.transaction && access !== 'commit') {
		// The owner rolls back a transaction that gets no further statements, and no commit will be sent.
		return createResponse(createRefusal('aborted', `the transaction is rolled back because its database owner was lost: ${reason}`), 'failed');
	}

	return access === 'read'
		? undefined
		: createResponse({kind: 'unknown', reason: `the database owner was lost during a ${access}, which may have taken effect: ${reason}`}, 'idle');
};

/** Tells whether it is known without the owner's response that nothing of a statement is kept. */
const isWithoutEffect = (request: StatementRequest): boolean => {
	const access = getAccess(request.statement);
	return request.transaction ? access !== 'commit' : access === 'read';
};

/** Creates the statement router of an entry vm. */
export const createStatementRouter = (context: StatementRouterContext): StatementRouter => {
	const {runtime, self} = context;
	/** Owners of open transactions by transaction identifier; `undefined` stands for this vm itself. */
	const transactionOwners = new Map<string, Member | undefined>();

	const callAt = async (member: Member | undefined, request: StatementRequest, deadline: Deadline): Promise<Result<StatementResponse, CallFailure> | StatementResponse> => {
		const remainingMs = getRemainingMs(deadline, runtime.now());
		const timedRequest = {...request, remainingMs, verified: context.knownPositions.get(request.database, member?.vm ?? self)};
		if (!member) {
			return context.serveLocally(timedRequest);
		}

		const response = context.callOwner(member, timedRequest, remainingMs + RESPONSE_TRANSIT_MS);
		return isWithoutEffect(request) ? abandonIfUnreachable(member, response) : response;
	};

	/** Ends a call as lost when the data centre of the owner becomes unreachable; its response is then ignored. */
	const abandonIfUnreachable = async (member: Member, response: Promise<Result<StatementResponse, CallFailure>>): Promise<Result<StatementResponse, CallFailure>> => {
		let unsubscribe: (() => void) | undefined;
		const abandoned = new Promise<Result<StatementResponse, CallFailure>>(resolve => {
			unsubscribe = context.onUnreachable(member.dataCentre, () => {
				resolve(Err({code: 'lost', message: 'the data centre of the database owner is unreachable'}));
			});
		});
		try {
			return await Promise.race([response, abandoned]);
		} finally {
			unsubscribe?.();
		}
	};

	const recordTransaction = (request: StatementRequest, member: Member | undefined, response: StatementResponse) => {
		const id = request.transaction?.id;
		if (id !== undefined) {
			if (response.status === 'open') {
				transactionOwners.set(id, member);
			} else {
				transactionOwners.delete(id);
			}
		}
	};

	const runAt = async (member: Member | undefined, request: StatementRequest, deadline: Deadline): Promise<StatementResponse | 'elsewhere'> => {
		const sentAt = context.readSuspensionClock();
		const result = await callAt(member, request, deadline);
		const response = 'ok' in result ? (result.ok ? result.val : undefined) : result;
		if (response?.verified) {
			context.knownPositions.record(request.database, member?.vm ?? self, sentAt, response.verified);
		}

		if (!('ok' in result)) {
			recordTransaction(request, member, result);
			return result;
		}

		if (result.ok) {
			recordTransaction(request, member, result.val);
			return result.val;
		}

		if (result.val.code === 'notSent') {
			return 'elsewhere';
		}

		const lossResponse = createLossResponse(request, result.val.message);
		if (lossResponse) {
			recordTransaction(request, member, lossResponse);
		}

		return lossResponse ?? 'elsewhere';
	};

	const continueAtOwner = async (id: string, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const member = transactionOwners.get(id);
		const response = await runAt(member, request, deadline);
		if (response !== 'elsewhere') {
			return response;
		}

		transactionOwners.delete(id);
		return createResponse(createRefusal('aborted', 'the transaction is rolled back because its database owner cannot be reached'), request.statement.kind === 'commit' ? 'idle' : 'failed');
	};

	const runAtAnyOwner = async (request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		// Every vm of an unreachable data centre would be tried in vain until it counts as lost itself.
		const isCallable = ({vm, dataCentre}: Member) => vm === self || (context.isUsable(vm) && context.isReachable(dataCentre));
		const triedVms = new Set<VmId>();
		while (triedVms.size < MAX_OWNERS_TRIED && !isPast(deadline, runtime.now())) {
			const member = context.rankOwners(request.database).find(candidate => !triedVms.has(candidate.vm) && isCallable(candidate));
			if (!member) {
				break;
			}

			triedVms.add(member.vm);
			const response = await runAt(member.vm === self ? undefined : member, request, deadline);
			if (response !== 'elsewhere') {
				return response;
			}

			context.onRetry(request, member.vm, 'the database owner cannot be reached');
		}

		return createResponse(createRefusal('busy', 'no owner of the database can be reached', NO_OWNER_RETRY_MS), request.transaction ? 'failed' : 'idle');
	};

	return {
		async run(request, deadline) {
			const id = request.transaction?.id;
			return id !== undefined && transactionOwners.has(id)
				? continueAtOwner(id, request, deadline)
				: runAtAnyOwner(request, deadline);
		},
		rollBack(database, transaction) {
			if (transactionOwners.has(transaction)) {
				context.rollBackAt(transactionOwners.get(transaction), database, transaction);
				transactionOwners.delete(transaction);
			}
		},
	};
};
