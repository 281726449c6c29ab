/** Seeded workload of sessions that write, read and switch between proxies, and record the outcome of each operation. */

import type pg from 'pg';
import {
	chooseRandom, classifyFailure, connectEntry, wait, type Operation, type Random,
} from '@guavapitch/load';
import type {Stack, StackProxy} from './stack.js';

/** Options of a workload. */
export type WorkloadOptions = Readonly<{
	service: string;
	/** Second service of the database; no operation uses it. */
	browseService: string;
	sessionCount: number;
	accountCount: number;
	/** Balance of each account before the run. */
	initialBalance: number;
	/** Maximum pause between two operations of a session, in milliseconds. */
	maxPauseMs: number;
}>;

/** A running workload. */
export type Workload = Readonly<{
	/** Operations completed so far; grows while the workload runs. */
	history: readonly Operation[];
	/** Stops the sessions; resolves when each has completed its current operation. */
	stop: () => Promise<void>;
}>;

const RECONNECT_DELAY_MS = 50;
/** Probability that a session switches to another proxy after an operation. */
const PROXY_SWITCH_PROBABILITY = 0.1;

/** Connects to a proxy with the key of a customer. */
export const connectCustomer = async (stack: Stack, proxy: StackProxy, customer: string, service: string): Promise<pg.Client> => connectEntry(
	{host: '127.0.0.1', port: proxy.port},
	{keyId: `${customer}-key`, secret: stack.secrets.get(customer), service},
);

/** Creates and fills the tables that a workload uses. */
export const createTables = async (stack: Stack, options: WorkloadOptions): Promise<void> => {
	const [proxy] = stack.proxies.values();
	const [customer] = stack.secrets.keys();
	if (!proxy || !customer) {
		throw new RangeError('The stack has no proxy or no customer');
	}

	const client = await connectCustomer(stack, proxy, customer, options.service);
	await client.query('CREATE TABLE lodged (id text, session text)');
	await client.query('CREATE TABLE accounts (id int PRIMARY KEY, balance int)');
	for (let id = 0; id < options.accountCount; id++) {
		await client.query('INSERT INTO accounts VALUES ($1, $2)', [id, options.initialBalance]);
	}

	await client.end();
};

type Session = Readonly<{name: string; customer: string; random: Random}>;
type Step = Readonly<{kind: Operation['kind']; id: string; run: (client: pg.Client) => Promise<readonly string[]>}>;

const createTransfer = (session: Session, options: WorkloadOptions): Step => {
	const from = Math.floor(session.random() * options.accountCount);
	const to = (from + 1 + Math.floor(session.random() * (options.accountCount - 1))) % options.accountCount;
	// Accounts are locked in the order of their identifiers, so that transfers cannot deadlock.
	const [low, high] = from < to ? [from, to] : [to, from];
	return {
		kind: 'transfer',
		id: `${from}-${to}`,
		async run(client) {
			await client.query('BEGIN');
			await client.query(`UPDATE accounts SET balance = balance ${low === from ? '-' : '+'} 1 WHERE id = $1`, [low]);
			await client.query(`UPDATE accounts SET balance = balance ${high === from ? '-' : '+'} 1 WHERE id = $1`, [high]);
			await client.query('COMMIT');
			return [];
		},
	};
};

const createStep = (session: Session, options: WorkloadOptions, number: number): Step => {
	const draw = session.random();
	if (draw < 0.4) {
		const id = `${session.name}.${number}`;
		return {
			kind: 'lodge',
			id,
			async run(client) {
				await client.query('INSERT INTO lodged VALUES ($1, $2)', [id, session.name]);
				return [];
			},
		};
	}

	if (draw < 0.8) {
		return {
			kind: 'read',
			id: session.name,
			async run(client) {
				const result = await client.query<{id: string}>('SELECT id FROM lodged WHERE session = $1', [session.name]);
				return result.rows.map(row => row.id);
			},
		};
	}

	if (draw < 0.9) {
		return {
			kind: 'stale',
			id: 'sum',
			async run(client) {
				const result = await client.query<{sum: string}>('SELECT sum(balance) FROM accounts');
				return [String(result.rows[0]?.sum)];
			},
		};
	}

	return createTransfer(session, options);
};

/** Starts the sessions of a workload. */
export const startWorkload = (stack: Stack, options: WorkloadOptions, createSessionRandom: (sessionIndex: number) => Random): Workload => {
	const history: Operation[] = [];
	let isRunning = true;
	let operationCount = 0;

	const runSession = async (session: Session) => {
		let client: pg.Client | undefined;
		let vm = '';
		while (isRunning) {
			if (!client) {
				const proxy = chooseRandom([...stack.proxies.values()], session.random);
				client = await connectCustomer(stack, proxy, session.customer, options.service).catch(() => undefined);
				vm = proxy.vm;
				if (!client) {
					await wait(RECONNECT_DELAY_MS);
					continue;
				}
			}

			operationCount++;
			const number = operationCount;
			const step = createStep(session, options, number);
			const base = {
				number, session: session.name, customer: session.customer, kind: step.kind, id: step.id, vm, startedAt: Date.now(),
			};
			try {
				const found = await step.run(client);
				history.push({
					...base, endedAt: Date.now(), outcome: 'done', found,
				});
			} catch (error) {
				const {code, message} = error as Readonly<{code?: string; message: string}>;
				// Codes of other lengths are not SQLSTATEs but error codes of Node, such as ECONNRESET.
				const sqlState = code?.length === 5 ? code : undefined;
				history.push({
					...base, endedAt: Date.now(), outcome: classifyFailure(sqlState, message), ...(sqlState ? {sqlState} : {}),
				});
				await client.end().catch(() => undefined);
				client = undefined;
			}

			if (client && session.random() < PROXY_SWITCH_PROBABILITY) {
				await client.end().catch(() => undefined);
				client = undefined;
			}

			await wait(options.maxPauseMs * session.random());
		}

		await client?.end().catch(() => undefined);
	};

	const customers = [...stack.secrets.keys()];
	const sessions = Array.from({length: options.sessionCount}, async (_, index) => runSession({
		name: `s${index}`, customer: customers[index % customers.length] ?? '', random: createSessionRandom(index),
	}));
	return {
		history,
		async stop() {
			isRunning = false;
			await Promise.all(sessions);
		},
	};
};
