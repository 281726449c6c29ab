/** Explains what a request meets now, by the same functions that decide. */

import {
	parseId, type CustomerId, type DatabaseId, type ServiceId,
} from '@guavapitch/core';
import type {GroupView} from '@guavapitch/failover';
import {
	chooseRequestMode, chooseRoute, getCustomer, getService, type RoutingView,
} from '@guavapitch/routing';
import {classifyStatement} from '@guavapitch/sessions';
import type {ClusterView} from './cluster-view.js';

/** Question of an operator. */
export type ExplainRequest = Readonly<{customer: CustomerId; service: ServiceId; statement: string}>;

/** Answer: rule by rule, in the order in which the proxy decides. */
export type Explanation = Readonly<{steps: readonly string[]}>;

/** What an explanation needs. */
export type ExplainContext = Readonly<{
	clusterView: ClusterView;
	getGroup: (database: DatabaseId) => GroupView | undefined;
	random: () => number;
}>;

/** Creates the function that explains. */
export const createExplain = (context: ExplainContext) => (request: unknown): Explanation => {
	const {clusterView: fleet} = context;
	const {customer, service, statement} = request as ExplainRequest;
	const inventory = fleet.inForce.getInventory();
	const found = inventory && getService(inventory, service);
	const share = inventory && getCustomer(inventory, customer);
	if (!inventory || !found) {
		return {steps: [`There is no service ${service} in revision ${fleet.inForce.getRevision()}`]};
	}

	const kind = classifyStatement(statement);
	const mode = chooseRequestMode(kind, found.staleReadsMs);
	const database = parseId<DatabaseId>(found.database);
	const view: RoutingView = {
		inventory,
		getGroup: context.getGroup,
		getOwners: fleet.getOwners,
		isLeaving: target => fleet.findTarget(target)?.target.leaving ?? true,
		getPendingCount: () => 0,
		random: context.random,
	};
	const route = chooseRoute(view, database, mode, []);
	const record = context.getGroup(database)?.record;
	return {
		steps: [
			`revision ${fleet.inForce.getRevision()} of the configuration is in force`,
			found.open ? `service ${service} is open to all: no key and no share` : `customer ${customer} ${share?.services.includes(service) ? 'may' : 'may not'} use service ${service}`,
			share ? `share: ${share.rate} requests a second, burst ${share.burst}, weight ${share.weight}, over the whole fleet` : `customer ${customer} is not in the inventory`,
			`statement is classed as ${kind}, so it runs in mode ${mode}`,
			record ? `database ${database}: term ${record.term}, primary ${record.primary}, synced ${record.synced.join(' ') || 'none'}` : `database ${database}: no record is known yet`,
			route.ok ? `route: target ${route.val.target} through home ${route.val.owner}, because ${route.val.reason}` : `no route: ${route.val.message}`,
			`answers of writes wait for ${inventory.databases[found.database]?.acknowledge === 'primary' ? 'the primary alone' : 'every synced replica'}`,
		],
	};
};
