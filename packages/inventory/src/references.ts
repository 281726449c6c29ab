/** Validates the references between the parts of an inventory. */

import type {Inventory} from './schemas.js';

/** A reference to a name that is not defined, or a value that contradicts another part of the inventory. */
export type BrokenReference = Readonly<{path: ReadonlyArray<string | number>; message: string}>;

const checkTargets = (inventory: Inventory): readonly BrokenReference[] => {
	const targetNames = new Set<string>();
	const broken: BrokenReference[] = [];
	for (const [databaseName, database] of Object.entries(inventory.databases)) {
		for (const [index, target] of database.targets.entries()) {
			const path = ['databases', databaseName, 'targets', index];
			if (targetNames.has(target.name)) {
				broken.push({path: [...path, 'name'], message: `duplicate target name ${target.name}`});
			}

			if (!inventory.dataCentres.includes(target.dataCentre)) {
				broken.push({path: [...path, 'dataCentre'], message: `expected one of the data centres ${inventory.dataCentres.join(', ')}`});
			}

			targetNames.add(target.name);
		}

		if (database.minimumSynced >= database.targets.length && database.targets.length > 1) {
			broken.push({path: ['databases', databaseName, 'minimumSynced'], message: `expected at most ${database.targets.length - 1}, the number of replicas`});
		}
	}

	return broken;
};

const checkServices = (inventory: Inventory): readonly BrokenReference[] => Object.entries(inventory.services)
	.filter(([, service]) => !Object.hasOwn(inventory.databases, service.database))
	.map(([service]) => ({path: ['services', service, 'database'], message: 'expected the name of a database in this inventory'}));

const checkCustomers = (inventory: Inventory): readonly BrokenReference[] => Object.entries(inventory.customers)
	.flatMap(([customer, {services}]) => services
		.map((service, index) => ({service, path: ['customers', customer, 'services', index]}))
		.filter(({service}) => !Object.hasOwn(inventory.services, service))
		.map(({path}) => ({path, message: 'expected the name of a service in this inventory'})));

const checkKeys = (inventory: Inventory): readonly BrokenReference[] => Object.entries(inventory.keys)
	.filter(([, key]) => !Object.hasOwn(inventory.customers, key.customer))
	.map(([key]) => ({path: ['keys', key, 'customer'], message: 'expected the name of a customer in this inventory'}));

/** Returns all broken references and contradictions in an inventory. */
export const findBrokenReferences = (inventory: Inventory): readonly BrokenReference[] => [
	...checkTargets(inventory), ...checkServices(inventory), ...checkCustomers(inventory), ...checkKeys(inventory),
];
