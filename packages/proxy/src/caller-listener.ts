/** Accepting callers: one task for each connection. */

import {randomInt} from 'node:crypto';
import {createServer, type Socket} from 'node:net';
import {createSecureContext, type SecureContext} from 'node:tls';
import {
	createScope, parseId, type CustomerId, type VmId,
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

/** Callers of one process. */
export type CallerListener = AsyncDisposable & Readonly<{
	address: Address;
	getOpenCount: () => number;
	/** Closes the idle callers that must be closed: their key was withdrawn, or the process is leaving. */
	closeIdle: () => void;
	/** Stops accepting; waits until all callers have left or the signal aborts. */
	drain: (signal: AbortSignal) => Promise<void>;
	/** Cancels the request of a caller of this process. */
	cancel: (processId: number, secret: number) => void;
}>;

/** What the callers need. */
export type CallerListenerContext = Readonly<{
	settings: Settings;
	clusterView: ClusterView;
	entry: CallerContext;
	emit: Emit;
	metrics: Metrics;
	/** Number of this vm, part of the cancel keys it gives. */
	vmNumber: number;
	/** Passes a cancel request on to the vm that gave the key. */
	forwardCancel: (vmNumber: number, processId: number, secret: number) => void;
}>;

type OpenCaller = Readonly<{caller: Caller; control: CallerControl; secret: number}>;

const LARGEST_SECRET = 2_147_483_647;
const VM_BITS = 18;
const BACKLOG = 4096;
const DRAIN_POLL_MS = 20;
const STARTUP_TIMEOUT_MS = 10_000;

const closeCaller = async (wire: WireConnection, code: string, message: string): Promise<void> => {
	await wire.write(createErrorResponse({severity: 'FATAL', code, message}).bytes);
	await wire[Symbol.asyncDispose]();
};

/** Numbers a vm for cancel keys. */
export const computeVmNumber = (hash: number): number => hash % (2 ** (31 - VM_BITS));

/** Reads the number of the vm that gave a cancel key. */
export const readVmNumber = (processId: number): number => processId >>> VM_BITS;

/** Starts accepting callers. */
export const startCallerListener = async (context: CallerListenerContext): Promise<CallerListener> => {
	const {settings, clusterView: fleet, entry, emit, metrics} = context;
	const open = new Map<number, OpenCaller>();
	const scope = createScope(error => {
		emit(EVENTS.taskFailed, {task: 'caller', reason: error instanceof Error ? error.stack : String(error)});
	});
	const tls: SecureContext | undefined = settings.callerTls ? createSecureContext(settings.callerTls) : undefined;
	let lastNumber = randomInt(2 ** VM_BITS);

	const startup: StartupContext = {
		tls,
		findService: service => fleet.inForce.getInventory()?.services[service],
		findKey(keyId) {
			const inventory = fleet.inForce.getInventory();
			const key = inventory && Object.hasOwn(inventory.keys, keyId) ? inventory.keys[keyId] : undefined;
			const customer = key && inventory?.customers[key.customer];
			return key && customer ? {customer: parseId<CustomerId>(key.customer), verifier: key.verifier, services: customer.services} : undefined;
		},
	};

	const createProcessId = (): number => {
		do {
			lastNumber = (lastNumber + 1) % (2 ** VM_BITS);
		} while (open.has((context.vmNumber << VM_BITS) | lastNumber));

		return (context.vmNumber << VM_BITS) | lastNumber;
	};

	const cancel = (processId: number, secret: number) => {
		const asked = open.get(processId);
		if (asked?.secret === secret) {
			asked.control.cancel();
		} else if (!asked && readVmNumber(processId) !== context.vmNumber) {
			context.forwardCancel(readVmNumber(processId), processId, secret);
		}
	};

	const serveOpen = async (caller: Caller) => {
		const processId = createProcessId();
		const secret = randomInt(LARGEST_SECRET);
		const control: CallerControl = {cancel: () => undefined, idle: true};
		open.set(processId, {caller, control, secret});
		metrics.gauge('entry.callers', open.size);
		try {
			await sendStartupResponse(caller, {processId, secret});
			await serveCaller(caller, createCallerPort(caller), entry, control);
		} finally {
			open.delete(processId);
			metrics.gauge('entry.callers', open.size);
		}
	};

	const serveSocket = async (socket: Socket) => {
		socket.setNoDelay(true);
		socket.setTimeout(STARTUP_TIMEOUT_MS, () => {
			socket.destroy();
		});
		const {wire, outcome} = await receiveStartup(socket, startup);
		await using own = wire;
		socket.setTimeout(0);
		if (outcome.err) {
			if (outcome.val.code !== 'closed') {
				emit(EVENTS.callerRefused, {reason: outcome.val.code});
				metrics.count('entry.startup.refused', {reason: outcome.val.code});
				await closeCaller(own, outcome.val.sqlState, outcome.val.message);
			}

			return;
		}

		if (outcome.val.kind === 'cancel') {
			cancel(outcome.val.processId, outcome.val.secret);
			return;
		}

		await serveOpen(outcome.val.caller);
	};

	const server = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		scope.run(async () => serveSocket(socket));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({...settings.listen, backlog: BACKLOG}, resolve);
	});
	const bound = server.address();

	const closeIdle = () => {
		for (const {caller, control} of open.values()) {
			const closing = control.idle ? entry.getCloseReason(caller) : undefined;
			if (closing) {
				emit(closing.code === 'draining' ? EVENTS.callerClosed : EVENTS.keyWithdrawn, {service: caller.service, customer: caller.customer});
				const code = closing.code === 'draining' ? SQLSTATE.adminShutdown : SQLSTATE.notAuthorized;
				void closeCaller(caller.wire, code, closing.message);
			}
		}
	};

	return {
		address: {host: settings.listen.host, port: typeof bound === 'object' && bound ? bound.port : settings.listen.port},
		getOpenCount: () => open.size,
		closeIdle,
		cancel,
		async drain(signal) {
			server.close();
			while (open.size > 0 && !signal.aborted) {
				closeIdle();
				await new Promise(resolve => {
					setTimeout(resolve, DRAIN_POLL_MS);
				});
			}
		},
		async [Symbol.asyncDispose]() {
			server.close();
			await Promise.all([...open.values()].map(async ({caller}) => caller.wire[Symbol.asyncDispose]()));
			await scope[Symbol.asyncDispose]();
		},
	};
};

/** Finds the vm with a number. */
export const findVmByNumber = (vms: readonly VmId[], number: number, computeNumber: (vm: VmId) => number): VmId | undefined => vms.find(vm => computeNumber(vm) === number);
