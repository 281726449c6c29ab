/** Issues and withdraws keys of customers. */

import {randomBytes} from 'node:crypto';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import type {Inventory} from '@guavapitch/inventory';
import {createVerifier, formatVerifier} from '@guavapitch/postgres-wire';

/** Failure to issue or withdraw a key. */
export type KeyFailure = Failure<'unknownCustomer' | 'unknownKey' | 'keyExists'>;

/** A new key. Its secret is shown once and stored nowhere; the inventory holds a verifier. */
export type IssuedKey = Readonly<{keyId: string; secret: string; inventory: Inventory}>;

const SECRET_BYTES = 24;

/** Adds a new key of a customer to an inventory. */
export const issueKey = (inventory: Inventory, customer: string, keyId: string): Result<IssuedKey, KeyFailure> => {
	if (!Object.hasOwn(inventory.customers, customer)) {
		return Err({code: 'unknownCustomer', message: `There is no customer ${customer}`});
	}

	if (Object.hasOwn(inventory.keys, keyId)) {
		return Err({code: 'keyExists', message: `The key ${keyId} exists; withdraw it first or choose another name`});
	}

	const secret = randomBytes(SECRET_BYTES).toString('base64url');
	const keys = {...inventory.keys, [keyId]: {customer, verifier: formatVerifier(createVerifier(secret))}};
	return Ok({keyId, secret, inventory: {...inventory, keys}});
};

/** Removes a key from an inventory. */
export const withdrawKey = (inventory: Inventory, keyId: string): Result<Inventory, KeyFailure> => {
	if (!Object.hasOwn(inventory.keys, keyId)) {
		return Err({code: 'unknownKey', message: `There is no key ${keyId}`});
	}

	const keys = Object.fromEntries(Object.entries(inventory.keys).filter(([name]) => name !== keyId));
	return Ok({...inventory, keys});
};
