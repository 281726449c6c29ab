#!/usr/bin/env node
/** Development script: measurements that docs/MEASUREMENTS.md and docs/CAPACITY.md quote. */

import {readFileSync} from 'node:fs';
import {createConnection, type Socket} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import pg from 'pg';
import yargs from 'yargs';
import type {Inventory} from '@guavapitch/inventory';
import {
	connectAll, runClosedLoop, runOpenLoop, wait, type LoginOptions, type EntryAddress, type TrafficResult,
} from '@guavapitch/load';
import {createStartupPacket} from '@guavapitch/postgres-wire';
import {readExample} from './examples.js';
import {computePercentile, computeSlope, readProcessUsage} from './statistics.js';
import {startChild, startStack, type Stack} from './stack.js';
import {connectCustomer} from './workload.js';

const SKIP_NODE_AND_SCRIPT = 2;
const CLIENTS = 16;
const CLOSED_MS = 4000;
const UNLIMITED = 1_000_000;
const ROWS = 100;
const OPEN_MS = 10_000;
const LARGE_FACTOR = 8;
const FAIR_CONNECTIONS = 16;
/** Part of their rates at which customers send, so that the targets and not the machine are short. */
const FAIR_SCALE = 0.1;
const FAIR_STATEMENT = 'SELECT pg_sleep(0.02)';
const MEBIBYTE = 1_048_576;

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const format = (value: number, digits = 2): string => value.toFixed(digits);

/** Connects every customer before any traffic starts, so that logins do not count as latency. */
const connectCustomers = async (stack: Stack, customers: readonly string[], connections: number): Promise<ReadonlyMap<string, readonly pg.Client[]>> => {
	const connecting = customers.map(async (customer, index) => {
		const clients = await connectAll(listEntries(stack), createLogin(stack, customer), connections, index);
		return [customer, clients] as const;
	});
	return new Map(await Promise.all(connecting));
};

const firstService = (inventory: Inventory): string => Object.keys(inventory.services)[0] ?? '';
const firstCustomer = (stack: Stack): string => [...stack.secrets.keys()][0] ?? '';

/** Keeps the first database; puts all its targets in one data centre. */
const createSmall = (dataCentres: readonly string[], place: string): Inventory => {
	const full = readExample('dvorak');
	const [[name, database]] = Object.entries(full.databases) as [[string, Inventory['databases'][string]]];
	const services = Object.fromEntries(Object.entries(full.services).filter(([, service]) => service.database === name));
	return {
		...full,
		dataCentres: [...dataCentres],
		databases: {[name]: {...database, targets: database.targets.map(target => ({...target, dataCentre: place, slots: 8}))}},
		services,
		customers: Object.fromEntries(Object.entries(full.customers).map(([customer, share]) => [customer, {
			...share, rate: UNLIMITED, burst: UNLIMITED, services: Object.keys(services),
		}])),
	};
};

const fillTable = async (client: pg.Client) => {
	await client.query('CREATE TABLE rows (id int PRIMARY KEY, body text)');
	for (let id = 0; id < ROWS; id++) {
		await client.query('INSERT INTO rows VALUES ($1, $2)', [id, 'x'.repeat(100)]);
	}
};

const createSelect = (number: number) => ({text: 'SELECT body FROM rows WHERE id = $1', values: [number % ROWS]});

const measurePath = async (dataCentres: readonly string[], place: string, entryPlace: string) => {
	await using stack = await startStack({
		inventory: createSmall(dataCentres, place), proxiesPerDataCentre: 1, connectMs: 10, statementMs: 0, lagMs: 5,
	});
	const proxy = [...stack.proxies.values()].find(one => one.dataCentre === entryPlace);
	if (!proxy) {
		throw new RangeError('There is no proxy in that data centre');
	}

	const service = firstService(stack.inventory);
	const clients = await Promise.all(Array.from({length: CLIENTS}, async () => connectCustomer(stack, proxy, firstCustomer(stack), service)));
	await fillTable(clients[0] ?? new pg.Client());
	await wait(200);
	const through = await runClosedLoop(clients, CLOSED_MS, createSelect);
	await Promise.all(clients.map(async client => client.end()));
	const [target] = stack.targets.values();
	const direct = await Promise.all(Array.from({length: CLIENTS}, async () => {
		const client = new pg.Client({
			host: '127.0.0.1', port: target?.port, user: 'direct', database: 'postgres',
		});
		await client.connect();
		return client;
	}));
	const straight = await runClosedLoop(direct, CLOSED_MS, createSelect);
	await Promise.all(direct.map(async client => client.end()));
	return {through, straight};
};

const formatTraffic = ({perSecond, p50, p99}: TrafficResult): string => `${format(perSecond, 0)}/s p50 ${format(p50)} p99 ${format(p99)} ms`;

const measureBaseline = async () => {
	for (const [name, dataCentres, entryPlace] of [['one proxy', ['a'], 'a'], ['entry and home', ['a', 'b'], 'b']] as const) {
		const {through, straight} = await measurePath(dataCentres, 'a', entryPlace);
		print(`${name}: ${formatTraffic(through)}; direct: ${formatTraffic(straight)}`);
		print(`  ratios: throughput ${format(through.perSecond / straight.perSecond)} p50 ${format(through.p50 / straight.p50)} p99 ${format(through.p99 / straight.p99)}`);
	}
};

const openIdle = async (port: number, service: string): Promise<Socket> => new Promise((resolve, reject) => {
	const socket = createConnection({host: '127.0.0.1', port}, () => {
		socket.write(createStartupPacket({user: 'idle', database: service}));
	});
	socket.once('data', () => {
		resolve(socket);
	});
	socket.once('error', reject);
});

const measureMemory = async () => {
	const small = createSmall(['a'], 'a');
	const service = firstService(small);
	const open = {...small, services: Object.fromEntries(Object.entries(small.services).map(([name, one]) => [name, {...one, open: true}]))};
	await using stack = await startStack({
		inventory: open, proxiesPerDataCentre: 1, connectMs: 10, statementMs: 0, lagMs: 5,
	});
	const [proxy] = stack.proxies.values();
	if (!proxy) {
		throw new RangeError('There is no proxy');
	}

	const sockets: Socket[] = [];
	const points: Array<readonly [number, number]> = [];
	for (const target of [1000, 5000, 10_000]) {
		while (sockets.length < target) {
			sockets.push(...await Promise.all(Array.from({length: 100}, async () => openIdle(proxy.port, service))));
		}

		await wait(3000);
		const {residentBytes} = readProcessUsage(proxy);
		points.push([target, residentBytes]);
		print(`idle callers ${target}: resident ${format(residentBytes / MEBIBYTE, 1)} MiB`);
	}

	print(`slope: ${format(computeSlope(points) / 1024)} KiB for each idle caller`);
	for (const socket of sockets) {
		socket.destroy();
	}
};

const listEntries = (stack: Stack): readonly EntryAddress[] => [...stack.proxies.values()].map(({port}) => ({host: '127.0.0.1', port}));

const createLogin = (stack: Stack, customer: string): LoginOptions => ({keyId: `${customer}-key`, secret: stack.secrets.get(customer), service: 'motions'});

const startFleet = async (proxies: number, statementMs: number, change: (inventory: Inventory) => Inventory = inventory => inventory) => {
	const inventory = change(readExample('dvorak'));
	const stack = await startStack({
		inventory, proxiesPerDataCentre: Math.floor(proxies / inventory.dataCentres.length), connectMs: 10, statementMs, lagMs: 5,
	});
	for (let extra = stack.proxies.size; extra < proxies; extra++) {
		const dataCentre = inventory.dataCentres[extra % inventory.dataCentres.length] ?? '';
		await stack.startProxy(`${dataCentre}-x${extra}`, dataCentre);
	}

	await stack.waitUntilReady();
	await wait(1500);
	return stack;
};

const measureShares = async (proxies: number) => {
	await using stack = await startFleet(proxies, 0);
	const customers = Object.entries(stack.inventory.customers);
	const run = async (seed: number, onHalf?: () => Promise<void>) => {
		const clients = await connectCustomers(stack, customers.map(([customer]) => customer), proxies);
		const all = customers.map(async ([customer, {rate}], index) => runOpenLoop(clients.get(customer) ?? [], {
			perSecond: rate * 0.8, durationMs: OPEN_MS, seed: seed + index, statement: 'SELECT 1 AS one',
		}));
		await wait(OPEN_MS / 2);
		await onHalf?.();
		return Promise.all(all);
	};

	const report = (name: string, results: Awaited<ReturnType<typeof run>>) => {
		const sent = results.reduce((sum, result) => sum + result.sent, 0);
		const refused = results.reduce((sum, result) => sum + result.refused, 0);
		const failed = results.reduce((sum, result) => sum + result.failed, 0);
		const worst = Math.max(...results.map(result => result.refused / result.sent));
		print(`${name}: ${proxies} proxies, 80% of every rate: sent ${sent}, refused inside the rate ${refused} (${format(100 * refused / sent, 3)}%)`);
		print(`  other failures ${JSON.stringify(results.map(result => result.failures))}`);
		print(`  worst customer ${format(100 * worst, 2)}%, otherwise failed ${failed}, p99 ${format(Math.max(...results.map(result => result.p99)))} ms`);
	};

	report('steady', await run(1));
	report('a keeper killed half way', await run(100, async () => {
		const statuses = await stack.getStatuses();
		const target = statuses.toSorted((a, b) => countCalls(b) - countCalls(a))[0];
		const proxy = stack.proxies.get(target?.vm ?? '');
		proxy?.process.kill('SIGKILL');
		stack.proxies.delete(target?.vm ?? '');
	}));
};

const countCalls = (status: Readonly<{metrics: Readonly<Record<string, number>>}>): number => status.metrics['store.calls{method=LeaseKeepAlive}'] ?? 0;

/** Floods as one customer from a process of its own, so that the clock of the others is not held up. */
const floodApart = async (stack: Stack, customer: string, perSecond: number): Promise<TrafficResult> => {
	const output = path.join(stack.logFolder, 'flood.json');
	const login = createLogin(stack, customer);
	const child = startChild('flood', 'load', [
		'run',
		...listEntries(stack).flatMap(({host, port}) => ['--target', `${host}:${port}`]),
		'--key',
		login.keyId,
		'--secret',
		login.secret ?? '',
		'--service',
		login.service,
		'--statement',
		FAIR_STATEMENT,
		'--per-second',
		String(perSecond),
		'--duration-ms',
		String(OPEN_MS),
		'--connections',
		String(FAIR_CONNECTIONS),
		'--output',
		output,
	]);
	await child.exited;
	return JSON.parse(readFileSync(output, 'utf8')) as TrafficResult;
};

const measureFairness = async () => {
	const unlimited = (inventory: Inventory): Inventory => ({
		...inventory,
		customers: Object.fromEntries(Object.entries(inventory.customers).map(([name, customer]) => [name, {...customer, rate: customer.rate * 100, burst: customer.burst * 100}])),
	});
	await using stack = await startFleet(8, 0, unlimited);
	const small = Object.entries(readExample('dvorak').customers);
	const connected = await connectCustomers(stack, small.slice(1).map(([customer]) => customer), FAIR_CONNECTIONS);
	const runSmall = async (seed: number) => Promise.all(small.slice(1).map(async ([customer, {rate}], index) => runOpenLoop(connected.get(customer) ?? [], {
		perSecond: rate * FAIR_SCALE, durationMs: OPEN_MS, seed: seed + index, statement: FAIR_STATEMENT,
	})));
	// The first run warms the processes up and is not counted.
	await runSmall(1);
	const alone = await runSmall(1);
	const [large] = small;
	const [together, flood] = await Promise.all([runSmall(1), floodApart(stack, large?.[0] ?? '', (large?.[1].rate ?? 0) * LARGE_FACTOR * FAIR_SCALE)]);
	const ratios = alone.map((result, index) => (together[index]?.p99 ?? 0) / result.p99);
	for (const [index, [customer]] of small.slice(1).entries()) {
		print(`${customer}: p99 alone ${format(alone[index]?.p99 ?? 0)} ms, beside the large one ${format(together[index]?.p99 ?? 0)} ms, ratio ${format(ratios[index] ?? 0)}`);
	}

	print(`large one: sent ${flood.sent} done ${flood.done} refused ${flood.refused} p99 ${format(flood.p99)} ms; worst ratio of the others ${format(Math.max(...ratios))}`);
};

const measureChanges = async (proxies: number) => {
	await using stack = await startFleet(proxies, 0);
	const changes: number[] = [];
	const withdrawals: number[] = [];
	const customers = [...stack.secrets.keys()];
	for (let round = 0; round < 6; round++) {
		const customer = customers[round] ?? '';
		const clients = await Promise.all([...stack.proxies.values()].map(async proxy => connectCustomer(stack, proxy, customer, 'motions')));
		const ended = clients.map(async client => new Promise<void>(resolve => {
			client.once('end', resolve);
		}));
		const startedAt = performance.now();
		const revision = await stack.withdrawKey(`${customer}-key`);
		await Promise.all(ended);
		withdrawals.push(performance.now() - startedAt);
		while ((await stack.getStatuses()).some(status => status.revision < revision)) {
			await wait(5);
		}

		changes.push(performance.now() - startedAt);
	}

	print(`${proxies} proxies, ${changes.length} withdrawals: open connections closed everywhere p50 ${format(computePercentile(withdrawals, 0.5), 0)} max ${format(Math.max(...withdrawals), 0)} ms`);
	print(`  change in force everywhere: p50 ${format(computePercentile(changes, 0.5), 0)} max ${format(Math.max(...changes), 0)} ms`);
};

const sumCalls = (statuses: ReadonlyArray<Readonly<{metrics: Readonly<Record<string, number>>}>>, name: string): number => statuses
	.flatMap(status => Object.entries(status.metrics))
	.filter(([key]) => key.startsWith(name))
	.reduce((sum, [, value]) => sum + value, 0);

const measureControl = async (sizes: readonly number[]) => {
	const calls: Array<readonly [number, number]> = [];
	const cpus: Array<readonly [number, number]> = [];
	const bytes: Array<readonly [number, number]> = [];
	for (const proxies of sizes) {
		await using stack = await startFleet(proxies, 0);
		const before = await stack.getStatuses();
		const cpuBefore = [...stack.proxies.values()].map(proxy => readProcessUsage(proxy).cpuMs);
		await wait(OPEN_MS);
		const readings = [...stack.proxies.values()].map(proxy => readProcessUsage(proxy));
		const after = await stack.getStatuses();
		const seconds = OPEN_MS / 1000;
		const cpu = readings.map((reading, index) => (reading.cpuMs - (cpuBefore[index] ?? 0)) / OPEN_MS * 100);
		const storeCalls = (sumCalls(after, 'store.calls') - sumCalls(before, 'store.calls')) / seconds;
		const sent = (sumCalls(after, 'peer.bytes') - sumCalls(before, 'peer.bytes')) / seconds / proxies;
		const resident = readings.map(reading => reading.residentBytes / MEBIBYTE);
		calls.push([proxies, storeCalls]);
		cpus.push([proxies, computePercentile(cpu, 0.5)]);
		bytes.push([proxies, sent]);
		print(`${proxies} proxies idle: processor median ${format(computePercentile(cpu, 0.5))}% max ${format(Math.max(...cpu))}% of a core; store calls ${format(storeCalls, 1)}/s`);
		print(`  peer bytes in and out ${format(sent / 1024)} KiB/s each; resident median ${format(computePercentile(resident, 0.5), 1)} MiB`);
	}

	print(`slopes for each further proxy: store calls ${format(computeSlope(calls))}/s`);
	print(`  processor of each ${format(computeSlope(cpus), 4)}% of a core, peer bytes of each ${format(computeSlope(bytes))} B/s`);
};

const flags = await yargs(process.argv.slice(SKIP_NODE_AND_SCRIPT))
	.scriptName('measure')
	.strict()
	.demandCommand(1)
	.option('proxies', {type: 'number', default: 19, describe: 'proxies of the fleet'})
	.option('sizes', {
		type: 'number', array: true, default: [4, 12, 24], describe: 'sizes of the fleet',
	})
	.command('baseline', 'point SELECT through the proxy against a direct connection')
	.command('memory', 'resident memory for each idle caller')
	.command('shares', 'refusals inside the rate')
	.command('fairness', 'the worst-served customer beside a large one')
	.command('changes', 'changes and withdrawals in force everywhere')
	.command('control', 'cost of control for each proxy')
	.parse();

const runs: Readonly<Record<string, () => Promise<void>>> = {
	baseline: measureBaseline,
	memory: measureMemory,
	shares: async () => measureShares(flags.proxies),
	fairness: measureFairness,
	changes: async () => measureChanges(flags.proxies),
	control: async () => measureControl(flags.sizes),
};
await runs[String(flags._[0])]?.();
process.exitCode = 0;
