/** Reads and changes the configuration in the store. Changes use compare-and-swap and remain correct when responses of the store are lost. */

import {
	Err, Ok, type Failure, type Result, type Runtime,
} from '@guavapitch/core';
import {
	formatConfigurationDocument, parseConfigurationDocument, type ConfigurationDocument, type DocumentFailure, type Inventory,
} from '@guavapitch/inventory';
import type {Entry, Store, StoreFailure} from '@guavapitch/store';
import {CONFIGURATION_KEY} from './relay.js';

/** Failure of a change of the configuration. */
export type ChangeFailure
	= | StoreFailure
		| DocumentFailure
	/** The configuration has been changed by someone else since it was read. */
		| (Failure<'configurationRaced'> & Readonly<{current: ConfigurationDocument | undefined; revision: number}>);

/** The configuration as read from the store; revision 0 and no document if there is none yet. */
export type StoredConfiguration = Readonly<{document: ConfigurationDocument | undefined; revision: number}>;

/** Number of calls to the store for one change; another one follows only if the last failed. */
const MAX_ATTEMPTS = 8;
const RETRY_PAUSE_MS = 250;

const parseEntry = (entry: Entry | undefined): Result<StoredConfiguration, DocumentFailure> => {
	if (!entry) {
		return Ok({document: undefined, revision: 0});
	}

	return parseConfigurationDocument(entry.value).map(document => ({document, revision: entry.revision}));
};

/** Reads the configuration from the store; fails if the store does not answer or the stored document is invalid. */
export const readConfiguration = async (store: Store): Promise<Result<StoredConfiguration, StoreFailure | DocumentFailure>> => {
	const entry = await store.read(CONFIGURATION_KEY);
	return entry.ok ? parseEntry(entry.val) : entry;
};

/**
 * Replaces the configuration if it is still at the expected revision, where 0 stands for none; returns the new revision. Fails with the last error of the store if no attempt is answered.
 * When a response of the store is lost, the identifier of the change in the stored document tells whether the change took effect.
 */
export const changeConfiguration = async (
	store: Store,
	runtime: Runtime,
	change: Readonly<{expectedRevision: number; author: string; inventory: Inventory}>,
): Promise<Result<number, ChangeFailure>> => {
	const changeId = runtime.createId();
	const formattedDocument = formatConfigurationDocument({changeId, author: change.author, inventory: change.inventory});
	if (formattedDocument.err) {
		return formattedDocument;
	}

	let lastFailure: StoreFailure = {code: 'storeUnreachable', message: 'No request was sent to the store'};
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const outcome = await store.compareAndSwap(CONFIGURATION_KEY, change.expectedRevision, formattedDocument.val);
		if (outcome.ok) {
			const {isSwapped, current} = outcome.val;
			const stored = parseEntry(current);
			if (isSwapped || (stored.ok && stored.val.document?.changeId === changeId)) {
				return Ok(current?.revision ?? 0);
			}

			return Err({
				code: 'configurationRaced',
				message: 'The configuration has been changed by someone else since it was read',
				current: stored.ok ? stored.val.document : undefined,
				revision: current?.revision ?? 0,
			});
		}

		lastFailure = outcome.val;
		await runtime.sleep(RETRY_PAUSE_MS);
	}

	return Err(lastFailure);
};
