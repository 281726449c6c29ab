/** Sends statements to the home of their database. */

import {
	getRemainingMs, isPast, type DatabaseId, type Deadline, type Result, type VmId, type World,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import type {Member} from './members.js';
import type {CallFailure} from './peer-client.js';

/** What sending needs. */
export type StatementRouterContext = Readonly<{
	world: World;
	self: VmId;
	rankOwners: (database: DatabaseId) => readonly Member[];
	isUsable: (vm: VmId) => boolean;
	callOwner: (member: Member, request: StatementRequest, timeoutMs: number) => Promise<Result<StatementResponse, CallFailure>>;
	serveLocally: (request: StatementRequest) => Promise<StatementResponse>;
	rollBackAt: (member: Member | undefined, database: DatabaseId, transaction: string) => void;
	onRetried: (request: StatementRequest, owner: VmId, reason: string) => void;
}>;

/** Routing of one entry. */
export type StatementRouter = Readonly<{
	run: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
	rollBack: (database: DatabaseId, transaction: string) => void;
}>;

/** Allowance for the way back of an answer that a home gives at the deadline, in milliseconds. */
const RETURN_MS = 100;
/** Homes tried for one statement. */
const MOST_HOMES = 4;
/** Time after which a caller should come back when no home can be reached, in milliseconds. */
const HOME_RETRY_MS = 300;

const createAnswer = (outcome: StatementOutcome, status: StatementResponse['status']): StatementResponse => ({
	outcome, status, position: undefined, target: undefined, waitedMs: 0,
});

/** Judges a statement whose home was lost; `undefined` if it may run again elsewhere. */
export const judgeLostStatement = (request: StatementRequest, reason: string): StatementResponse | undefined => {
	const access = getAccess(request.statement);
	if (request.transaction && access !== 'commit') {
		// The home rolls back what it does not hear of again, and nobody sends the commit.
		return createAnswer(createRefusal('aborted', `the home of the transaction was lost: ${reason}`), 'failed');
	}

	return access === 'read'
		? undefined
		: createAnswer({kind: 'unknown', reason: `the home was lost during a ${access}: ${reason}`}, 'idle');
};

/** Creates the routing of an entry. */
export const createStatementRouter = (context: StatementRouterContext): StatementRouter => {
	const {world, self} = context;
	/** Homes of open transactions; no member for this vm itself. */
	const homes = new Map<string, Member | undefined>();

	const callAt = async (member: Member | undefined, request: StatementRequest, deadline: Deadline): Promise<Result<StatementResponse, CallFailure> | StatementResponse> => {
		const remainingMs = getRemainingMs(deadline, world.now());
		const timed = {...request, remainingMs};
		return member ? context.callOwner(member, timed, remainingMs + RETURN_MS) : context.serveLocally(timed);
	};

	const noteTransaction = (request: StatementRequest, member: Member | undefined, answer: StatementResponse) => {
		const id = request.transaction?.id;
		if (id !== undefined) {
			if (answer.status === 'open') {
				homes.set(id, member);
			} else {
				homes.delete(id);
			}
		}
	};

	const runAt = async (member: Member | undefined, request: StatementRequest, deadline: Deadline): Promise<StatementResponse | 'elsewhere'> => {
		const result = await callAt(member, request, deadline);
		if (!('ok' in result)) {
			noteTransaction(request, member, result);
			return result;
		}

		if (result.ok) {
			noteTransaction(request, member, result.val);
			return result.val;
		}

		if (result.val.code === 'notSent') {
			return 'elsewhere';
		}

		const judged = judgeLostStatement(request, result.val.message);
		if (judged) {
			noteTransaction(request, member, judged);
		}

		return judged ?? 'elsewhere';
	};

	const continueAtHome = async (id: string, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const member = homes.get(id);
		const answer = await runAt(member, request, deadline);
		if (answer !== 'elsewhere') {
			return answer;
		}

		homes.delete(id);
		return createAnswer(createRefusal('aborted', 'the home of the transaction cannot be reached'), request.statement.kind === 'commit' ? 'idle' : 'failed');
	};

	const runAnywhere = async (request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const ranked = context.rankOwners(request.database);
		const usable = ranked.filter(({vm}) => vm === self || context.isUsable(vm));
		for (const member of usable.slice(0, MOST_HOMES)) {
			if (isPast(deadline, world.now())) {
				break;
			}

			const answer = await runAt(member.vm === self ? undefined : member, request, deadline);
			if (answer !== 'elsewhere') {
				return answer;
			}

			context.onRetried(request, member.vm, 'the home cannot be reached');
		}

		return createAnswer(createRefusal('busy', 'no home of the database can be reached', HOME_RETRY_MS), request.transaction ? 'failed' : 'idle');
	};

	return {
		async run(request, deadline) {
			const id = request.transaction?.id;
			return id !== undefined && homes.has(id)
				? continueAtHome(id, request, deadline)
				: runAnywhere(request, deadline);
		},
		rollBack(database, transaction) {
			if (homes.has(transaction)) {
				context.rollBackAt(homes.get(transaction), database, transaction);
				homes.delete(transaction);
			}
		},
	};
};
