/** Admits the statements that arrive at one entry vm: refuses what cannot be served, and sees to the token of each new operation. */

import {
	chooseEarliest, createDeadline, isPast, PAST, type CustomerId, type DatabaseId, type Deadline, type Result,
} from '@guavapitch/core';
import {createRefusalCache, type QuotaRefusal} from '@guavapitch/limits';
import type {StatementRequest, StatementResponse} from '@guavapitch/sessions';
import {createLocalRefusal, REGION_RETRY_MS} from './authorization.js';
import type {VmContext} from './context.js';
import {runWithinBudget} from './work-memory.js';

/** Dependencies of the admission of statements. */
export type StatementAdmissionContext = Readonly<{
	countVms: () => number;
	/** Returns the version of the active configuration. */
	getVersion: () => number | undefined;
	/** Acquires a token of a customer's quota at this vm. */
	acquireToken: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, QuotaRefusal>>;
	/** Runs a statement at the owner of its database. */
	route: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
}>;

/** Time for which this vm acquires tokens itself after an owner had no quota allocator, in milliseconds. */
const UNALLOCATED_MS = 250;

const isNewOperation = ({transaction}: StatementRequest): boolean => !transaction || transaction.isFirst;

/** Creates the function that admits a statement and runs it at the owner of its database. */
export const createStatementAdmission = ({runtime, metrics, workBudget}: Pick<VmContext, 'runtime' | 'metrics' | 'workBudget'>, context: StatementAdmissionContext) => {
	const refusalCache = createRefusalCache(runtime, context.countVms, context.getVersion);
	/** Until when the owner of a database counts as having no quota allocator. */
	const unallocatedUntil = new Map<DatabaseId, Deadline>();

	const recordRefusal = (request: StatementRequest, response: StatementResponse): StatementResponse => {
		if (response.outcome.kind === 'refused' && response.outcome.code === 'overShare') {
			refusalCache.recordRefusal(request.database, request.customer, response.outcome.retryAfterMs);
		}

		return response;
	};

	/** Acquires a token here and runs a statement with it, because the owner of its database has no quota allocator. */
	const runWithOwnToken = async (request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const token = await context.acquireToken(request.customer, chooseEarliest([deadline, createDeadline(runtime.now(), request.promptMs)]));
		return token.ok
			? context.route({...request, isTokenAcquired: true}, deadline)
			: createLocalRefusal(request, 'overShare', token.val.message, token.val.retryAfterMs);
	};

	/** Runs a statement at the owner of its database; the token of a new operation comes from the owner's quota allocator, or from this vm if the owner has none. */
	const runWithToken = async (request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		if (isNewOperation(request) && !isPast(unallocatedUntil.get(request.database) ?? PAST, runtime.now())) {
			return runWithOwnToken(request, deadline);
		}

		const response = await context.route(request, deadline);
		if (!response.isUnallocated) {
			return recordRefusal(request, response);
		}

		unallocatedUntil.set(request.database, createDeadline(runtime.now(), UNALLOCATED_MS));
		return runWithOwnToken(request, deadline);
	};

	/** Runs a statement at the owner of its database, unless that owner has recently refused the customer because of its quota; it is then refused here. */
	return async (request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		metrics.count('statements');
		if (request.allowedRegions?.length === 0) {
			return createLocalRefusal(request, 'busy', 'no region is allowed for the route and the customer, or one of those named is unknown', REGION_RETRY_MS);
		}

		const retryAfterMs = isNewOperation(request) ? refusalCache.getRetryAfterMs(request.database, request.customer) : undefined;
		if (retryAfterMs !== undefined) {
			metrics.count('held');
			return createLocalRefusal(request, 'overShare', 'The customer has used its rate and burst', retryAfterMs);
		}

		return runWithinBudget(workBudget, request, async affordable => runWithToken(affordable, deadline));
	};
};
