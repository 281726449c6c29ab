/** The active configuration, as every vm knows it. */

import type {
	CustomerId, DatabaseId, Failure, RegionId, Result,
} from '@guavapitch/core';
import type {Route} from '@guavapitch/callers';
import type {Quota} from '@guavapitch/limits';

/** Configuration of one database. */
export type DatabaseConfiguration = Readonly<{
	id: DatabaseId;
	/** Maximum number of connections to each target, from all vms together. */
	connectionLimit: number;
	/** Whether a commit is acknowledged only after a replica has received it. */
	isReplicated: boolean;
	/** How long a target counts as cold after its start, in milliseconds; 0 if it never does. */
	coldStartMs: number;
	/** Requests per second that a cold target receives from all vms together; 0 if it is not limited. */
	coldPerSecond: number;
}>;

/** One version of the operators' configuration. */
export type Configuration = Readonly<{
	/** Version set by the operators; a configuration becomes active only if its version is higher than that of the active one. */
	version: number;
	/** Routes by the name of their service. */
	routes: ReadonlyMap<string, Route>;
	databases: ReadonlyMap<DatabaseId, DatabaseConfiguration>;
	/** Customers by the keys issued to them. */
	customersByKey: ReadonlyMap<string, CustomerId>;
	/** Quotas of customers; a customer without an entry is not limited. */
	quotas: ReadonlyMap<CustomerId, Quota>;
	/** Regions at whose targets the requests of a customer may run; a customer without an entry is not restricted. */
	allowedRegions: ReadonlyMap<CustomerId, ReadonlySet<RegionId>>;
	/** Every list of regions with its path in the document, for reports of unknown regions. */
	regionFields: ReadonlyArray<Readonly<{path: string; regions: readonly RegionId[]}>>;
	/** Maximum time that a transaction may stay idle, in milliseconds. */
	idleTransactionMs: number;
}>;

/** Failure to parse a configuration or the entry of a target. */
export type DocumentFailure = Failure<'documentMalformed'>;

/** Parses the configuration from the value of its store entry. */
export type ParseConfiguration = (value: string) => Result<Configuration, DocumentFailure>;
