/** Schema of the inventory that operators edit. */

import {z} from 'zod';

const name = z.string().regex(/^[a-z][\-a-z\d]{0,62}$/v, 'expected a name of lower-case letters, digits and hyphens');
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/v, 'expected host:port');
const positive = z.number().int().positive();

/** One target of a database. */
export const targetSchema = z.strictObject({
	name,
	dataCentre: name,
	address,
	/** Statements the target runs at a time. */
	slots: positive,
	/** Connections the target accepts. */
	connections: positive.min(4, 'expected at least 4 connections'),
	/** Gets no new work. */
	leaving: z.boolean().default(false),
}).readonly();

/** Takes the name that the list of targets had in documents of earlier versions. */
const renameFormerKeys = (database: unknown): unknown => {
	if (typeof database !== 'object' || database === null || !('instances' in database) || 'targets' in database) {
		return database;
	}

	const {instances, ...others} = database;
	return {...others, targets: instances};
};

/** One database: a primary and its replicas. */
export const databaseSchema = z.preprocess(renameFormerKeys, z.strictObject({
	/** `replicated`: an answer waits for the synced replicas; `primary`: it does not, and a failover may lose it. */
	acknowledge: z.enum(['replicated', 'primary']).default('replicated'),
	/** Replicas that must stay in the synced set. */
	minimumSynced: z.number().int().min(0).default(1),
	/** User that guavapitch connects as. */
	user: z.string().min(1).default('guavapitch'),
	/** Environment variable of the proxies that holds the password of that user. */
	passwordVariable: z.string().regex(/^[A-Z][\dA-Z_]*$/v).optional(),
	/** Database name on the targets. */
	databaseName: z.string().min(1).default('postgres'),
	targets: z.array(targetSchema).min(1).readonly(),
}).readonly());

/** One service: what callers name as their database. */
export const serviceSchema = z.strictObject({
	database: name,
	/** Whether callers need no key. */
	open: z.boolean().default(false),
	/** Age up to which reads may be stale, in milliseconds; none: every read sees the caller's writes. */
	staleReadsMs: positive.optional(),
	/** Time within which a request must be answered or refused, in milliseconds. */
	requestTimeoutMs: positive.default(10_000),
	/** Time that a transaction may stay idle, in milliseconds. */
	idleTransactionMs: positive.default(30_000),
}).readonly();

/** One customer and its share. */
export const customerSchema = z.strictObject({
	/** Requests a second over the whole fleet. */
	rate: z.number().positive(),
	/** Requests at once over the whole fleet. */
	burst: positive.min(2, 'expected at least 2'),
	/** Share of a busy target, relative to the other customers. */
	weight: z.number().positive().default(1),
	/** Services the customer may use. */
	services: z.array(name).min(1).readonly(),
	/** Whether its keys still work when their freshness cannot be confirmed. */
	serveUnconfirmed: z.boolean().default(false),
}).readonly();

/** One key; the inventory keeps only its verifier. */
export const keySchema = z.strictObject({
	customer: name,
	verifier: z.string().regex(/^SCRAM-SHA-256\$\d+:[^$:]+\$[^$:]+:[^$:]+$/v, 'expected a SCRAM-SHA-256 verifier'),
}).readonly();

/** Numbers that hold for the whole fleet. */
export const fleetSchema = z.strictObject({
	stewardSlots: positive.default(4),
	keeperSlots: positive.default(4),
	/** Time for which keys work without a confirmation of freshness, in milliseconds. */
	keyGraceMs: positive.default(5000),
}).readonly();

/** The whole inventory. */
export const inventorySchema = z.strictObject({
	fleet: fleetSchema.prefault({}),
	dataCentres: z.array(name).min(1).readonly(),
	databases: z.record(name, databaseSchema).readonly(),
	services: z.record(name, serviceSchema).readonly(),
	customers: z.record(name, customerSchema).readonly(),
	keys: z.record(name, keySchema).readonly().default({}),
}).readonly();

/** One target of a database. */
export type Target = z.infer<typeof targetSchema>;

/** One database. */
export type Database = z.infer<typeof databaseSchema>;

/** One service. */
export type Service = z.infer<typeof serviceSchema>;

/** One customer. */
export type Customer = z.infer<typeof customerSchema>;

/** One key. */
export type Key = z.infer<typeof keySchema>;

/** The whole inventory. */
export type Inventory = z.infer<typeof inventorySchema>;
