/** Schemas of the inventory that operators edit. */

import {z} from 'zod';

const name = z.string().regex(/^[a-z][\-a-z\d]{0,62}$/v, 'expected a name of lower-case letters, digits and hyphens');
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/v, 'expected host:port');
const positiveInteger = z.number().int().positive();

/** Schema of a target, one server of a database. */
export const targetSchema = z.strictObject({
	name,
	dataCentre: name,
	address,
	/** Maximum number of statements that run on the target at the same time. */
	slots: positiveInteger,
	/** Maximum number of connections that the target accepts. */
	connections: positiveInteger.min(4, 'expected at least 4 connections'),
	/** Whether the target is being removed and gets no new requests. */
	leaving: z.boolean().default(false),
}).readonly();

/** Renames `instances`, the name of the list of targets in documents of earlier versions, to `targets`. */
const migrateFormerKeys = (database: unknown): unknown => {
	if (typeof database !== 'object' || database === null || !('instances' in database) || 'targets' in database) {
		return database;
	}

	const {instances, ...otherProperties} = database;
	return {...otherProperties, targets: instances};
};

/** Schema of a database, a primary and its replicas. */
export const databaseSchema = z.preprocess(migrateFormerKeys, z.strictObject({
	/** When a write is acknowledged: with `replicated` after the synced replicas have it; with `primary` without waiting for them, so that a failover may lose it. */
	acknowledge: z.enum(['replicated', 'primary']).default('replicated'),
	/** Minimum number of replicas in the synced set. */
	minimumSynced: z.number().int().min(0).default(1),
	/** User name with which guavapitch connects to the targets. */
	user: z.string().min(1).default('guavapitch'),
	/** Environment variable of the proxies that contains the password of that user. */
	passwordVariable: z.string().regex(/^[A-Z][\dA-Z_]*$/v).optional(),
	/** Name of the database on the targets. */
	databaseName: z.string().min(1).default('postgres'),
	targets: z.array(targetSchema).min(1).readonly(),
}).readonly());

/** Schema of a service, which callers select as their database. */
export const serviceSchema = z.strictObject({
	database: name,
	/** Whether callers may use the service without a key. */
	open: z.boolean().default(false),
	/** Maximum staleness of reads, in milliseconds; without it every read sees the caller's own writes. */
	staleReadsMs: positiveInteger.optional(),
	/** Timeout within which a request is answered or refused, in milliseconds. */
	requestTimeoutMs: positiveInteger.default(10_000),
	/** Maximum time that a transaction may be idle, in milliseconds. */
	idleTransactionMs: positiveInteger.default(30_000),
}).readonly();

/** Schema of a customer and its quota. */
export const customerSchema = z.strictObject({
	/** Requests per second, over the whole fleet. */
	rate: z.number().positive(),
	/** Burst size, the number of requests that may arrive at once, over the whole fleet. */
	burst: positiveInteger.min(2, 'expected at least 2'),
	/** Weight in the queue of a busy target, relative to the other customers. */
	weight: z.number().positive().default(1),
	/** Services the customer may use. */
	services: z.array(name).min(1).readonly(),
	/** Whether its keys are still accepted after `keyGraceMs`, while it cannot be confirmed that they are current. */
	serveUnconfirmed: z.boolean().default(false),
}).readonly();

/** Schema of a key; the inventory contains only its verifier. */
export const keySchema = z.strictObject({
	customer: name,
	verifier: z.string().regex(/^SCRAM-SHA-256\$\d+:[^$:]+\$[^$:]+:[^$:]+$/v, 'expected a SCRAM-SHA-256 verifier'),
}).readonly();

/** Schema of the settings for the whole fleet. */
export const fleetSchema = z.strictObject({
	/** Number of slots for failover coordinators, among which the databases are distributed. */
	stewardSlots: positiveInteger.default(4),
	/** Number of slots for quota allocators, among which the customers are distributed. */
	keeperSlots: positiveInteger.default(4),
	/** Time for which keys are accepted without confirmation that they are current, in milliseconds. */
	keyGraceMs: positiveInteger.default(5000),
}).readonly();

/** Schema of the complete inventory. */
export const inventorySchema = z.strictObject({
	fleet: fleetSchema.prefault({}),
	dataCentres: z.array(name).min(1).readonly(),
	databases: z.record(name, databaseSchema).readonly(),
	services: z.record(name, serviceSchema).readonly(),
	customers: z.record(name, customerSchema).readonly(),
	keys: z.record(name, keySchema).readonly().default({}),
}).readonly();

/** A target, one server of a database. */
export type Target = z.infer<typeof targetSchema>;

/** A database, a primary and its replicas. */
export type Database = z.infer<typeof databaseSchema>;

/** A service, which callers select as their database. */
export type Service = z.infer<typeof serviceSchema>;

/** A customer and its quota. */
export type Customer = z.infer<typeof customerSchema>;

/** A key, of which only the verifier is known. */
export type Key = z.infer<typeof keySchema>;

/** A complete inventory. */
export type Inventory = z.infer<typeof inventorySchema>;
