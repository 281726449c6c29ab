/** Authorizes callers by the active configuration. */

import {
	brandId, Err, Ok, type CustomerId, type Result,
} from '@guavapitch/core';
import type {Authorization, Route} from '@guavapitch/callers';
import {
	createRefusal, type StatementOutcome, type StatementRefusalCode, type StatementRequest, type StatementResponse,
} from '@guavapitch/sessions';
import {EVENTS} from '@guavapitch/telemetry';
import type {Configuration} from './configuration.js';
import type {VmContext, VmSettings} from './context.js';
import {computeAllowedRegions} from './regions.js';

/** Retry time of a request whose configuration allows no region, in milliseconds: operators have to change it. */
export const REGION_RETRY_MS = 5000;

/** Retry time of a caller whom this vm does not know while its configuration is not confirmed, in milliseconds: the next attempt reaches another vm, and this one reads the configuration within about as long. */
const UNCONFIRMED_RETRY_MS = 300;

/** Refusals that say that a route or a key does not exist. */
const FINAL_REFUSALS: ReadonlySet<StatementRefusalCode> = new Set(['noDatabase', 'noKey']);

/** Refusal while this vm knows no version of the configuration. */
const NO_CONFIGURATION = createRefusal('busy', 'this vm has not received the configuration yet');

/** Creates the response to a statement that is refused at its entry. */
export const createLocalRefusal = ({transaction}: StatementRequest, code: StatementRefusalCode, reason: string, retryAfterMs: number): StatementResponse => ({
	outcome: createRefusal(code, reason, retryAfterMs), status: transaction ? 'failed' : 'idle', position: undefined, target: undefined, waitedMs: 0,
});

/** Checks that a key may use a route; fails with the refusal for the caller. */
const checkKey = (
	configuration: Configuration,
	settings: Pick<VmSettings, 'region' | 'regions'>,
	route: Route,
	key: string,
): Result<Authorization, StatementOutcome> => {
	const customer = configuration.customersByKey.get(key) ?? (route.isPublic ? brandId<CustomerId>('-') : undefined);
	return customer === undefined
		? Err(createRefusal('noKey', 'the key is unknown'))
		: Ok({
			route, customer, allowedRegions: computeAllowedRegions(configuration, settings, route, customer), version: configuration.version,
		});
};

/** Checks that a service exists and that a key may use it; fails with the refusal for the caller. */
export const checkCaller = (
	configuration: Configuration | undefined,
	settings: Pick<VmSettings, 'region' | 'regions'>,
	service: string,
	key: string,
): Result<Authorization, StatementOutcome> => {
	const route = configuration?.routes.get(service);
	if (!configuration) {
		return Err(NO_CONFIGURATION);
	}

	if (!route) {
		return Err(createRefusal('noDatabase', 'no route is configured for this service'));
	}

	return checkKey(configuration, settings, route, key);
};

/** Refuses a caller whose customer or database has a name that targets cannot be told: every statement would fail, and only operators can change that. */
const checkNames = (authorization: Authorization, checkName: VmContext['checkName']): Result<Authorization, StatementOutcome> => {
	const checked = checkName(authorization.route.database).andThen(() => checkName(authorization.customer));
	return checked.ok ? Ok(authorization) : Err(createRefusal('malformed', checked.val.message));
};

/** What the authorization of a caller is decided by, and how old the operators' entries are that this vm knows, in milliseconds. */
export type AuthorizationSource = Readonly<{getConfiguration: () => Configuration | undefined; getEntriesAgeMs: () => number}>;

/** Authorizes the callers of a vm by its active configuration. */
export type Authorizer = Readonly<{
	/** Authorizes a key for a service. */
	authorize: (service: string, key: string) => Result<Authorization, StatementOutcome>;
	/** Authorizes a key for a route that the service had when the caller's transaction began. */
	authorizeOn: (route: Route, key: string) => Result<Authorization, StatementOutcome>;
}>;

/**
 * Creates the functions that authorize callers by the active configuration and log by which version a caller was refused.
 * A vm whose configuration was not confirmed within the time for changes does not say that a route or key does not exist: a newer version may have added it.
 */
export const createAuthorizer = (
	{settings, emit, checkName}: Pick<VmContext, 'settings' | 'emit' | 'checkName'>,
	{getConfiguration, getEntriesAgeMs}: AuthorizationSource,
): Authorizer => {
	const finish = (configuration: Configuration | undefined, checked: Result<Authorization, StatementOutcome>): Result<Authorization, StatementOutcome> => {
		const authorization = checked.andThen(authorized => checkNames(authorized, checkName));
		if (authorization.ok || authorization.val.kind !== 'refused') {
			return authorization;
		}

		const entriesAgeMs = Math.round(Math.min(getEntriesAgeMs(), Number.MAX_SAFE_INTEGER));
		const isUnconfirmed = FINAL_REFUSALS.has(authorization.val.code) && entriesAgeMs > settings.configurationApplyMs;
		const refusal = isUnconfirmed
			? createRefusal('busy', 'this vm does not know the route or key, and its configuration has not been confirmed lately', UNCONFIRMED_RETRY_MS)
			: authorization.val;
		emit(EVENTS.callerNotAuthorized, {
			code: isUnconfirmed ? 'busy' : authorization.val.code, reason: authorization.val.reason, version: configuration?.version, entriesAgeMs,
		});
		return Err(refusal);
	};

	return {
		authorize(service, key) {
			const configuration = getConfiguration();
			return finish(configuration, checkCaller(configuration, settings, service, key));
		},
		authorizeOn(route, key) {
			const configuration = getConfiguration();
			return finish(configuration, configuration ? checkKey(configuration, settings, route, key) : Err(NO_CONFIGURATION));
		},
	};
};
