/** What a caller is authorized for, and whether a transaction may go on under it. */

import {
	Err, Ok, type CustomerId, type DatabaseId, type RegionId, type Result,
} from '@guavapitch/core';
import {createRefusal, type Consistency, type StatementOutcome} from '@guavapitch/sessions';

/** Configuration of the service that a session uses. */
export type Route = Readonly<{
	/** Name by which callers request the service. */
	service: string;
	database: DatabaseId;
	consistency: Consistency;
	/** Timeout of one statement, in milliseconds. */
	timeoutMs: number;
	/** Time within which a whole operation, a single statement or a transaction, should complete, in milliseconds. */
	latencyObjectiveMs: number;
	/** Statements with a smaller number run first. */
	priority: number;
	/** Whether callers need no key. */
	isPublic: boolean;
	/** Regions at whose targets requests may run; `undefined` if they may run at any. */
	allowedRegions: ReadonlySet<RegionId> | undefined;
}>;

/** Service and customer for which a session is authorized. */
export type Authorization = Readonly<{
	route: Route;
	customer: CustomerId;
	/** Regions at whose targets requests may run, according to the route and the customer; `undefined` if they may run at any. */
	allowedRegions?: readonly RegionId[] | undefined;
	/** Version of the configuration that decided it. */
	version: number;
}>;

const areRegionsNarrowed = (begun: Authorization['allowedRegions'], current: Authorization['allowedRegions']): boolean => current !== undefined
	&& (begun === undefined || begun.some(region => !current.includes(region)));

/**
 * Checks whether a transaction may go on, given what its caller is authorized for now on the route that the transaction began with; fails with the refusal that ends it.
 * The customer and its regions must still hold. Changes to the route apply from the next transaction on.
 */
export const checkContinuation = (begun: Authorization, current: Result<Authorization, StatementOutcome>): Result<undefined, StatementOutcome> => {
	if (current.err) {
		const {val: outcome} = current;
		return Err(outcome.kind === 'refused' && outcome.code === 'noKey'
			? outcome
			: createRefusal('aborted', `the transaction is rolled back because its caller is no longer authorized: ${'reason' in outcome ? outcome.reason : ''}`));
	}

	if (current.val.customer !== begun.customer) {
		return Err(createRefusal('aborted', 'the transaction is rolled back because the key of its caller now belongs to another customer'));
	}

	return areRegionsNarrowed(begun.allowedRegions, current.val.allowedRegions)
		? Err(createRefusal('aborted', 'the transaction is rolled back because its customer may no longer use all regions that it began with'))
		: Ok(undefined);
};
