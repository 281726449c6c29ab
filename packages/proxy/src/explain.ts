/** Explains how a request would be handled now, using the functions that handle requests. */

import {
	brandId, type CustomerId, type DatabaseId, type ServiceId,
} from '@guavapitch/core';
import type {GroupView} from '@guavapitch/failover';
import {
	chooseRequestMode, chooseRoute, getCustomer, getService, type RoutingView,
} from '@guavapitch/routing';
import {classifyStatement} from '@guavapitch/sessions';
import type {ClusterView} from './cluster-view.js';

/** Request of an operator for an explanation. */
export type ExplainRequest = Readonly<{customer: CustomerId; service: ServiceId; statement: string}>;

/** Explanation: one step for each decision, in the order in which the proxy decides. */
export type Explanation = Readonly<{steps: readonly string[]}>;

/** Dependencies of an explanation. */
export type ExplainContext = Readonly<{
	clusterView: ClusterView;
	getGroup: (database: DatabaseId) => GroupView | undefined;
	/** Returns a random number in [0, 1); breaks ties between targets. */
	random: () => number;
}>;

/** Creates the function that explains how a request would be handled; the request comes from a peer and is not validated. */
export const createExplain = (context: ExplainContext) => (request: unknown): Explanation => {
	const {clusterView} = context;
	const {customer, service, statement} = request as ExplainRequest;
	const inventory = clusterView.activeConfiguration.getInventory();
	const configuredService = inventory && getService(inventory, service);
	const configuredCustomer = inventory && getCustomer(inventory, customer);
	if (!inventory || !configuredService) {
		return {steps: [`There is no service ${service} in revision ${clusterView.activeConfiguration.getRevision()}`]};
	}

	const statementClass = classifyStatement(statement);
	const mode = chooseRequestMode(statementClass, configuredService.staleReadsMs);
	const database = brandId<DatabaseId>(configuredService.database);
	const routingView: RoutingView = {
		inventory,
		getGroup: context.getGroup,
		getOwners: clusterView.getOwners,
		isLeaving: target => clusterView.findTarget(target)?.target.leaving ?? true,
		getRunningCount: () => 0,
		random: context.random,
	};
	const route = chooseRoute(routingView, database, mode, []);
	const record = context.getGroup(database)?.record;
	return {
		steps: [
			`revision ${clusterView.activeConfiguration.getRevision()} of the configuration is active`,
			configuredService.open
				? `service ${service} is open to all: no key and no quota`
				: `customer ${customer} ${configuredCustomer?.services.includes(service) ? 'may' : 'may not'} use service ${service}`,
			configuredCustomer
				? `quota: ${configuredCustomer.rate} requests per second, burst ${configuredCustomer.burst}, weight ${configuredCustomer.weight}, over the whole fleet`
				: `customer ${customer} is not in the inventory`,
			`statement is classified as ${statementClass}, so it runs in mode ${mode}`,
			record ? `database ${database}: term ${record.term}, primary ${record.primary}, synced ${record.synced.join(' ') || 'none'}` : `database ${database}: no record is known yet`,
			route.ok ? `route: target ${route.val.target} through owner ${route.val.owner}, because ${route.val.reason}` : `no route: ${route.val.message}`,
			`responses to writes wait for ${inventory.databases[configuredService.database]?.acknowledge === 'primary' ? 'the primary alone' : 'every synced replica'}`,
		],
	};
};
