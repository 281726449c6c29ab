/** Checks of names that refer to each other. */

import type {Inventory} from './schemas.js';

/** A reference that leads nowhere. */
export type BrokenReference = Readonly<{path: ReadonlyArray<string | number>; message: string}>;

const checkTargets = (inventory: Inventory): readonly BrokenReference[] => {
	const seen = new Set<string>();
	const broken: BrokenReference[] = [];
	for (const [databaseName, database] of Object.entries(inventory.databases)) {
		for (const [index, target] of database.targets.entries()) {
			const path = ['databases', databaseName, 'targets', index];
			if (seen.has(target.name)) {
				broken.push({path: [...path, 'name'], message: `target ${target.name} stands twice`});
			}

			if (!inventory.dataCentres.includes(target.dataCentre)) {
				broken.push({path: [...path, 'dataCentre'], message: `expected one of ${inventory.dataCentres.join(', ')}`});
			}

			seen.add(target.name);
		}

		if (database.minimumSynced >= database.targets.length && database.targets.length > 1) {
			broken.push({path: ['databases', databaseName, 'minimumSynced'], message: `expected at most ${database.targets.length - 1}, the number of replicas`});
		}
	}

	return broken;
};

const checkServices = (inventory: Inventory): readonly BrokenReference[] => Object.entries(inventory.services)
	.filter(([, service]) => !Object.hasOwn(inventory.databases, service.database))
	.map(([service]) => ({path: ['services', service, 'database'], message: 'expected the name of a database'}));

const checkCustomers = (inventory: Inventory): readonly BrokenReference[] => Object.entries(inventory.customers)
	.flatMap(([customer, {services}]) => services
		.map((service, index) => ({service, path: ['customers', customer, 'services', index]}))
		.filter(({service}) => !Object.hasOwn(inventory.services, service))
		.map(({path}) => ({path, message: 'expected the name of a service'})));

const checkKeys = (inventory: Inventory): readonly BrokenReference[] => Object.entries(inventory.keys)
	.filter(([, key]) => !Object.hasOwn(inventory.customers, key.customer))
	.map(([key]) => ({path: ['keys', key, 'customer'], message: 'expected the name of a customer'}));

/** Finds every reference that leads nowhere. */
export const findBrokenReferences = (inventory: Inventory): readonly BrokenReference[] => [
	...checkTargets(inventory), ...checkServices(inventory), ...checkCustomers(inventory), ...checkKeys(inventory),
];
