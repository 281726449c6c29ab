/** What the entry knows of the fleet when it chooses where a request goes. */

import type {
	CustomerId, DatabaseId, TargetId, ServiceId, VmId,
} from '@guavapitch/core';
import type {GroupView} from '@guavapitch/failover';
import type {
	Customer, Database, Inventory, Service,
} from '@guavapitch/inventory';

/** View of the fleet. */
export type RoutingView = Readonly<{
	inventory: Inventory;
	/** Gets the last known record of a database. */
	getGroup: (database: DatabaseId) => GroupView | undefined;
	/** Gets the homes of a target, best first. */
	getOwners: (target: TargetId) => readonly VmId[];
	/** Tells whether the platform's list or the inventory says that a target is leaving. */
	isLeaving: (target: TargetId) => boolean;
	/** Gets the number of requests this entry has under way on a target. */
	getPendingCount: (target: TargetId) => number;
	random: () => number;
}>;

/** Gets a service by name. */
export const getService = (inventory: Inventory, service: ServiceId): Service | undefined => Object.hasOwn(inventory.services, service) ? inventory.services[service] : undefined;

/** Gets a customer by name. */
export const getCustomer = (inventory: Inventory, customer: CustomerId): Customer | undefined => Object.hasOwn(inventory.customers, customer) ? inventory.customers[customer] : undefined;

/** Gets a database by name. */
export const getDatabase = (inventory: Inventory, database: DatabaseId): Database | undefined => Object.hasOwn(inventory.databases, database) ? inventory.databases[database] : undefined;
