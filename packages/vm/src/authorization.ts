/** Authorizes callers by the active configuration. */

import {
	brandId, Err, Ok, type CustomerId, type Result,
} from '@guavapitch/core';
import type {Authorization} from '@guavapitch/callers';
import {createRefusal, type StatementOutcome} from '@guavapitch/sessions';
import type {Configuration} from './configuration.js';

/** Checks that a service exists and that a key may use it; fails with the refusal for the caller. */
export const checkCaller = (configuration: Configuration | undefined, service: string, key: string): Result<Authorization, StatementOutcome> => {
	const route = configuration?.routes.get(service);
	if (!configuration || !route) {
		return Err(createRefusal(configuration ? 'noDatabase' : 'busy', configuration ? 'no route is configured for this service' : 'this vm has not received the configuration yet'));
	}

	const customer = configuration.customersByKey.get(key);
	if (customer) {
		return Ok({route, customer});
	}

	return route.isPublic
		? Ok({route, customer: brandId<CustomerId>('-')})
		: Err(createRefusal('noKey', 'the key is unknown'));
};
