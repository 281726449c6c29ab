/** Sends statements to the home of their database. */

import {
	getRemainingMs, isPast, type DatabaseId, type Deadline, type Result, type VmId, type World,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type HomeAnswer, type HomeRequest, type Outcome,
} from '@guavapitch/sessions';
import type {Member} from './members.js';
import type {CallFailure} from './peers.js';

/** What sending needs. */
export type RoutingContext = Readonly<{
	world: World;
	self: VmId;
	rankHomes: (database: DatabaseId) => readonly Member[];
	isUsable: (vm: VmId) => boolean;
	callHome: (member: Member, request: HomeRequest, timeoutMs: number) => Promise<Result<HomeAnswer, CallFailure>>;
	serveHere: (request: HomeRequest) => Promise<HomeAnswer>;
	rollBackAt: (member: Member | undefined, database: DatabaseId, transaction: string) => void;
	onRetried: (request: HomeRequest, home: VmId, reason: string) => void;
}>;

/** Routing of one entry. */
export type Routing = Readonly<{
	run: (request: HomeRequest, deadline: Deadline) => Promise<HomeAnswer>;
	rollBack: (database: DatabaseId, transaction: string) => void;
}>;

/** Allowance for the way back of an answer that a home gives at the deadline, in milliseconds. */
const RETURN_MS = 100;
/** Homes tried for one statement. */
const MOST_HOMES = 4;
/** Time after which a caller should come back when no home can be reached, in milliseconds. */
const HOME_RETRY_MS = 300;

const createAnswer = (outcome: Outcome, status: HomeAnswer['status']): HomeAnswer => ({
	outcome, status, position: undefined, target: undefined, waitedMs: 0,
});

/** Judges a statement whose home was lost; `undefined` if it may run again elsewhere. */
export const judgeLost = (request: HomeRequest, reason: string): HomeAnswer | undefined => {
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
export const createRouting = (context: RoutingContext): Routing => {
	const {world, self} = context;
	/** Homes of open transactions; no member for this vm itself. */
	const homes = new Map<string, Member | undefined>();

	const callAt = async (member: Member | undefined, request: HomeRequest, deadline: Deadline): Promise<Result<HomeAnswer, CallFailure> | HomeAnswer> => {
		const remainingMs = getRemainingMs(deadline, world.now());
		const timed = {...request, remainingMs};
		return member ? context.callHome(member, timed, remainingMs + RETURN_MS) : context.serveHere(timed);
	};

	const noteTransaction = (request: HomeRequest, member: Member | undefined, answer: HomeAnswer) => {
		const id = request.transaction?.id;
		if (id !== undefined) {
			if (answer.status === 'open') {
				homes.set(id, member);
			} else {
				homes.delete(id);
			}
		}
	};

	const runAt = async (member: Member | undefined, request: HomeRequest, deadline: Deadline): Promise<HomeAnswer | 'elsewhere'> => {
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

		const judged = judgeLost(request, result.val.message);
		if (judged) {
			noteTransaction(request, member, judged);
		}

		return judged ?? 'elsewhere';
	};

	const continueAtHome = async (id: string, request: HomeRequest, deadline: Deadline): Promise<HomeAnswer> => {
		const member = homes.get(id);
		const answer = await runAt(member, request, deadline);
		if (answer !== 'elsewhere') {
			return answer;
		}

		homes.delete(id);
		return createAnswer(createRefusal('aborted', 'the home of the transaction cannot be reached'), request.statement.kind === 'commit' ? 'idle' : 'failed');
	};

	const runAnywhere = async (request: HomeRequest, deadline: Deadline): Promise<HomeAnswer> => {
		const ranked = context.rankHomes(request.database);
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
