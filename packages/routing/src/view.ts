/** View of the fleet from which an entry chooses the route of a request. */

import type {
	CustomerId, DatabaseId, TargetId, ServiceId, VmId,
} from '@guavapitch/core';
import type {GroupView} from '@guavapitch/failover';
import type {
	Customer, Database, Inventory, Service,
} from '@guavapitch/inventory';

/** Configuration and state of the fleet, as known to one entry. */
export type RoutingView = Readonly<{
	inventory: Inventory;
	/** Returns the last known replication group of a database. */
	getGroup: (database: DatabaseId) => GroupView | undefined;
	/** Returns the vms that own a target, in order of preference. */
	getOwners: (target: TargetId) => readonly VmId[];
	/** Tells whether a target is leaving according to the platform or the inventory. */
	isLeaving: (target: TargetId) => boolean;
	/** Returns the number of requests of this entry that are running on a target. */
	getRunningCount: (target: TargetId) => number;
	/** Returns a random number from 0 up to, but not including, 1; breaks ties between targets. */
	random: () => number;
}>;

/** Returns a service by name; `undefined` if the inventory has none of that name. */
export const getService = (inventory: Inventory, service: ServiceId): Service | undefined => Object.hasOwn(inventory.services, service) ? inventory.services[service] : undefined;

/** Returns a customer by name; `undefined` if the inventory has none of that name. */
export const getCustomer = (inventory: Inventory, customer: CustomerId): Customer | undefined => Object.hasOwn(inventory.customers, customer) ? inventory.customers[customer] : undefined;

/** Returns a database by name; `undefined` if the inventory has none of that name. */
export const getDatabase = (inventory: Inventory, database: DatabaseId): Database | undefined => Object.hasOwn(inventory.databases, database) ? inventory.databases[database] : undefined;
