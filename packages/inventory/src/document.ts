/** The configuration as it lies in the store: one versioned document. */

import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {
	Err, getMessage, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {inventorySchema, type Inventory} from './schemas.js';

/** An inventory with the change that put it in force. */
export type ConfigurationDocument = Readonly<{
	/** Identifier of the change, by which its author recognises it after a lost answer. */
	changeId: string;
	/** Who made the change. */
	author: string;
	inventory: Inventory;
}>;

/** Failure of a document. */
export type DocumentFailure = Failure<'documentMalformed' | 'documentTooLarge'>;

/** Largest value that the store holds. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/** Formats a document for the store: compressed JSON. */
export const formatConfigurationDocument = (document: ConfigurationDocument): Result<string, DocumentFailure> => {
	const text = gzipSync(JSON.stringify(document)).toString('base64');
	return text.length <= MAX_DOCUMENT_BYTES
		? Ok(text)
		: Err({code: 'documentTooLarge', message: `The configuration takes ${text.length} bytes; the store holds ${MAX_DOCUMENT_BYTES}`});
};

/** Parses a document from the store. */
export const parseConfigurationDocument = (text: string): Result<ConfigurationDocument, DocumentFailure> => {
	try {
		const raw = JSON.parse(gunzipSync(Buffer.from(text, 'base64')).toString()) as ConfigurationDocument;
		return Ok({...raw, inventory: inventorySchema.parse(raw.inventory)});
	} catch (error) {
		return Err({code: 'documentMalformed', message: getMessage(error)});
	}
};
