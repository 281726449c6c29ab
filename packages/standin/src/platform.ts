/** Stand-in of the platform's key-value service, with the etcd v3 protocol and injected faults. */

import {Buffer} from 'node:buffer';
import {
	Server, ServerCredentials, status, type Metadata, type sendUnaryData, type ServerDuplexStream, type ServerUnaryCall, type ServiceError, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {createScope, type Runtime} from '@guavapitch/core';
import {
	createMemoryStore, loadServices, type Entry, type MemoryStore,
} from '@guavapitch/store';
import {
	createFaultController, type CallKind, type PlatformFaults, type PlatformRates,
} from './platform-faults.js';

/** Running service. */
export type PlatformServer = AsyncDisposable & Readonly<{
	port: number;
	store: MemoryStore;
	/** Returns the number of calls so far, by method; an open watch counts as one call. */
	getCallCounts: () => Readonly<Record<string, number>>;
}>;

type Request = Readonly<Record<string, unknown>>;
type Response = Readonly<Record<string, unknown>>;
type Compare = Readonly<{key: Uint8Array; mod_revision: number}>;
type Operation = Readonly<{request?: string; request_put?: PutRequest; request_range?: RangeRequest}>;
type PutRequest = Readonly<{key: Uint8Array; value: Uint8Array; lease: number}>;
type RangeRequest = Readonly<{key: Uint8Array; range_end: Uint8Array}>;

/** Rate limits of the platform's service, in calls per second. */
export const DEFAULT_RATES: PlatformRates = {writes: 400, reads: 2000};

const FAULTS_KEY = '/standin/faults';
const CALLS_KEY = '/standin/calls';
const LEASE_CHECK_INTERVAL_MS = 50;
const TOO_MANY_REQUESTS = {code: status.RESOURCE_EXHAUSTED, details: 'too many requests'};

const createKeyValue = (entry: Entry) => ({key: Buffer.from(entry.key), value: Buffer.from(entry.value), mod_revision: entry.revision});
const decodeKey = (key: Uint8Array): string => Buffer.from(key).toString();
const createHeader = (revision: number) => ({revision});

/** Returns the client name from the user agent of a call. */
const readClientName = (metadata: Metadata): string => String(metadata.get('user-agent')[0] ?? '').split(' ')[0] ?? '';
const formatLease = (lease: number): string | undefined => lease === 0 ? undefined : String(lease);

/** Returns whether a request concerns a key of the stand-in itself; such requests are served regardless of faults and rate limits. */
const isControlRequest = (request: Request): boolean => {
	const [compare] = (request.compare ?? []) as readonly Compare[];
	const key = compare?.key ?? request.key as Uint8Array | undefined;
	return key !== undefined && decodeKey(key).startsWith('/standin/');
};

/** Starts the service on the loopback interface; port 0 stands for any free port. */
export const startPlatform = async (runtime: Runtime, port: number, rates: PlatformRates = DEFAULT_RATES): Promise<PlatformServer> => {
	const store = createMemoryStore(runtime);
	const services = loadServices();
	const scope = createScope(() => undefined);
	const callCounts = new Map<string, number>();
	const faultController = createFaultController(runtime, store, rates, scope.signal);

	const readRange = async (request: RangeRequest) => {
		const key = decodeKey(request.key);
		if (request.range_end.length > 0) {
			const entries = (await store.readAll(key)).unwrap();
			return {header: createHeader(0), kvs: entries.map(entry => createKeyValue(entry)), count: entries.length};
		}

		if (key === CALLS_KEY) {
			return {header: createHeader(0), kvs: [createKeyValue({key, value: JSON.stringify(Object.fromEntries(callCounts)), revision: 1})], count: 1};
		}

		const entry = (await store.read(key)).unwrap();
		return {header: createHeader(0), kvs: entry ? [createKeyValue(entry)] : [], count: entry ? 1 : 0};
	};

	const applyFaults = (key: string, value: string) => {
		if (key === FAULTS_KEY) {
			faultController.setFaults(JSON.parse(value) as PlatformFaults);
		}
	};

	const compareAndPut = async (compare: Compare, put: PutRequest) => {
		const key = decodeKey(compare.key);
		const value = Buffer.from(put.value).toString();
		const swap = await store.compareAndSwap(key, compare.mod_revision, value, formatLease(put.lease));
		if (swap.err) {
			throw Object.assign(new Error(swap.val.message), {code: status.NOT_FOUND, details: swap.val.message});
		}

		const {isSwapped, current} = swap.val;
		if (isSwapped) {
			applyFaults(key, value);
			return {header: createHeader(current?.revision ?? 0), succeeded: true, responses: []};
		}

		return {header: createHeader(0), succeeded: false, responses: [{response_range: {kvs: current ? [createKeyValue(current)] : []}}]};
	};

	const transact = async (request: Request): Promise<Response> => {
		const [compare] = request.compare as readonly Compare[];
		const [operation] = request.success as readonly Operation[];
		if (!compare || !operation) {
			throw Object.assign(new Error('expected one comparison and one operation'), {code: status.INVALID_ARGUMENT, details: 'expected one comparison and one operation'});
		}

		if (operation.request_put) {
			return compareAndPut(compare, operation.request_put);
		}

		const isRemoved = (await store.remove(decodeKey(compare.key), compare.mod_revision)).unwrap();
		return {header: createHeader(0), succeeded: isRemoved, responses: []};
	};

	const putEntry = async (request: Request): Promise<Response> => {
		const {key, value, lease} = request as unknown as PutRequest;
		const entry = store.put(decodeKey(key), Buffer.from(value).toString(), formatLease(lease));
		applyFaults(entry.key, entry.value);
		return {header: createHeader(entry.revision)};
	};

	const countCall = (name: string) => {
		callCounts.set(name, (callCounts.get(name) ?? 0) + 1);
	};

	const serveUnary = (name: string, kind: CallKind, handle: (request: Request) => Promise<Response>) => (call: ServerUnaryCall<Request, Response>, done: sendUnaryData<Response>) => {
		countCall(name);
		scope.run(async () => {
			const isControl = isControlRequest(call.request);
			if (!isControl) {
				await faultController.delayCall(readClientName(call.metadata));
				if (!faultController.admitCall(kind)) {
					done(TOO_MANY_REQUESTS);
					return;
				}
			}

			try {
				const response = await handle(call.request);
				if (kind === 'reads' || isControl || !faultController.shouldDropResponse()) {
					done(null, response);
				}
			} catch (error) {
				done(error as ServiceError);
			}
		});
	};

	const keepAlive = (stream: ServerDuplexStream<Request, Response>) => {
		stream.on('data', (request: Request) => {
			countCall('LeaseKeepAlive');
			scope.run(async () => {
				await faultController.delayCall(readClientName(stream.metadata));
				if (!faultController.admitCall('writes')) {
					stream.emit('error', TOO_MANY_REQUESTS);
					return;
				}

				const renewed = await store.renewLease(String(request.ID));
				const ttlSeconds = renewed.ok ? Math.round((renewed.val.deadline - runtime.now()) / 1000) : 0;
				stream.write({header: createHeader(0), ID: request.ID, TTL: ttlSeconds});
			});
		});
		stream.on('end', () => {
			stream.end();
		});
		stream.on('error', () => undefined);
	};

	const watch = (stream: ServerDuplexStream<Request, Response>) => {
		const watchEnded = new AbortController();
		stream.on('data', (request: Request) => {
			countCall('Watch');
			const createRequest = request.create_request as RangeRequest;
			scope.run(async () => {
				const client = readClientName(stream.metadata);
				await faultController.delayCall(client);
				await store.watch(decodeKey(createRequest.key), keys => {
					if (!faultController.isPartitioned(client)) {
						stream.write({
							header: createHeader(0), created: keys.length === 0, events: keys.map(key => ({type: 'PUT', kv: {key: Buffer.from(key)}})),
						});
					}
				}, AbortSignal.any([watchEnded.signal, scope.signal]));
			});
		});
		const endWatch = () => {
			watchEnded.abort();
		};

		stream.on('cancelled', endWatch);
		stream.on('end', endWatch);
		stream.on('error', endWatch);
	};

	const server = new Server();
	const implement = (name: keyof typeof services, implementation: UntypedServiceImplementation) => {
		server.addService(services[name].service, implementation);
	};

	implement('KV', {
		Range: serveUnary('Range', 'reads', async request => readRange(request as unknown as RangeRequest)),
		Put: serveUnary('Put', 'writes', putEntry),
		Txn: serveUnary('Txn', 'writes', transact),
	});
	implement('Lease', {
		LeaseGrant: serveUnary('LeaseGrant', 'writes', async request => {
			const lease = (await store.grantLease(Number(request.TTL))).unwrap();
			return {header: createHeader(0), ID: lease.id, TTL: request.TTL};
		}),
		LeaseRevoke: serveUnary('LeaseRevoke', 'writes', async request => {
			await store.revokeLease(String(request.ID));
			return {header: createHeader(0)};
		}),
		LeaseKeepAlive: keepAlive,
	});
	implement('Watch', {Watch: watch});
	const boundPort = await new Promise<number>((resolve, reject) => {
		server.bindAsync(`127.0.0.1:${port}`, ServerCredentials.createInsecure(), (error, actualPort) => {
			if (error) {
				reject(error);
			} else {
				resolve(actualPort);
			}
		});
	});
	scope.run(async signal => {
		while (!signal.aborted) {
			store.expireDueLeases();
			await runtime.sleep(LEASE_CHECK_INTERVAL_MS, signal);
		}
	});
	return {
		port: boundPort,
		store,
		getCallCounts: () => Object.fromEntries(callCounts),
		async [Symbol.asyncDispose]() {
			server.forceShutdown();
			await scope[Symbol.asyncDispose]();
		},
	};
};
