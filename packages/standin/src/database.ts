/** TCP server of one target of the database stand-in. */

import {randomInt} from 'node:crypto';
import {createServer, type Socket} from 'node:net';
import {createScope, type Runtime} from '@guavapitch/core';
import {
	createErrorResponse, createMessage, createParameterStatus, createReadyForQuery, encodeInt32, openWireConnection, parseStartupPacket, SQLSTATE, type WireConnection,
} from '@guavapitch/postgres-wire';
import {CONTROL_PEER, type Target} from './target.js';
import {followUpstream, serveReplica} from './replication.js';
import {serveSession} from './session.js';

/** Running target. */
export type DatabaseServer = AsyncDisposable & Readonly<{port: number}>;

/** Cancel callbacks and secrets of the running sessions, by process identifier. */
type CancelRegistry = Map<number, Readonly<{secret: number; cancel: () => void}>>;

const AUTHENTICATION_OK = createMessage('R', encodeInt32(0));
/** Exclusive upper bound of the process identifier and the secret of a session, which are sent as signed 32-bit integers. */
const MAX_SECRET = 2_147_483_647;
const PARAMETER_STATUS: Readonly<Record<string, string>> = {
	server_version: '15.0 (guavapitch stand-in)', server_encoding: 'UTF8', client_encoding: 'UTF8', DateStyle: 'ISO, MDY', standard_conforming_strings: 'on',
};

const sendStartupResponse = async (wire: WireConnection, processId: number, secret: number) => {
	const parameters = Object.entries(PARAMETER_STATUS).map(([name, value]) => createParameterStatus(name, value).bytes);
	const keyData = createMessage('K', encodeInt32(processId), encodeInt32(secret));
	await wire.write(AUTHENTICATION_OK.bytes, ...parameters, keyData.bytes, createReadyForQuery('idle').bytes);
};

type ServerContext = Readonly<{target: Target; runtime: Runtime; cancelRegistry: CancelRegistry}>;

const serveCaller = async ({target, runtime, cancelRegistry}: ServerContext, wire: WireConnection, parameters: ReadonlyMap<string, string>) => {
	const isControlSession = parameters.get('database') === CONTROL_PEER;
	const peer = isControlSession ? CONTROL_PEER : parameters.get('application_name') ?? '';
	const isWithinLimit = isControlSession || target.addConnection();
	const processId = randomInt(MAX_SECRET);
	const secret = randomInt(MAX_SECRET);
	try {
		await target.waitWhilePartitioned(peer);
		if (!isWithinLimit) {
			await wire.write(createErrorResponse({severity: 'FATAL', code: SQLSTATE.tooManyConnections, message: 'sorry, too many clients already'}).bytes);
			return;
		}

		await runtime.sleep(isControlSession ? 0 : target.settings.connectMs);
		await sendStartupResponse(wire, processId, secret);
		await serveSession({
			target, runtime, wire, peer,
			onCancel(cancel) {
				cancelRegistry.set(processId, {secret, cancel});
			},
		});
	} finally {
		cancelRegistry.delete(processId);
		if (!isControlSession) {
			target.removeConnection();
		}
	}
};

const serveSocket = async (context: ServerContext, socket: Socket) => {
	const {target, cancelRegistry} = context;
	socket.setNoDelay(true);
	await using wire = openWireConnection(socket);
	while (true) {
		const packet = await wire.readStartupPacket();
		if (packet.err) {
			return;
		}

		target.onBytesReceived(packet.val);
		const startup = parseStartupPacket(packet.val);
		if (startup.err) {
			return;
		}

		switch (startup.val.kind) {
			case 'cancel': {
				const session = cancelRegistry.get(startup.val.processId);
				if (session?.secret === startup.val.secret) {
					session.cancel();
				}

				return;
			}

			case 'startup': {
				const {parameters} = startup.val;
				await (parameters.get('replication') === 'true'
					? serveReplica(target, wire, parameters.get('application_name') ?? '')
					: serveCaller(context, wire, parameters));
				return;
			}

			default: {
				await wire.write(createMessage('N').bytes.subarray(0, 1));
			}
		}
	}
};

/** Starts serving a target on the loopback interface; port 0 stands for any free port. */
export const startDatabase = async (target: Target, runtime: Runtime, port: number): Promise<DatabaseServer> => {
	const scope = createScope(() => undefined);
	const cancelRegistry: CancelRegistry = new Map();
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		scope.run(async () => serveSocket({target, runtime, cancelRegistry}, socket));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	scope.run(async signal => followUpstream(target, runtime, signal));
	const address = server.address();
	return {
		port: typeof address === 'object' && address ? address.port : port,
		async [Symbol.asyncDispose]() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			target.engine.wakeWaiters();
			await scope[Symbol.asyncDispose]();
		},
	};
};
