/** Reads the example inventories. */

import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {parseInventory, type Inventory} from '@guavapitch/inventory';

/** Names of the examples. */
export type ExampleName = 'dvorak' | 'siphon';

const FOLDER = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..', '..', 'examples');

/** Reads an example. */
export const readExample = (name: ExampleName): Inventory => parseInventory(readFileSync(path.join(FOLDER, `${name}.yaml`), 'utf8')).unwrap();

/** Rate and burst of every customer, in requests per second and requests. */
export type CustomerQuota = Readonly<{rate: number; burst: number}>;

/** Keeps the first database of an inventory, with its services; all customers may use them, under shares of their own or the given ones. */
export const takeFirstDatabase = (inventory: Inventory, shares?: CustomerQuota): Inventory => {
	const databases = Object.fromEntries(Object.entries(inventory.databases).slice(0, 1));
	const services = Object.fromEntries(Object.entries(inventory.services).filter(([, service]) => service.database in databases));
	const customers = Object.fromEntries(Object.entries(inventory.customers).map(([name, customer]) => [name, {
		...customer, ...shares, services: Object.keys(services),
	}]));
	return {
		...inventory, databases, services, customers,
	};
};
