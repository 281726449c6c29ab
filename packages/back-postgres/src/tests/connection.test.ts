/** Connections to targets: a target must prove that it knows the password. */

import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {
	createMessage, createVerifier, encodeInt32, startScramServer,
} from '@guavapitch/postgres-wire';
import {openTargetConnection} from '../connection.js';

const SASL = 10;
const SASL_CONTINUE = 11;
const SASL_FINAL = 12;

/** How a fake target ends the SCRAM exchange. */
type Ending = 'proof' | 'wrongProof' | 'noProof';

const createAuthentication = (method: number, text = ''): Buffer => createMessage('R', encodeInt32(method), Buffer.from(text)).bytes;

/** Serves one SCRAM exchange; a target that gives a wrong proof or none does not know the password. */
const authenticate = (socket: Socket, ending: Ending) => {
	let scram: ReturnType<typeof startScramServer> | undefined;
	const responses: ReadonlyArray<(data: Buffer) => Buffer> = [
		() => createAuthentication(SASL, 'SCRAM-SHA-256\0\0'),
		data => {
			scram = startScramServer(data.toString('utf8', data.indexOf('n,,')), createVerifier(ending === 'proof' ? 'secret' : 'other'));
			return createAuthentication(SASL_CONTINUE, scram.unwrap().serverFirst);
		},
		data => {
			const final = ending === 'proof' ? scram?.unwrap().verifyClientFinal(data.toString('utf8', 5)).unwrapOr('') : `v=${Buffer.alloc(32).toString('base64')}`;
			return Buffer.concat([
				...ending === 'noProof' ? [] : [createAuthentication(SASL_FINAL, final)],
				createAuthentication(0),
				createMessage('Z', Buffer.from('I')).bytes,
			]);
		},
	];
	let step = 0;
	socket.on('error', () => undefined);
	socket.on('data', data => {
		socket.write(responses[step]?.(data) ?? Buffer.alloc(0));
		step++;
	});
};

const connect = async (ending: Ending) => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		authenticate(socket, ending);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const connection = await openTargetConnection({
		host: '127.0.0.1', port: (server.address() as AddressInfo).port, user: 'u', password: 'secret', databaseName: 'd', applicationName: 'test',
	});
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
	return connection;
};

describe('connection to a target', () => {
	describe('that authenticates with SCRAM', () => {
		it('opens if the target proves that it knows the password', async () => {
			assert.ok((await connect('proof')).ok);
		});

		it('fails if the proof is wrong', async () => {
			assert.ok((await connect('wrongProof')).err);
		});

		it('fails if the target ends the exchange without a proof', async () => {
			assert.ok((await connect('noProof')).err);
		});
	});
});
