/** The operators' rules in force, as every vm knows them. */

import type {
	CustomerId, DatabaseId, Failure, Result,
} from '@guavapitch/core';
import type {Route} from '@guavapitch/callers';
import type {Quota} from '@guavapitch/limits';

/** Rules for one database. */
export type DatabaseConfiguration = Readonly<{
	id: DatabaseId;
	/** Connections that each target accepts from all vms together. */
	connectionLimit: number;
	/** Whether commits are acknowledged only when a replica has them. */
	isReplicated: boolean;
}>;

/** All rules of one version. */
export type Configuration = Readonly<{
	version: number;
	routes: ReadonlyMap<string, Route>;
	databases: ReadonlyMap<DatabaseId, DatabaseConfiguration>;
	/** Customers by key. */
	customersByKey: ReadonlyMap<string, CustomerId>;
	quotas: ReadonlyMap<CustomerId, Quota>;
	/** Time that a transaction may stay idle, in milliseconds. */
	idleTransactionMs: number;
}>;

/** Failure of reading rules or a target's description. */
export type DocumentFailure = Failure<'documentMalformed'>;

/** Parses the rules out of the operators' entry. */
export type ParseConfiguration = (value: string) => Result<Configuration, DocumentFailure>;
