/** Accepts connections of callers and runs one task for each. */

import {randomInt} from 'node:crypto';
import {createServer, type Socket} from 'node:net';
import {createSecureContext, type SecureContext} from 'node:tls';
import {
	createScope, brandId, type CustomerId, type VmId,
} from '@guavapitch/core';
import {
	createCallerPort, sendStartupResponse, receiveStartup, type Caller, type StartupContext,
} from '@guavapitch/front-postgres';
import type {Address} from '@guavapitch/peer-protocol';
import {createErrorResponse, SQLSTATE, type WireConnection} from '@guavapitch/postgres-wire';
import {serveCaller, type CallerContext, type CallerControl} from '@guavapitch/requests';
import {EVENTS, type Emit, type Metrics} from '@guavapitch/telemetry';
import type {ClusterView} from './cluster-view.js';
import type {Settings} from './settings.js';

/** Listener for callers, with the connections that are open in this process. */
export type CallerListener = AsyncDisposable & Readonly<{
	/** Address with the port that was actually bound. */
	address: Address;
	/** Returns the number of open connections whose startup has succeeded. */
	getConnectionCount: () => number;
	/** Closes the idle connections whose key was withdrawn, and all idle connections while the process is draining. */
	closeIdle: () => void;
	/** Stops accepting connections, closes idle ones and waits until all have closed or the signal aborts. */
	drain: (signal: AbortSignal) => Promise<void>;
	/** Cancels the running request of the caller that received this cancel key; forwards a key that another vm issued to that vm. Ignores an unknown key or a wrong secret. */
	cancel: (processId: number, secret: number) => void;
}>;

/** Dependencies of the caller listener. */
export type CallerListenerContext = Readonly<{
	settings: Settings;
	clusterView: ClusterView;
	/** Operations of the entry, which serve the requests of callers. */
	entry: CallerContext;
	emit: Emit;
	metrics: Metrics;
	/** Number of this vm, part of the process identifiers in the cancel keys that it issues. */
	vmNumber: number;
	/** Forwards a cancel request to the vm that issued the key. */
	forwardCancel: (vmNumber: number, processId: number, secret: number) => void;
}>;

type OpenCaller = Readonly<{caller: Caller; control: CallerControl; secret: number}>;

/** Exclusive upper bound of the secret of a cancel key, which is sent as a signed 32-bit integer. */
const MAX_CANCEL_SECRET = 2_147_483_647;
/** A process identifier has 31 bits: the number of the vm, followed by the number of the connection in this many bits. */
const CONNECTION_NUMBER_BITS = 18;
/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 4096;
const DRAIN_POLL_MS = 20;
/** Maximum time without traffic on a connection during its startup, in milliseconds. */
const STARTUP_TIMEOUT_MS = 10_000;

const sendFatalError = async (wire: WireConnection, code: string, message: string): Promise<void> => {
	await wire.write(createErrorResponse({severity: 'FATAL', code, message}).bytes);
	await wire[Symbol.asyncDispose]();
};

/** Computes the number of a vm from the hash of its name. It fits in the upper bits of a process identifier; two vms may have the same number. */
export const computeVmNumber = (hash: number): number => hash % (2 ** (31 - CONNECTION_NUMBER_BITS));

/** Reads the number of the vm that issued a cancel key from the process identifier of the key. */
export const readVmNumber = (processId: number): number => processId >>> CONNECTION_NUMBER_BITS;

/** Starts accepting callers; throws if the address cannot be bound. */
export const startCallerListener = async (context: CallerListenerContext): Promise<CallerListener> => {
	const {settings, clusterView, entry, emit, metrics} = context;
	const openCallers = new Map<number, OpenCaller>();
	const scope = createScope(error => {
		emit(EVENTS.taskFailed, {task: 'caller', reason: error instanceof Error ? error.stack : String(error)});
	});
	const tls: SecureContext | undefined = settings.callerTls ? createSecureContext(settings.callerTls) : undefined;
	let lastConnectionNumber = randomInt(2 ** CONNECTION_NUMBER_BITS);

	const startupContext: StartupContext = {
		tls,
		findService: service => clusterView.activeConfiguration.getInventory()?.services[service],
		findKey(keyId) {
			const inventory = clusterView.activeConfiguration.getInventory();
			const key = inventory && Object.hasOwn(inventory.keys, keyId) ? inventory.keys[keyId] : undefined;
			const customer = key && inventory?.customers[key.customer];
			return key && customer ? {customer: brandId<CustomerId>(key.customer), verifier: key.verifier, services: customer.services} : undefined;
		},
	};

	const createProcessId = (): number => {
		do {
			lastConnectionNumber = (lastConnectionNumber + 1) % (2 ** CONNECTION_NUMBER_BITS);
		} while (openCallers.has((context.vmNumber << CONNECTION_NUMBER_BITS) | lastConnectionNumber));

		return (context.vmNumber << CONNECTION_NUMBER_BITS) | lastConnectionNumber;
	};

	const cancel = (processId: number, secret: number) => {
		const openCaller = openCallers.get(processId);
		if (openCaller?.secret === secret) {
			openCaller.control.cancel();
		} else if (!openCaller && readVmNumber(processId) !== context.vmNumber) {
			context.forwardCancel(readVmNumber(processId), processId, secret);
		}
	};

	const serveAcceptedCaller = async (caller: Caller) => {
		const processId = createProcessId();
		const secret = randomInt(MAX_CANCEL_SECRET);
		const control: CallerControl = {cancel: () => undefined, isIdle: true};
		openCallers.set(processId, {caller, control, secret});
		metrics.gauge('entry.callers', openCallers.size);
		try {
			await sendStartupResponse(caller, {processId, secret});
			await serveCaller(caller, createCallerPort(caller), entry, control);
		} finally {
			openCallers.delete(processId);
			metrics.gauge('entry.callers', openCallers.size);
		}
	};

	const serveSocket = async (socket: Socket) => {
		socket.setNoDelay(true);
		socket.setTimeout(STARTUP_TIMEOUT_MS, () => {
			socket.destroy();
		});
		const {wire, outcome} = await receiveStartup(socket, startupContext);
		await using ownedWire = wire;
		socket.setTimeout(0);
		if (outcome.err) {
			if (outcome.val.code !== 'closed') {
				emit(EVENTS.callerRefused, {reason: outcome.val.code});
				metrics.count('entry.startup.refused', {reason: outcome.val.code});
				await sendFatalError(ownedWire, outcome.val.sqlState, outcome.val.message);
			}

			return;
		}

		if (outcome.val.kind === 'cancel') {
			cancel(outcome.val.processId, outcome.val.secret);
			return;
		}

		await serveAcceptedCaller(outcome.val.caller);
	};

	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		scope.run(async () => serveSocket(socket));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({...settings.listen, backlog: LISTEN_BACKLOG}, resolve);
	});
	const boundAddress = server.address();

	const closeIdle = () => {
		for (const {caller, control} of openCallers.values()) {
			const closeReason = control.isIdle ? entry.getCloseReason(caller) : undefined;
			if (closeReason) {
				emit(closeReason.code === 'draining' ? EVENTS.callerClosed : EVENTS.keyWithdrawn, {service: caller.service, customer: caller.customer});
				const code = closeReason.code === 'draining' ? SQLSTATE.adminShutdown : SQLSTATE.notAuthorized;
				void sendFatalError(caller.wire, code, closeReason.message);
			}
		}
	};

	return {
		address: {host: settings.listen.host, port: typeof boundAddress === 'object' && boundAddress ? boundAddress.port : settings.listen.port},
		getConnectionCount: () => openCallers.size,
		closeIdle,
		cancel,
		async drain(signal) {
			server.close();
			while (openCallers.size > 0 && !signal.aborted) {
				closeIdle();
				await new Promise(resolve => {
					setTimeout(resolve, DRAIN_POLL_MS);
				});
			}
		},
		async [Symbol.asyncDispose]() {
			server.close();
			await Promise.all([...openCallers.values()].map(async ({caller}) => caller.wire[Symbol.asyncDispose]()));
			await scope[Symbol.asyncDispose]();
		},
	};
};

/** Finds the first vm that has a number; `undefined` if there is none. */
export const findVmByNumber = (vms: readonly VmId[], vmNumber: number, computeNumber: (vm: VmId) => number): VmId | undefined => vms.find(vm => computeNumber(vm) === vmNumber);
