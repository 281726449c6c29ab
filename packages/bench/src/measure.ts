#!/usr/bin/env node
/** Development script: takes the measurements that docs/MEASUREMENTS.md and docs/CAPACITY.md quote. */

import {readFileSync} from 'node:fs';
import {createConnection, type Socket} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import pg from 'pg';
import yargs from 'yargs';
import type {Inventory} from '@guavapitch/inventory';
import {
	connectClients, runClosedLoop, runOpenLoop, wait, type LoginOptions, type EntryAddress, type TrafficResult,
} from '@guavapitch/load';
import {createStartupPacket} from '@guavapitch/postgres-wire';
import {readExample} from './examples.js';
import {computePercentile, computeSlope, readProcessUsage} from './statistics.js';
import {startChild, startStack, type Stack} from './stack.js';
import {connectCustomer} from './workload.js';

const FIRST_ARGUMENT_INDEX = 2;
const CLIENT_COUNT = 16;
const CLOSED_LOOP_MS = 4000;
/** Rate in requests per second, and burst, of customers that a measurement must not limit. */
const UNLIMITED_RATE = 1_000_000;
const ROW_COUNT = 100;
const OPEN_LOOP_MS = 10_000;
/** Multiple of `FAIRNESS_RATE_FRACTION` of its rate at which the large customer sends. */
const LARGE_CUSTOMER_FACTOR = 8;
/** Number of connections of each customer. */
const FAIRNESS_CONNECTIONS = 16;
/** Fraction of their rates at which customers send, so that the targets are the bottleneck and not the machine. */
const FAIRNESS_RATE_FRACTION = 0.1;
const FAIRNESS_STATEMENT = 'SELECT pg_sleep(0.02)';
const BYTES_PER_MEBIBYTE = 1_048_576;

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const format = (value: number, digits = 2): string => value.toFixed(digits);

/** Connects all customers before any traffic starts, so that logins do not count as latency. */
const connectCustomers = async (stack: Stack, customers: readonly string[], connections: number): Promise<ReadonlyMap<string, readonly pg.Client[]>> => {
	const connecting = customers.map(async (customer, index) => {
		const clients = await connectClients(listEntries(stack), createLogin(stack, customer), connections, index);
		return [customer, clients] as const;
	});
	return new Map(await Promise.all(connecting));
};

const getFirstService = (inventory: Inventory): string => Object.keys(inventory.services)[0] ?? '';
const getFirstCustomer = (stack: Stack): string => [...stack.secrets.keys()][0] ?? '';

/** Creates an inventory with the first database of the example, all its targets in one data centre and no limits on customers. */
const createSingleDatabaseInventory = (dataCentres: readonly string[], targetDataCentre: string): Inventory => {
	const example = readExample('dvorak');
	const [[name, database]] = Object.entries(example.databases) as [[string, Inventory['databases'][string]]];
	const services = Object.fromEntries(Object.entries(example.services).filter(([, service]) => service.database === name));
	return {
		...example,
		dataCentres: [...dataCentres],
		databases: {[name]: {...database, targets: database.targets.map(target => ({...target, dataCentre: targetDataCentre, slots: 8}))}},
		services,
		customers: Object.fromEntries(Object.entries(example.customers).map(([customer, settings]) => [customer, {
			...settings, rate: UNLIMITED_RATE, burst: UNLIMITED_RATE, services: Object.keys(services),
		}])),
	};
};

const fillTable = async (client: pg.Client) => {
	await client.query('CREATE TABLE rows (id int PRIMARY KEY, body text)');
	for (let id = 0; id < ROW_COUNT; id++) {
		await client.query('INSERT INTO rows VALUES ($1, $2)', [id, 'x'.repeat(100)]);
	}
};

const createSelectStatement = (sequenceNumber: number) => ({text: 'SELECT body FROM rows WHERE id = $1', values: [sequenceNumber % ROW_COUNT]});

/** Measures the same closed loops through a proxy and on direct connections to the target. */
const measurePath = async (dataCentres: readonly string[], targetDataCentre: string, entryDataCentre: string) => {
	await using stack = await startStack({
		inventory: createSingleDatabaseInventory(dataCentres, targetDataCentre), proxiesPerDataCentre: 1, connectMs: 10, statementMs: 0, lagMs: 5,
	});
	const proxy = [...stack.proxies.values()].find(candidate => candidate.dataCentre === entryDataCentre);
	if (!proxy) {
		throw new RangeError('The stack has no proxy in the data centre of the entry');
	}

	const service = getFirstService(stack.inventory);
	const clients = await Promise.all(Array.from({length: CLIENT_COUNT}, async () => connectCustomer(stack, proxy, getFirstCustomer(stack), service)));
	await fillTable(clients[0] ?? new pg.Client());
	await wait(200);
	const proxied = await runClosedLoop(clients, CLOSED_LOOP_MS, createSelectStatement);
	await Promise.all(clients.map(async client => client.end()));
	const [target] = stack.targets.values();
	const directClients = await Promise.all(Array.from({length: CLIENT_COUNT}, async () => {
		const client = new pg.Client({
			host: '127.0.0.1', port: target?.port, user: 'direct', database: 'postgres',
		});
		await client.connect();
		return client;
	}));
	const direct = await runClosedLoop(directClients, CLOSED_LOOP_MS, createSelectStatement);
	await Promise.all(directClients.map(async client => client.end()));
	return {proxied, direct};
};

const formatTraffic = ({perSecond, p50, p99}: TrafficResult): string => `${format(perSecond, 0)}/s p50 ${format(p50)} p99 ${format(p99)} ms`;

const measureBaseline = async () => {
	for (const [name, dataCentres, entryDataCentre] of [['one proxy', ['a'], 'a'], ['entry and owner', ['a', 'b'], 'b']] as const) {
		const {proxied, direct} = await measurePath(dataCentres, 'a', entryDataCentre);
		print(`${name}: ${formatTraffic(proxied)}; direct: ${formatTraffic(direct)}`);
		print(`  ratios: throughput ${format(proxied.perSecond / direct.perSecond)} p50 ${format(proxied.p50 / direct.p50)} p99 ${format(proxied.p99 / direct.p99)}`);
	}
};

const openIdleConnection = async (port: number, service: string): Promise<Socket> => new Promise((resolve, reject) => {
	const socket = createConnection({host: '127.0.0.1', port}, () => {
		socket.write(createStartupPacket({user: 'idle', database: service}));
	});
	socket.once('data', () => {
		resolve(socket);
	});
	socket.once('error', reject);
});

const measureMemory = async () => {
	const inventory = createSingleDatabaseInventory(['a'], 'a');
	const service = getFirstService(inventory);
	const inventoryWithOpenServices = {...inventory, services: Object.fromEntries(Object.entries(inventory.services).map(([name, settings]) => [name, {...settings, open: true}]))};
	await using stack = await startStack({
		inventory: inventoryWithOpenServices, proxiesPerDataCentre: 1, connectMs: 10, statementMs: 0, lagMs: 5,
	});
	const [proxy] = stack.proxies.values();
	if (!proxy) {
		throw new RangeError('The stack has no proxy');
	}

	const sockets: Socket[] = [];
	const points: Array<readonly [number, number]> = [];
	for (const callerCount of [1000, 5000, 10_000]) {
		while (sockets.length < callerCount) {
			sockets.push(...await Promise.all(Array.from({length: 100}, async () => openIdleConnection(proxy.port, service))));
		}

		await wait(3000);
		const {residentBytes} = readProcessUsage(proxy);
		points.push([callerCount, residentBytes]);
		print(`idle callers ${callerCount}: resident ${format(residentBytes / BYTES_PER_MEBIBYTE, 1)} MiB`);
	}

	print(`slope: ${format(computeSlope(points) / 1024)} KiB for each idle caller`);
	for (const socket of sockets) {
		socket.destroy();
	}
};

const listEntries = (stack: Stack): readonly EntryAddress[] => [...stack.proxies.values()].map(({port}) => ({host: '127.0.0.1', port}));

const createLogin = (stack: Stack, customer: string): LoginOptions => ({keyId: `${customer}-key`, secret: stack.secrets.get(customer), service: 'motions'});

/** Starts a stack with exactly `proxyCount` proxies, distributed evenly over the data centres, and waits until it is ready. */
const startFleet = async (proxyCount: number, statementMs: number, adjustInventory: (inventory: Inventory) => Inventory = inventory => inventory) => {
	const inventory = adjustInventory(readExample('dvorak'));
	const stack = await startStack({
		inventory, proxiesPerDataCentre: Math.floor(proxyCount / inventory.dataCentres.length), connectMs: 10, statementMs, lagMs: 5,
	});
	for (let proxyIndex = stack.proxies.size; proxyIndex < proxyCount; proxyIndex++) {
		const dataCentre = inventory.dataCentres[proxyIndex % inventory.dataCentres.length] ?? '';
		await stack.startProxy(`${dataCentre}-x${proxyIndex}`, dataCentre);
	}

	await stack.waitUntilReady();
	await wait(1500);
	return stack;
};

const measureQuotas = async (proxyCount: number) => {
	await using stack = await startFleet(proxyCount, 0);
	const customers = Object.entries(stack.inventory.customers);
	const runTraffic = async (seed: number, onMidpoint?: () => Promise<void>) => {
		const clients = await connectCustomers(stack, customers.map(([customer]) => customer), proxyCount);
		const traffic = customers.map(async ([customer, {rate}], index) => runOpenLoop(clients.get(customer) ?? [], {
			perSecond: rate * 0.8, durationMs: OPEN_LOOP_MS, seed: seed + index, statement: 'SELECT 1 AS one',
		}));
		await wait(OPEN_LOOP_MS / 2);
		await onMidpoint?.();
		return Promise.all(traffic);
	};

	const printResults = (name: string, results: Awaited<ReturnType<typeof runTraffic>>) => {
		const sent = results.reduce((sum, result) => sum + result.sent, 0);
		const refused = results.reduce((sum, result) => sum + result.refused, 0);
		const failed = results.reduce((sum, result) => sum + result.failed, 0);
		const worstRefusedFraction = Math.max(...results.map(result => result.refused / result.sent));
		print(`${name}: ${proxyCount} proxies, 80% of every rate: sent ${sent}, refused within the quota ${refused} (${format(100 * refused / sent, 3)}%)`);
		print(`  other failures ${JSON.stringify(results.map(result => result.failures))}`);
		print(`  worst customer ${format(100 * worstRefusedFraction, 2)}%, otherwise failed ${failed}, p99 ${format(Math.max(...results.map(result => result.p99)))} ms`);
	};

	printResults('steady', await runTraffic(1));
	printResults('with a quota allocator killed at the midpoint', await runTraffic(100, async () => {
		const statuses = await stack.getStatuses();
		const busiest = statuses.toSorted((a, b) => countLeaseRenewals(b) - countLeaseRenewals(a))[0];
		const proxy = stack.proxies.get(busiest?.vm ?? '');
		proxy?.process.kill('SIGKILL');
		stack.proxies.delete(busiest?.vm ?? '');
	}));
};

/** Returns the number of lease renewals that a vm has sent to the store. */
const countLeaseRenewals = (status: Readonly<{metrics: Readonly<Record<string, number>>}>): number => status.metrics['store.calls{method=LeaseKeepAlive}'] ?? 0;

/** Sends the load of one large customer from a separate process, so that it does not delay the timers of the other customers. */
const floodFromChildProcess = async (stack: Stack, customer: string, perSecond: number): Promise<TrafficResult> => {
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
		FAIRNESS_STATEMENT,
		'--per-second',
		String(perSecond),
		'--duration-ms',
		String(OPEN_LOOP_MS),
		'--connections',
		String(FAIRNESS_CONNECTIONS),
		'--output',
		output,
	]);
	await child.exited;
	return JSON.parse(readFileSync(output, 'utf8')) as TrafficResult;
};

const measureFairness = async () => {
	const raiseQuotas = (inventory: Inventory): Inventory => ({
		...inventory,
		customers: Object.fromEntries(Object.entries(inventory.customers).map(([name, customer]) => [name, {...customer, rate: customer.rate * 100, burst: customer.burst * 100}])),
	});
	await using stack = await startFleet(8, 0, raiseQuotas);
	const customers = Object.entries(readExample('dvorak').customers);
	const clients = await connectCustomers(stack, customers.slice(1).map(([customer]) => customer), FAIRNESS_CONNECTIONS);
	const runSmallCustomers = async (seed: number) => Promise.all(customers.slice(1).map(async ([customer, {rate}], index) => runOpenLoop(clients.get(customer) ?? [], {
		perSecond: rate * FAIRNESS_RATE_FRACTION, durationMs: OPEN_LOOP_MS, seed: seed + index, statement: FAIRNESS_STATEMENT,
	})));
	// The first run is a warm-up and is not counted.
	await runSmallCustomers(1);
	const aloneResults = await runSmallCustomers(1);
	const [largeCustomer] = customers;
	const [sharedResults, floodResult] = await Promise.all([
		runSmallCustomers(1),
		floodFromChildProcess(stack, largeCustomer?.[0] ?? '', (largeCustomer?.[1].rate ?? 0) * LARGE_CUSTOMER_FACTOR * FAIRNESS_RATE_FRACTION),
	]);
	const ratios = aloneResults.map((result, index) => (sharedResults[index]?.p99 ?? 0) / result.p99);
	for (const [index, [customer]] of customers.slice(1).entries()) {
		print(`${customer}: p99 alone ${format(aloneResults[index]?.p99 ?? 0)} ms, beside the large customer ${format(sharedResults[index]?.p99 ?? 0)} ms, ratio ${format(ratios[index] ?? 0)}`);
	}

	print(`large customer: sent ${floodResult.sent} done ${floodResult.done} refused ${floodResult.refused} p99 ${format(floodResult.p99)} ms; worst ratio of others ${format(Math.max(...ratios))}`);
};

const measureConfigurationChanges = async (proxyCount: number) => {
	await using stack = await startFleet(proxyCount, 0);
	// Times from the withdrawal of a key until its connections are closed and until the change is active, at all proxies.
	const activeMs: number[] = [];
	const closedMs: number[] = [];
	const customers = [...stack.secrets.keys()];
	for (let round = 0; round < 6; round++) {
		const customer = customers[round] ?? '';
		const clients = await Promise.all([...stack.proxies.values()].map(async proxy => connectCustomer(stack, proxy, customer, 'motions')));
		const connectionEnds = clients.map(async client => new Promise<void>(resolve => {
			client.once('end', resolve);
		}));
		const startedAt = performance.now();
		const revision = await stack.withdrawKey(`${customer}-key`);
		await Promise.all(connectionEnds);
		closedMs.push(performance.now() - startedAt);
		while ((await stack.getStatuses()).some(status => status.revision < revision)) {
			await wait(5);
		}

		activeMs.push(performance.now() - startedAt);
	}

	print(`${proxyCount} proxies, ${activeMs.length} withdrawals: open connections closed everywhere p50 ${format(computePercentile(closedMs, 0.5), 0)} max ${format(Math.max(...closedMs), 0)} ms`);
	print(`  change active everywhere: p50 ${format(computePercentile(activeMs, 0.5), 0)} max ${format(Math.max(...activeMs), 0)} ms`);
};

const sumMetrics = (statuses: ReadonlyArray<Readonly<{metrics: Readonly<Record<string, number>>}>>, name: string): number => statuses
	.flatMap(status => Object.entries(status.metrics))
	.filter(([key]) => key.startsWith(name))
	.reduce((sum, [, value]) => sum + value, 0);

const measureControlPlane = async (sizes: readonly number[]) => {
	const storeCallPoints: Array<readonly [number, number]> = [];
	const cpuPoints: Array<readonly [number, number]> = [];
	const peerBytePoints: Array<readonly [number, number]> = [];
	for (const proxyCount of sizes) {
		await using stack = await startFleet(proxyCount, 0);
		const statusesBefore = await stack.getStatuses();
		const cpuBefore = [...stack.proxies.values()].map(proxy => readProcessUsage(proxy).cpuMs);
		await wait(OPEN_LOOP_MS);
		const usages = [...stack.proxies.values()].map(proxy => readProcessUsage(proxy));
		const statusesAfter = await stack.getStatuses();
		const seconds = OPEN_LOOP_MS / 1000;
		const cpuPercents = usages.map((usage, index) => (usage.cpuMs - (cpuBefore[index] ?? 0)) / OPEN_LOOP_MS * 100);
		const storeCallRate = (sumMetrics(statusesAfter, 'store.calls') - sumMetrics(statusesBefore, 'store.calls')) / seconds;
		const peerByteRate = (sumMetrics(statusesAfter, 'peer.bytes') - sumMetrics(statusesBefore, 'peer.bytes')) / seconds / proxyCount;
		const residentMib = usages.map(usage => usage.residentBytes / BYTES_PER_MEBIBYTE);
		storeCallPoints.push([proxyCount, storeCallRate]);
		cpuPoints.push([proxyCount, computePercentile(cpuPercents, 0.5)]);
		peerBytePoints.push([proxyCount, peerByteRate]);
		print(`${proxyCount} proxies idle: CPU median ${format(computePercentile(cpuPercents, 0.5))}% max ${format(Math.max(...cpuPercents))}% of a core; store calls ${format(storeCallRate, 1)}/s`);
		print(`  peer bytes in and out ${format(peerByteRate / 1024)} KiB/s each; resident median ${format(computePercentile(residentMib, 0.5), 1)} MiB`);
	}

	print(`slopes for each further proxy: store calls ${format(computeSlope(storeCallPoints))}/s`);
	print(`  CPU of each ${format(computeSlope(cpuPoints), 4)}% of a core, peer bytes of each ${format(computeSlope(peerBytePoints))} B/s`);
};

const flags = await yargs(process.argv.slice(FIRST_ARGUMENT_INDEX))
	.scriptName('measure')
	.strict()
	.demandCommand(1)
	.option('proxies', {type: 'number', default: 19, describe: 'number of proxies'})
	.option('sizes', {
		type: 'number', array: true, default: [4, 12, 24], describe: 'numbers of proxies to compare',
	})
	.command('baseline', 'point SELECT through the proxy, compared with a direct connection')
	.command('memory', 'resident memory for each idle caller')
	.command('shares', 'refusals of customers within their quotas')
	.command('fairness', 'latency of small customers beside a large one')
	.command('changes', 'time until changes and withdrawn keys are active everywhere')
	.command('control', 'cost of the control plane for each proxy')
	.parse();

const measurements: Readonly<Record<string, () => Promise<void>>> = {
	baseline: measureBaseline,
	memory: measureMemory,
	shares: async () => measureQuotas(flags.proxies),
	fairness: measureFairness,
	changes: async () => measureConfigurationChanges(flags.proxies),
	control: async () => measureControlPlane(flags.sizes),
};
await measurements[String(flags._[0])]?.();
process.exitCode = 0;
