/** In-memory store with leases for models of a fleet on a virtual clock. Each vm reaches it through a link of its own. */

import {
	Err, Ok, type Failure, type Result, type Runtime,
} from '@guavapitch/core';
import type {RoleStore, TransactionOutcome} from '@guavapitch/roles';

/** Failure of a call, as the real store's client reports it. */
type StoreFailure = Failure<'storeUnreachable' | 'storeUnknown' | 'leaseLost'>;

type Entry = Readonly<{value: string; revision: number; leaseId: string | undefined}>;

/** State of a vm's link to the store: requests pass, are not delivered, or are executed without a response. */
export type StoreLink = {mode: 'open' | 'cut' | 'losesResponses'};

/** A store that all vms of a model share. */
export type ModelStore = Readonly<{
	/** Returns the store as a vm sees it through its link. */
	connect: (link: StoreLink) => RoleStore;
	/** Returns the present entries, without those whose lease has expired. */
	getEntries: () => ReadonlyMap<string, Entry>;
}>;

const DELAY_MS = 2;
const TIMEOUT_MS = 400;
const ERA = 1;

/** Creates an empty store. */
export const createModelStore = (runtime: Runtime): ModelStore => {
	const entries = new Map<string, Entry>();
	const leases = new Map<string, Readonly<{ttlMs: number; expiresAt: number}>>();
	let revision = 0;
	let leaseCount = 0;

	const expireLeases = () => {
		for (const [id, {expiresAt}] of leases) {
			if (runtime.now() >= expiresAt) {
				leases.delete(id);
				for (const [key, {leaseId}] of entries) {
					if (leaseId === id) {
						entries.delete(key);
						revision++;
					}
				}
			}
		}
	};

	/** Executes a call at the store after the delay of the link. */
	const call = async <Value>(link: StoreLink, execute: () => Result<Value, StoreFailure>): Promise<Result<Value, StoreFailure>> => {
		await runtime.sleep(DELAY_MS);
		if (link.mode === 'cut') {
			await runtime.sleep(TIMEOUT_MS);
			return Err({code: 'storeUnreachable', message: 'cut'});
		}

		expireLeases();
		const result = execute();
		if (link.mode === 'losesResponses') {
			await runtime.sleep(TIMEOUT_MS);
			return Err({code: 'storeUnknown', message: 'the response was lost'});
		}

		await runtime.sleep(DELAY_MS);
		return result;
	};

	return {
		connect: link => ({
			grantLease: async ttlMs => call(link, () => {
				const id = String(++leaseCount);
				leases.set(id, {ttlMs, expiresAt: runtime.now() + ttlMs});
				return Ok({id, ttlMs, era: ERA});
			}),
			renewLease: async id => call(link, () => {
				const lease = leases.get(id);
				if (!lease) {
					return Err({code: 'leaseLost', message: 'lost'});
				}

				leases.set(id, {...lease, expiresAt: runtime.now() + lease.ttlMs});
				return Ok({ttlMs: lease.ttlMs, era: ERA});
			}),
			revokeLease: async id => call(link, () => {
				leases.set(id, {ttlMs: 0, expiresAt: 0});
				expireLeases();
				return Ok(undefined);
			}),
			transact: async ({conditions, puts}) => call<TransactionOutcome>(link, () => {
				const isMet = conditions.every(({key, revision: expected}) => (entries.get(key)?.revision ?? 0) === expected);
				if (!isMet) {
					return Ok({revision: undefined, foundRevisions: new Map([...entries].map(([key, entry]) => [key, entry.revision])), era: ERA});
				}

				if (puts.some(({leaseId}) => leaseId !== undefined && !leases.has(leaseId))) {
					return Err({code: 'leaseLost', message: 'lost'});
				}

				revision++;
				for (const {key, value, leaseId} of puts) {
					entries.set(key, {value, revision, leaseId});
				}

				return Ok({revision, era: ERA});
			}),
			read: async key => call(link, () => Ok({value: entries.get(key)?.value, revision: entries.get(key)?.revision ?? 0, era: ERA})),
		}),
		getEntries() {
			expireLeases();
			return entries;
		},
	};
};
