/** The configuration in force in one process. */

import {
	Err, Ok, type CustomerId, type Instant, type Result, type World,
} from '@guavapitch/core';
import {
	parseDocumentText, type ConfigurationDocument, type DocumentFailure, type Inventory, type Key,
} from '@guavapitch/inventory';
import type {StoreCache} from './store-cache.js';
import {CONFIGURATION_KEY} from './relay.js';

/** Why a key may not be used now. */
export type KeyRefusal = 'keyWithdrawn' | 'keyUnconfirmed';

/** Configuration in force. */
export type ActiveConfiguration = Readonly<{
	/** Gets the inventory; `undefined` until the first one has come. */
	getInventory: () => Inventory | undefined;
	/** Gets the revision; 0 until the first one has come. */
	getRevision: () => number;
	/** Gets the document. */
	getDocument: () => ConfigurationDocument | undefined;
	/** Checks that a key is still issued to a customer, and that this is known freshly enough. */
	checkKey: (keyId: string, customer: CustomerId) => Result<Key, KeyRefusal>;
	/** Gets the instant at which the configuration was last known to be the newest. */
	getConfirmedAt: () => Instant;
}>;

/** Listener of changes. */
export type ConfigurationListener = Readonly<{
	onApplied: (revision: number, inventory: Inventory) => void;
	onRejected: (revision: number, failure: DocumentFailure) => void;
}>;

/** Puts each newer configuration of the facts in force. */
export const createActiveConfiguration = (facts: StoreCache, world: World, listener: ConfigurationListener): ActiveConfiguration => {
	let document: ConfigurationDocument | undefined;
	let revision = 0;

	const apply = () => {
		const entry = facts.get(CONFIGURATION_KEY);
		if (!entry || entry.revision <= revision) {
			return;
		}

		const parsed = parseDocumentText(entry.value);
		if (parsed.err) {
			listener.onRejected(entry.revision, parsed.val);
			return;
		}

		document = parsed.val;
		revision = entry.revision;
		listener.onApplied(revision, document.inventory);
	};

	facts.subscribe(keys => {
		if (keys.includes(CONFIGURATION_KEY)) {
			apply();
		}
	});
	apply();

	return {
		getInventory: () => document?.inventory,
		getRevision: () => revision,
		getDocument: () => document,
		getConfirmedAt: facts.getConfirmedAt,
		checkKey(keyId, customer) {
			const inventory = document?.inventory;
			const key = inventory && Object.hasOwn(inventory.keys, keyId) ? inventory.keys[keyId] : undefined;
			if (!inventory || key?.customer !== customer) {
				return Err('keyWithdrawn');
			}

			const isFresh = world.now() - facts.getConfirmedAt() <= inventory.fleet.keyGraceMs;
			return isFresh || inventory.customers[customer]?.serveUnconfirmed ? Ok(key) : Err('keyUnconfirmed');
		},
	};
};
