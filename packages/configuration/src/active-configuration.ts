/** Active configuration of one process: the newest valid one that it has received. */

import {
	Err, Ok, type CustomerId, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import {
	parseConfigurationDocument, type ConfigurationDocument, type DocumentFailure, type Inventory, type Key,
} from '@guavapitch/inventory';
import type {StoreCache} from './store-cache.js';
import {CONFIGURATION_KEY} from './relay.js';

/** Why a key may not be used: it was removed, or the configuration is too old to be certain of it. */
export type KeyRefusal = 'keyWithdrawn' | 'keyUnconfirmed';

/** Active configuration of one process. */
export type ActiveConfiguration = Readonly<{
	/** Returns the inventory; `undefined` until the first configuration has been received. */
	getInventory: () => Inventory | undefined;
	/** Returns the revision; 0 until the first configuration has been received. */
	getRevision: () => number;
	/** Returns the whole document, with its author and change identifier; `undefined` until the first configuration has been received. */
	getDocument: () => ConfigurationDocument | undefined;
	/** Checks that a key is issued to a customer and that the configuration was confirmed recently enough, unless the customer may also use unconfirmed keys. */
	checkKey: (keyId: string, customer: CustomerId) => Result<Key, KeyRefusal>;
	/** Returns the latest instant at which the configuration was confirmed to be the newest. */
	getConfirmedAt: () => Instant;
}>;

/** Called when a newer configuration is activated, or rejected because it is invalid. */
export type ConfigurationListener = Readonly<{
	onApplied: (revision: number, inventory: Inventory) => void;
	onRejected: (revision: number, failure: DocumentFailure) => void;
}>;

/** Creates the active configuration, which follows the store cache; an invalid configuration is rejected and the previous one stays active. */
export const createActiveConfiguration = (cache: StoreCache, runtime: Runtime, listener: ConfigurationListener): ActiveConfiguration => {
	let document: ConfigurationDocument | undefined;
	let revision = 0;

	const apply = () => {
		const entry = cache.get(CONFIGURATION_KEY);
		if (!entry || entry.revision <= revision) {
			return;
		}

		const parsed = parseConfigurationDocument(entry.value);
		if (parsed.err) {
			listener.onRejected(entry.revision, parsed.val);
			return;
		}

		document = parsed.val;
		revision = entry.revision;
		listener.onApplied(revision, document.inventory);
	};

	cache.subscribe(keys => {
		if (keys.includes(CONFIGURATION_KEY)) {
			apply();
		}
	});
	apply();

	return {
		getInventory: () => document?.inventory,
		getRevision: () => revision,
		getDocument: () => document,
		getConfirmedAt: cache.getConfirmedAt,
		checkKey(keyId, customer) {
			const inventory = document?.inventory;
			const key = inventory && Object.hasOwn(inventory.keys, keyId) ? inventory.keys[keyId] : undefined;
			if (!inventory || key?.customer !== customer) {
				return Err('keyWithdrawn');
			}

			const isFresh = runtime.now() - cache.getConfirmedAt() <= inventory.fleet.keyGraceMs;
			return isFresh || inventory.customers[customer]?.serveUnconfirmed ? Ok(key) : Err('keyUnconfirmed');
		},
	};
};
