/** Authorizes callers by the active configuration. */

import {
	brandId, Err, Ok, type CustomerId, type Result,
} from '@guavapitch/core';
import type {Authorization} from '@guavapitch/callers';
import {
	createRefusal, type StatementOutcome, type StatementRefusalCode, type StatementRequest, type StatementResponse,
} from '@guavapitch/sessions';
import type {Configuration} from './configuration.js';
import type {VmSettings} from './context.js';
import {computeAllowedRegions} from './regions.js';

/** Retry time of a request whose configuration allows no region, in milliseconds: operators have to change it. */
export const REGION_RETRY_MS = 5000;

/** Creates the response to a statement that is refused at its entry. */
export const createLocalRefusal = ({transaction}: StatementRequest, code: StatementRefusalCode, reason: string, retryAfterMs: number): StatementResponse => ({
	outcome: createRefusal(code, reason, retryAfterMs), status: transaction ? 'failed' : 'idle', position: undefined, target: undefined, waitedMs: 0,
});

/** Checks that a service exists and that a key may use it; fails with the refusal for the caller. */
export const checkCaller = (
	configuration: Configuration | undefined,
	settings: Pick<VmSettings, 'region' | 'regions'>,
	service: string,
	key: string,
): Result<Authorization, StatementOutcome> => {
	const route = configuration?.routes.get(service);
	if (!configuration || !route) {
		return Err(createRefusal(configuration ? 'noDatabase' : 'busy', configuration ? 'no route is configured for this service' : 'this vm has not received the configuration yet'));
	}

	const customer = configuration.customersByKey.get(key) ?? (route.isPublic ? brandId<CustomerId>('-') : undefined);
	return customer === undefined
		? Err(createRefusal('noKey', 'the key is unknown'))
		: Ok({route, customer, allowedRegions: computeAllowedRegions(configuration, settings, route, customer)});
};
