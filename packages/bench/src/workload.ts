/** Seeded sessions that write, read and roam, and note what they were told. */

import type pg from 'pg';
import {
	chooseRandom, classifyFailure, connectEntry, wait, type Operation, type Random,
} from '@guavapitch/load';
import type {Stack, StackProxy} from './stack.js';

/** What the sessions do. */
export type WorkloadOptions = Readonly<{
	service: string;
	browseService: string;
	sessions: number;
	accounts: number;
	balance: number;
	/** Pause between two operations of a session, in milliseconds. */
	pauseMs: number;
}>;

/** A running workload. */
export type Workload = Readonly<{
	history: readonly Operation[];
	/** Ends the sessions after their current operation. */
	stop: () => Promise<void>;
}>;

const RETRY_MS = 50;
const ROAM_SHARE = 0.1;

/** Connects a customer to a proxy. */
export const connectCustomer = async (stack: Stack, proxy: StackProxy, customer: string, service: string): Promise<pg.Client> => connectEntry(
	{host: '127.0.0.1', port: proxy.port},
	{keyId: `${customer}-key`, secret: stack.secrets.get(customer), service},
);

/** Creates the tables of a workload. */
export const createTables = async (stack: Stack, plan: WorkloadOptions): Promise<void> => {
	const [proxy] = stack.proxies.values();
	const [customer] = stack.secrets.keys();
	if (!proxy || !customer) {
		throw new RangeError('The stack has no proxy or no customer');
	}

	const client = await connectCustomer(stack, proxy, customer, plan.service);
	await client.query('CREATE TABLE lodged (id text, session text)');
	await client.query('CREATE TABLE accounts (id int PRIMARY KEY, balance int)');
	for (let id = 0; id < plan.accounts; id++) {
		await client.query('INSERT INTO accounts VALUES ($1, $2)', [id, plan.balance]);
	}

	await client.end();
};

type Session = Readonly<{name: string; customer: string; random: Random}>;
type Step = Readonly<{kind: Operation['kind']; id: string; run: (client: pg.Client) => Promise<readonly string[]>}>;

const createTransfer = (session: Session, plan: WorkloadOptions): Step => {
	const from = Math.floor(session.random() * plan.accounts);
	const to = (from + 1 + Math.floor(session.random() * (plan.accounts - 1))) % plan.accounts;
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

const createStep = (session: Session, plan: WorkloadOptions, number: number): Step => {
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
				const found = await client.query<{id: string}>('SELECT id FROM lodged WHERE session = $1', [session.name]);
				return found.rows.map(row => row.id);
			},
		};
	}

	if (draw < 0.9) {
		return {
			kind: 'stale',
			id: 'sum',
			async run(client) {
				const found = await client.query<{sum: string}>('SELECT sum(balance) FROM accounts');
				return [String(found.rows[0]?.sum)];
			},
		};
	}

	return createTransfer(session, plan);
};

/** Starts the sessions. */
export const startWorkload = (stack: Stack, plan: WorkloadOptions, createSessionRandom: (number: number) => Random): Workload => {
	const history: Operation[] = [];
	let running = true;
	let count = 0;

	const runSession = async (session: Session) => {
		let client: pg.Client | undefined;
		let vm = '';
		while (running) {
			if (!client) {
				const proxy = chooseRandom([...stack.proxies.values()], session.random);
				client = await connectCustomer(stack, proxy, session.customer, plan.service).catch(() => undefined);
				vm = proxy.vm;
				if (!client) {
					await wait(RETRY_MS);
					continue;
				}
			}

			count++;
			const number = count;
			const step = createStep(session, plan, number);
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
				const sqlState = code?.length === 5 ? code : undefined;
				history.push({
					...base, endedAt: Date.now(), outcome: classifyFailure(sqlState, message), ...(sqlState ? {sqlState} : {}),
				});
				await client.end().catch(() => undefined);
				client = undefined;
			}

			if (client && session.random() < ROAM_SHARE) {
				await client.end().catch(() => undefined);
				client = undefined;
			}

			await wait(plan.pauseMs * session.random());
		}

		await client?.end().catch(() => undefined);
	};

	const customers = [...stack.secrets.keys()];
	const sessions = Array.from({length: plan.sessions}, async (_, index) => runSession({
		name: `s${index}`, customer: customers[index % customers.length] ?? '', random: createSessionRandom(index),
	}));
	return {
		history,
		async stop() {
			running = false;
			await Promise.all(sessions);
		},
	};
};
