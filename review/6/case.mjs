/* eslint-disable no-await-in-loop -- a caller sends one message after the other */
/** All processes are killed, and while they start again, a quarter of the writes to the store is executed late and not answered; then the fleet must serve again. */

import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {getRouteNames} from '../../platform/dist/tests/standin/platform.js';
import {
	createRecord, HAS_TROUBLE, runCase, sleep,
} from '../harness-2/system.mjs';

const DATABASE = 'motions';
const ROUTES = getRouteNames(DATABASE);
const KEY = 'key-klub';
/** Of the writes of a vm, every fourth is lost, from the second on. */
const LOST_EVERY = 4;
const FIRST_LOST = 2;
/** Delay after which a lost write is executed, and time for which writes are lost, in milliseconds. */
const LATE_MS = 3000;
const LOSING_MS = 4500;
/** Time for which the processes are down, in milliseconds. */
const DOWN_MS = 1400;
/** Time that the fleet has to recover, in milliseconds: `recovery_s`. */
const RECOVERY_MS = 12_000;
const BEFORE_MS = 8000;
const AFTER_MS = 25_000;
const CALLERS = 4;
const OPERATION_PAUSE_MS = 50;
const RESPONSE_MS = 3000;
/** Share of the requests that must be served. */
const MIN_SERVED = 0.25;
const WRITE_PATTERN = /^\/-\/kv-(?:txn|lease)$/v;

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));

/** Answers of the store that are lost, while they are. */
const losses = {isOn: false, writes: 0, lost: 0};

const readAll = async stream => {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/** Passes a request on to the store; resolves to its response, or to `undefined` if the store gave none. */
const forward = async (address, incoming, body) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const outgoing = request({
		host, port, method: incoming.method, path: incoming.url, headers: incoming.headers,
	}, async response => {
		resolve({status: response.statusCode, headers: response.headers, body: await readAll(response)});
	});
	outgoing.on('error', () => {
		resolve(undefined);
	});
	outgoing.end(body);
});

/** Opens a port of the store for a vm that loses answers while `losses` is on; nothing further comes on a connection on which one was lost. Resolves to its address. */
const openLosingPort = async (vm, storeAddress) => {
	let writes = 0;
	const server = createServer(async (incoming, outgoing) => {
		const body = await readAll(incoming);
		const isCounted = losses.isOn && incoming.method === 'POST' && WRITE_PATTERN.test(incoming.url);
		if (isCounted) {
			writes++;
			losses.writes++;
		}

		if (isCounted && writes % LOST_EVERY === FIRST_LOST) {
			losses.lost++;
			await sleep(LATE_MS);
			const response = await forward(storeAddress, incoming, body);
			record(`STORE write ${writes} of ${vm} to ${incoming.url}: not answered, executed after ${LATE_MS} ms with ${response?.status}`);
			return;
		}

		const response = await forward(storeAddress, incoming, body);
		if (!response) {
			incoming.socket.destroy();
			return;
		}

		if (isCounted) {
			record(`STORE write ${writes} of ${vm} to ${incoming.url}: ${response.status}`);
		}

		outgoing.writeHead(response.status, response.headers);
		outgoing.end(response.body);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${server.address().port}`;
};

/** Sends operations at all vms for a time; resolves to the share that is served. */
const measureServed = async (system, name, ms) => {
	const until = performance.now() + ms;
	const outcomes = {};
	const runCaller = async index => {
		for (let count = 0; performance.now() < until; count++) {
			const client = await system.connect(count % 2 === 0 ? ROUTES.latest : ROUTES.bounded, KEY, index + count);
			const response = await client?.query(`${name}-${index}-${count}`, count % 2 === 0 ? `WRITE ${index} d${count}` : `READ ${index}`, RESPONSE_MS);
			client?.[Symbol.dispose]();
			const outcome = response ? response.code ?? 'done' : 'none';
			outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
			await sleep(OPERATION_PAUSE_MS);
		}
	};

	await Promise.all(Array.from({length: CALLERS}, async (_, index) => runCaller(index)));
	const total = Object.values(outcomes).reduce((sum, count) => sum + count, 0);
	const served = (outcomes.done ?? 0) / total;
	record(`SENT ${name}: ${total} operations, answered: ${JSON.stringify(outcomes)}, served ${served.toFixed(3)}`);
	return served;
};

const CUSTOMERS = [{
	name: 'klub', keys: [KEY], rate: 400, burst: 200,
}];

await runCase(record, {databases: [DATABASE], customers: CUSTOMERS, openStorePort: openLosingPort}, async ({platform, fleet, connect}) => {
	const servedBefore = await measureServed({connect}, 'before', BEFORE_MS);
	for (const vm of fleet.vms) {
		vm.signal('SIGKILL');
	}

	record('KILLED all processes');
	await sleep(DOWN_MS);
	losses.isOn = HAS_TROUBLE;
	for (const vm of fleet.vms) {
		vm.start();
	}

	record('STARTED all processes');
	await sleep(LOSING_MS);
	losses.isOn = false;
	record(`STORE answers all calls again; ${losses.lost} of ${losses.writes} writes were not answered`);
	await sleep(RECOVERY_MS);
	const servedAfter = await measureServed({connect}, 'after', AFTER_MS);
	const listed = fleet.vms.filter(({name}) => platform.store.get(`guavapitch/vms/${name}`)).map(({name}) => name);
	record(`LISTED in the store: ${listed.join(' ') || 'no vm'}; running: ${fleet.vms.filter(vm => vm.isRunning()).length}`);
	return servedBefore < MIN_SERVED ? undefined : servedAfter < MIN_SERVED;
});
