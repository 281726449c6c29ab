/** Configuration document: the inventory in the form in which it is stored, as one versioned value. */

import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {
	Err, getErrorMessage, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {inventorySchema, type Inventory} from './schemas.js';

/** An inventory with the change that made it the active configuration. */
export type ConfigurationDocument = Readonly<{
	/** Identifier of the change, by which its author recognises it if the response to the write was lost. */
	changeId: string;
	/** Author of the change. */
	author: string;
	inventory: Inventory;
}>;

/** Failure of formatting or parsing a document. */
export type DocumentFailure = Failure<'documentMalformed' | 'documentTooLarge'>;

/** Largest value accepted by the store, in bytes. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/** Formats a document for the store, as compressed JSON in base64; fails with `documentTooLarge`. */
export const formatConfigurationDocument = (document: ConfigurationDocument): Result<string, DocumentFailure> => {
	const text = gzipSync(JSON.stringify(document)).toString('base64');
	return text.length <= MAX_DOCUMENT_BYTES
		? Ok(text)
		: Err({code: 'documentTooLarge', message: `The configuration of ${text.length} bytes exceeds the limit of ${MAX_DOCUMENT_BYTES} bytes for a value in the store`});
};

/** Parses a document from the store; fails with `documentMalformed`. */
export const parseConfigurationDocument = (text: string): Result<ConfigurationDocument, DocumentFailure> => {
	try {
		const raw = JSON.parse(gunzipSync(Buffer.from(text, 'base64')).toString()) as ConfigurationDocument;
		return Ok({...raw, inventory: inventorySchema.parse(raw.inventory)});
	} catch (error) {
		// The message of a syntax error quotes the document, which contains verifiers of keys.
		return Err({code: 'documentMalformed', message: error instanceof SyntaxError ? `not JSON (${text.length} characters, compressed)` : getErrorMessage(error)});
	}
};
