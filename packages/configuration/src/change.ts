/** Changing the configuration by compare-and-swap, whatever answers get lost. */

import {
	Err, Ok, type Failure, type Result, type World,
} from '@guavapitch/core';
import {
	formatDocument, parseDocumentText, type ConfigurationDocument, type DocumentFailure, type Inventory,
} from '@guavapitch/inventory';
import type {Entry, Store, StoreFailure} from '@guavapitch/store';
import {CONFIGURATION_KEY} from './relay.js';

/** Failure of a change. */
export type ChangeFailure
	= | StoreFailure
		| DocumentFailure
	/** Somebody else has changed the configuration since it was read. */
		| (Failure<'configurationRaced'> & Readonly<{current: ConfigurationDocument | undefined; revision: number}>);

/** The configuration as read from the store. */
export type StoredConfiguration = Readonly<{document: ConfigurationDocument | undefined; revision: number}>;

const TRIES = 8;
const RETRY_MS = 250;

const parseEntry = (entry: Entry | undefined): Result<StoredConfiguration, DocumentFailure> => {
	if (!entry) {
		return Ok({document: undefined, revision: 0});
	}

	return parseDocumentText(entry.value).map(document => ({document, revision: entry.revision}));
};

/** Reads the configuration from the store. */
export const readConfiguration = async (store: Store): Promise<Result<StoredConfiguration, StoreFailure | DocumentFailure>> => {
	const entry = await store.read(CONFIGURATION_KEY);
	return entry.ok ? parseEntry(entry.val) : entry;
};

/** Replaces the configuration that stands at a revision; a lost answer is resolved by reading back the change's identifier. */
export const changeConfiguration = async (store: Store, world: World, change: Readonly<{expectedRevision: number; author: string; inventory: Inventory}>): Promise<Result<number, ChangeFailure>> => {
	const changeId = world.createId();
	const text = formatDocument({changeId, author: change.author, inventory: change.inventory});
	if (text.err) {
		return text;
	}

	let last: StoreFailure = {code: 'storeUnreachable', message: 'The store was not asked'};
	for (let count = 0; count < TRIES; count++) {
		const outcome = await store.compareAndSwap(CONFIGURATION_KEY, change.expectedRevision, text.val);
		if (outcome.ok) {
			const {swapped, current} = outcome.val;
			const standing = parseEntry(current);
			if (swapped || (standing.ok && standing.val.document?.changeId === changeId)) {
				return Ok(current?.revision ?? 0);
			}

			return Err({
				code: 'configurationRaced',
				message: 'Somebody else has changed the configuration',
				current: standing.ok ? standing.val.document : undefined,
				revision: current?.revision ?? 0,
			});
		}

		last = outcome.val;
		await world.sleep(RETRY_MS);
	}

	return Err(last);
};
