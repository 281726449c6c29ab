/** The store as a client of an etcd server, over the gRPC protocol of etcd v3. */

import {Buffer} from 'node:buffer';
import {
	credentials, status, type Client, type ClientDuplexStream, type ServiceError,
} from '@grpc/grpc-js';
import {
	createDeadline, Err, Ok, type Result, type Runtime,
} from '@guavapitch/core';
import {loadServices} from './proto.js';
import type {
	Entry, Lease, Store, StoreFailure, SwapOutcome,
} from './store.js';

type KeyValue = Readonly<{key: Uint8Array; value: Uint8Array; mod_revision: number}>;
type RangeResponse = Readonly<{kvs: readonly KeyValue[]}>;
type TxnResponse = Readonly<{succeeded: boolean; header: Readonly<{revision: number}>; responses: ReadonlyArray<Readonly<{response_range?: RangeResponse}>>}>;
type WatchResponse = Readonly<{created: boolean; canceled: boolean; events: ReadonlyArray<Readonly<{kv: KeyValue}>>}>;
type LeaseResponse = Readonly<{ID: string | number; TTL: number}>;
type UnaryMethod = (request: unknown, options: Readonly<{deadline: number}>, callback: (error: ServiceError | null, response: unknown) => void) => unknown;
type StreamingMethod = () => ClientDuplexStream<unknown, unknown>;
type EtcdClient = Client & Readonly<Record<string, UnaryMethod & StreamingMethod>>;

/** A store with open gRPC channels, which are closed when it is disposed. */
export type EtcdStore = AsyncDisposable & Store;

/** Settings of an etcd client. */
export type EtcdSettings = Readonly<{
	/** Address as `host:port`. */
	address: string;
	/** Name of the client, sent as user agent. */
	clientName?: string;
	/** Timeout of each call, in milliseconds. */
	callTimeoutMs: number;
	/** Called with the method of each call, to count calls. */
	onCall?: (method: string) => void;
}>;

/** Pause between attempts to reconnect, in milliseconds; the initial, minimum and maximum are equal, so that the pause does not grow. */
const RECONNECT_BACKOFF_MS = 200;
const MS_PER_SECOND = 1000;

/** Returns the exclusive upper end of the range of keys that start with a prefix. */
const createPrefixEnd = (prefix: string): Buffer => {
	const end = Buffer.from(prefix);
	end[end.length - 1] = (end.at(-1) ?? 0) + 1;
	return end;
};

const createEntry = (pair: KeyValue): Entry => ({
	key: Buffer.from(pair.key).toString(), value: Buffer.from(pair.value).toString(), revision: pair.mod_revision,
});

/** Tells whether the error confirms that the store did not execute the request. */
const isNotExecuted = (error: ServiceError): boolean => error.code === status.RESOURCE_EXHAUSTED
	|| (error.code === status.UNAVAILABLE && error.details.includes('not carried out'));

const createStoreFailure = (error: ServiceError): StoreFailure => isNotExecuted(error)
	? {code: 'storeUnreachable', message: error.details}
	: {code: 'storeUnknown', message: `${error.details} (${error.code})`};

/** Opens a store on an etcd server; connections are established in the background. */
export const openEtcdStore = (settings: EtcdSettings, runtime: Runtime): EtcdStore => {
	const services = loadServices();
	const options = {
		'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
		'grpc.max_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
		'grpc.min_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
		...(settings.clientName === undefined ? {} : {'grpc.primary_user_agent': settings.clientName}),
	};
	const openClient = (name: keyof typeof services) => new services[name](settings.address, credentials.createInsecure(), options) as unknown as EtcdClient;
	const kvClient = openClient('KV');
	const leaseClient = openClient('Lease');
	const watchClient = openClient('Watch');

	const call = async (client: EtcdClient, method: string, request: unknown): Promise<Result<unknown, StoreFailure>> => {
		settings.onCall?.(method);
		return new Promise(resolve => {
			client[method]?.(request, {deadline: Date.now() + settings.callTimeoutMs}, (error, response) => {
				resolve(error ? Err(createStoreFailure(error)) : Ok(response));
			});
		});
	};

	const keepAlive = async (id: string): Promise<Result<LeaseResponse, StoreFailure>> => {
		settings.onCall?.('LeaseKeepAlive');
		const controller = new AbortController();
		const stream = leaseClient.LeaseKeepAlive?.();
		if (!stream) {
			return Err({code: 'storeUnreachable', message: 'The store has no method LeaseKeepAlive'});
		}

		const responded = new Promise<Result<LeaseResponse, StoreFailure>>(resolve => {
			stream.on('data', response => {
				resolve(Ok(response as LeaseResponse));
			});
			stream.on('error', error => {
				resolve(Err({code: 'storeUnknown', message: error.message}));
			});
			stream.write({ID: id});
		});
		const timedOut = runtime.sleep(settings.callTimeoutMs, controller.signal)
			.then(() => Err({code: 'storeUnknown', message: 'Lease renewal timed out; outcome unknown'} as const), () => undefined);
		const result = await Promise.race([responded, timedOut]);
		controller.abort();
		stream.cancel();
		return result ?? Err({code: 'storeUnknown', message: 'Lease renewal was aborted'});
	};

	return {
		async read(key) {
			const response = await call(kvClient, 'Range', {key: Buffer.from(key)});
			return response.map(range => {
				const [pair] = (range as RangeResponse).kvs;
				return pair ? createEntry(pair) : undefined;
			});
		},
		async readAll(prefix) {
			const response = await call(kvClient, 'Range', {key: Buffer.from(prefix), range_end: createPrefixEnd(prefix)});
			return response.map(range => (range as RangeResponse).kvs.map(pair => createEntry(pair)));
		},
		async compareAndSwap(key, expectedRevision, value, leaseId) {
			const keyBytes = Buffer.from(key);
			const response = await call(kvClient, 'Txn', {
				compare: [{
					result: 'EQUAL', target: 'MOD', key: keyBytes, mod_revision: expectedRevision,
				}],
				success: [{request_put: {key: keyBytes, value: Buffer.from(value), lease: leaseId ?? 0}}],
				failure: [{request_range: {key: keyBytes}}],
			});
			return response.map((body): SwapOutcome => {
				const {succeeded, header, responses} = body as TxnResponse;
				if (succeeded) {
					return {isSwapped: true, current: {key, value, revision: header.revision}};
				}

				const pair = responses[0]?.response_range?.kvs[0];
				return {isSwapped: false, current: pair ? createEntry(pair) : undefined};
			});
		},
		async remove(key, expectedRevision) {
			const keyBytes = Buffer.from(key);
			const response = await call(kvClient, 'Txn', {
				compare: [{
					result: 'EQUAL', target: 'MOD', key: keyBytes, mod_revision: expectedRevision,
				}],
				success: [{request_delete_range: {key: keyBytes}}],
				failure: [],
			});
			return response.map(body => (body as TxnResponse).succeeded);
		},
		async grantLease(seconds) {
			const requestedAt = runtime.now();
			const response = await call(leaseClient, 'LeaseGrant', {TTL: seconds, ID: 0});
			return response.map((body): Lease => ({
				id: String((body as LeaseResponse).ID), deadline: createDeadline(requestedAt, seconds * MS_PER_SECOND),
			}));
		},
		async renewLease(id) {
			const requestedAt = runtime.now();
			const response = await keepAlive(id);
			if (response.err) {
				return response;
			}

			return response.val.TTL > 0
				? Ok({id, deadline: createDeadline(requestedAt, response.val.TTL * MS_PER_SECOND)})
				: Err({code: 'leaseLost', message: 'The lease has expired'});
		},
		async revokeLease(id) {
			const response = await call(leaseClient, 'LeaseRevoke', {ID: id});
			return response.map(() => undefined);
		},
		async watch(prefix, onChange, signal) {
			settings.onCall?.('Watch');
			const stream = watchClient.Watch?.();
			if (!stream || signal.aborted) {
				return Ok(undefined);
			}

			return new Promise(resolve => {
				stream.on('data', response => {
					const {created, events} = response as WatchResponse;
					if (created || events.length > 0) {
						onChange(events.map(event => Buffer.from(event.kv.key).toString()));
					}
				});
				stream.on('error', error => {
					resolve(signal.aborted ? Ok(undefined) : Err({code: 'storeUnreachable', message: error.message}));
				});
				stream.on('end', () => {
					resolve(Ok(undefined));
				});
				signal.addEventListener('abort', () => {
					stream.cancel();
				}, {once: true});
				stream.write({create_request: {key: Buffer.from(prefix), range_end: createPrefixEnd(prefix)}});
			});
		},
		async [Symbol.asyncDispose]() {
			kvClient.close();
			leaseClient.close();
			watchClient.close();
		},
	};
};
