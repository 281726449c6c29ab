/** Access to the example inventories. */

import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {parseInventory, type Inventory} from '@guavapitch/inventory';

/** Name of an example inventory. */
export type ExampleName = 'dvorak' | 'siphon';

const EXAMPLES_FOLDER = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..', '..', 'examples');

/** Reads and parses an example inventory; throws if the file is missing or invalid. */
export const readExample = (name: ExampleName): Inventory => parseInventory(readFileSync(path.join(EXAMPLES_FOLDER, `${name}.yaml`), 'utf8')).unwrap();

/** Quota of every customer: rate in requests per second and burst in requests. */
export type CustomerQuota = Readonly<{rate: number; burst: number}>;

/** Returns the inventory with its first database and the services of that database only. All customers may use these services, with the given quota or otherwise their own. */
export const takeFirstDatabase = (inventory: Inventory, quota?: CustomerQuota): Inventory => {
	const databases = Object.fromEntries(Object.entries(inventory.databases).slice(0, 1));
	const services = Object.fromEntries(Object.entries(inventory.services).filter(([, service]) => service.database in databases));
	const customers = Object.fromEntries(Object.entries(inventory.customers).map(([name, customer]) => [name, {
		...customer, ...quota, services: Object.keys(services),
	}]));
	return {
		...inventory, databases, services, customers,
	};
};
