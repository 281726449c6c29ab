/** SCRAM-SHA-256 (RFC 5802, RFC 7677): verifiers and both ends of the exchange. */

import {Buffer} from 'node:buffer';
import {
	createHash, createHmac, pbkdf2Sync, randomBytes, timingSafeEqual,
} from 'node:crypto';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {createMessage, encodeInt32, type Message} from './messages.js';

/** What an inventory keeps instead of a key. */
export type Verifier = Readonly<{
	iterations: number;
	salt: Buffer;
	storedKey: Buffer;
	serverKey: Buffer;
}>;

/** Failure of an exchange. */
export type ScramFailure = Failure<'scramMalformed' | 'scramRejected'>;

const ITERATIONS = 4096;
const SALT_BYTES = 16;
const NONCE_BYTES = 18;
const HASH_BYTES = 32;
const VERIFIER_PATTERN = /^SCRAM-SHA-256\$(?<iterations>\d+):(?<salt>[\d+\/=A-Za-z]+)\$(?<stored>[\d+\/=A-Za-z]+):(?<server>[\d+\/=A-Za-z]+)$/v;

const computeHmac = (key: Buffer, text: string): Buffer => createHmac('sha256', key).update(text).digest();
const computeSha = (bytes: Buffer): Buffer => createHash('sha256').update(bytes).digest();
const mixBytes = (a: Buffer, b: Buffer): Buffer => Buffer.from(a.map((byte, index) => byte ^ (b[index] ?? 0)));

/** Creates the verifier of a key. */
export const createVerifier = (key: string, salt: Buffer = randomBytes(SALT_BYTES), iterations = ITERATIONS): Verifier => {
	const salted = pbkdf2Sync(key.normalize('NFKC'), salt, iterations, HASH_BYTES, 'sha256');
	return {
		iterations, salt, storedKey: computeSha(computeHmac(salted, 'Client Key')), serverKey: computeHmac(salted, 'Server Key'),
	};
};

/** Formats a verifier the way PostgreSQL stores one. */
export const formatVerifier = (verifier: Verifier): string => {
	const [salt, stored, server] = [verifier.salt, verifier.storedKey, verifier.serverKey].map(bytes => bytes.toString('base64'));
	return `SCRAM-SHA-256$${verifier.iterations}:${salt}$${stored}:${server}`;
};

/** Parses a verifier. */
export const parseVerifier = (text: string): Result<Verifier, ScramFailure> => {
	const groups = VERIFIER_PATTERN.exec(text)?.groups;
	if (!groups?.iterations || !groups.salt || !groups.stored || !groups.server) {
		return Err({code: 'scramMalformed', message: 'Expected SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>'});
	}

	return Ok({
		iterations: Number(groups.iterations),
		salt: Buffer.from(groups.salt, 'base64'),
		storedKey: Buffer.from(groups.stored, 'base64'),
		serverKey: Buffer.from(groups.server, 'base64'),
	});
};

/** Checks a plain password against a verifier. */
export const checkPassword = (password: string, verifier: Verifier): boolean => timingSafeEqual(createVerifier(password, verifier.salt, verifier.iterations).storedKey, verifier.storedKey);

const parseFields = (text: string): ReadonlyMap<string, string> => new Map(text.split(',').map(part => [part.slice(0, 1), part.slice(2)]));

/** The server's part of one exchange. */
export type ScramServer = Readonly<{
	/** Message that answers the client's first. */
	serverFirst: string;
	/** Checks the client's final message; gives the server's final one. */
	verifyClientFinal: (clientFinal: string) => Result<string, ScramFailure>;
}>;

/** Starts the server's part; with no verifier it runs to the end and then rejects, so that key names cannot be probed. */
export const startScramServer = (clientFirst: string, known: Verifier | undefined): Result<ScramServer, ScramFailure> => {
	const bare = /^[npy](?:=[^,]*)?,(?:a=[^,]*)?,(?<bare>.+)$/v.exec(clientFirst)?.groups?.bare;
	const clientNonce = parseFields(bare ?? '').get('r');
	if (!bare || !clientNonce) {
		return Err({code: 'scramMalformed', message: 'The first SCRAM message is malformed'});
	}

	const verifier = known ?? {
		iterations: ITERATIONS, salt: randomBytes(SALT_BYTES), storedKey: randomBytes(HASH_BYTES), serverKey: randomBytes(HASH_BYTES),
	};
	const nonce = clientNonce + randomBytes(NONCE_BYTES).toString('base64');
	const serverFirst = `r=${nonce},s=${verifier.salt.toString('base64')},i=${verifier.iterations}`;
	return Ok({
		serverFirst: serverFirst,
		verifyClientFinal(clientFinal) {
			const proofAt = clientFinal.lastIndexOf(',p=');
			const withoutProof = clientFinal.slice(0, proofAt);
			const proof = Buffer.from(clientFinal.slice(proofAt + 3), 'base64');
			if (proofAt === -1 || proof.length !== HASH_BYTES || parseFields(withoutProof).get('r') !== nonce) {
				return Err({code: 'scramMalformed', message: 'The final SCRAM message is malformed'});
			}

			const exchange = `${bare},${serverFirst},${withoutProof}`;
			const clientKey = mixBytes(proof, computeHmac(verifier.storedKey, exchange));
			if (!known || !timingSafeEqual(computeSha(clientKey), verifier.storedKey)) {
				return Err({code: 'scramRejected', message: 'The key is not valid'});
			}

			return Ok(`v=${computeHmac(verifier.serverKey, exchange).toString('base64')}`);
		},
	});
};

/** The client's part of one exchange. */
export type ScramClient = Readonly<{
	/** Creates `SASLInitialResponse`. */
	createInitialResponse: () => Message;
	/** Creates `SASLResponse` from the server's first message. */
	createFinalResponse: (serverFirst: string) => Message;
}>;

/** Starts the client's part. */
export const startScramClient = (password: string): ScramClient => {
	const nonce = randomBytes(NONCE_BYTES).toString('base64');
	const bare = `n=,r=${nonce}`;
	return {
		createInitialResponse() {
			const first = Buffer.from(`n,,${bare}`);
			return createMessage('p', 'SCRAM-SHA-256', encodeInt32(first.length), first);
		},
		createFinalResponse(serverFirst) {
			const fields = parseFields(serverFirst);
			const salted = pbkdf2Sync(password.normalize('NFKC'), Buffer.from(fields.get('s') ?? '', 'base64'), Number(fields.get('i') ?? ITERATIONS), HASH_BYTES, 'sha256');
			const clientKey = computeHmac(salted, 'Client Key');
			const withoutProof = `c=biws,r=${fields.get('r') ?? ''}`;
			const signature = computeHmac(computeSha(clientKey), `${bare},${serverFirst},${withoutProof}`);
			return createMessage('p', Buffer.from(`${withoutProof},p=${mixBytes(clientKey, signature).toString('base64')}`));
		},
	};
};
