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
