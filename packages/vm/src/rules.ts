/** The operators' rules in force, as every vm knows them. */

import type {
	CustomerId, DatabaseId, Failure, Result,
} from '@guavapitch/core';
import type {Route} from '@guavapitch/callers';
import type {Share} from '@guavapitch/limits';

/** Rules for one database. */
export type DatabaseRules = Readonly<{
	id: DatabaseId;
	/** Connections that each target accepts from all vms together. */
	connections: number;
	/** Whether commits are acknowledged only when a replica has them. */
	isReplicated: boolean;
}>;

/** All rules of one version. */
export type Rules = Readonly<{
	version: number;
	routes: ReadonlyMap<string, Route>;
	databases: ReadonlyMap<DatabaseId, DatabaseRules>;
	/** Customers by key. */
	keys: ReadonlyMap<string, CustomerId>;
	shares: ReadonlyMap<CustomerId, Share>;
	/** Time that a transaction may stay idle, in milliseconds. */
	idleTransactionMs: number;
}>;

/** Failure of reading rules or a target's description. */
export type DocumentFailure = Failure<'documentMalformed'>;

/** Parses the rules out of the operators' entry. */
export type ParseRules = (value: string) => Result<Rules, DocumentFailure>;
