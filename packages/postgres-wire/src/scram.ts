/** SCRAM-SHA-256 authentication (RFC 5802, RFC 7677): verifiers, and the server and client sides of the exchange. */

import {Buffer} from 'node:buffer';
import {
	createHash, createHmac, pbkdf2Sync, randomBytes, timingSafeEqual,
} from 'node:crypto';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {createMessage, encodeInt32, type Message} from './messages.js';

/** Verifier of a key, stored instead of the key itself. */
export type Verifier = Readonly<{
	iterations: number;
	salt: Buffer;
	storedKey: Buffer;
	serverKey: Buffer;
}>;

/** Failure of a SCRAM exchange. */
export type ScramFailure = Failure<'scramMalformed' | 'scramRejected'>;

/** Minimum number of iterations that RFC 7677 recommends. */
const DEFAULT_ITERATIONS = 4096;
/** Maximum number of iterations that a server may ask for, since they run on the main thread. */
const MAX_ITERATIONS = 1_000_000;
const SALT_BYTES = 16;
const NONCE_BYTES = 18;
const HASH_BYTES = 32;
const VERIFIER_PATTERN = /^SCRAM-SHA-256\$(?<iterations>\d+):(?<salt>[\d+\/=A-Za-z]+)\$(?<stored>[\d+\/=A-Za-z]+):(?<server>[\d+\/=A-Za-z]+)$/v;

const computeHmac = (key: Buffer, text: string): Buffer => createHmac('sha256', key).update(text).digest();
const computeSha256 = (bytes: Buffer): Buffer => createHash('sha256').update(bytes).digest();
const xorBytes = (a: Buffer, b: Buffer): Buffer => Buffer.from(a.map((byte, index) => byte ^ (b[index] ?? 0)));

/** Creates the verifier of a key, with a random salt unless one is given. */
export const createVerifier = (key: string, salt: Buffer = randomBytes(SALT_BYTES), iterations = DEFAULT_ITERATIONS): Verifier => {
	const saltedPassword = pbkdf2Sync(key.normalize('NFKC'), salt, iterations, HASH_BYTES, 'sha256');
	return {
		iterations, salt, storedKey: computeSha256(computeHmac(saltedPassword, 'Client Key')), serverKey: computeHmac(saltedPassword, 'Server Key'),
	};
};

/** Formats a verifier as text, in the format in which PostgreSQL stores it. */
export const formatVerifier = (verifier: Verifier): string => {
	const [salt, stored, server] = [verifier.salt, verifier.storedKey, verifier.serverKey].map(bytes => bytes.toString('base64'));
	return `SCRAM-SHA-256$${verifier.iterations}:${salt}$${stored}:${server}`;
};

/** Parses the text of a verifier; fails with `scramMalformed`. */
export const parseVerifier = (text: string): Result<Verifier, ScramFailure> => {
	const groups = VERIFIER_PATTERN.exec(text)?.groups;
	if (!groups?.iterations || !groups.salt || !groups.stored || !groups.server) {
		return Err({code: 'scramMalformed', message: 'The verifier does not have the format SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>'});
	}

	return Ok({
		iterations: Number(groups.iterations),
		salt: Buffer.from(groups.salt, 'base64'),
		storedKey: Buffer.from(groups.stored, 'base64'),
		serverKey: Buffer.from(groups.server, 'base64'),
	});
};

/** Checks a plain-text password against a verifier. */
export const checkPassword = (password: string, verifier: Verifier): boolean => timingSafeEqual(createVerifier(password, verifier.salt, verifier.iterations).storedKey, verifier.storedKey);

const parseAttributes = (text: string): ReadonlyMap<string, string> => new Map(text.split(',').map(part => [part.slice(0, 1), part.slice(2)]));

/** Server side of one exchange. */
export type ScramServer = Readonly<{
	/** The server-first message, the response to the client-first message. */
	serverFirst: string;
	/** Verifies the client-final message; returns the server-final message, or fails with `scramMalformed` or `scramRejected`. */
	verifyClientFinal: (clientFinal: string) => Result<string, ScramFailure>;
}>;

/** Starts the server side. Without a verifier, the exchange is completed and then rejected, so that a client cannot find out which keys exist. */
export const startScramServer = (clientFirst: string, knownVerifier: Verifier | undefined): Result<ScramServer, ScramFailure> => {
	const clientFirstBare = /^[npy](?:=[^,]*)?,(?:a=[^,]*)?,(?<bare>.+)$/v.exec(clientFirst)?.groups?.bare;
	const clientNonce = parseAttributes(clientFirstBare ?? '').get('r');
	if (!clientFirstBare || !clientNonce) {
		return Err({code: 'scramMalformed', message: 'The client-first SCRAM message is malformed'});
	}

	const verifier = knownVerifier ?? {
		iterations: DEFAULT_ITERATIONS, salt: randomBytes(SALT_BYTES), storedKey: randomBytes(HASH_BYTES), serverKey: randomBytes(HASH_BYTES),
	};
	const nonce = clientNonce + randomBytes(NONCE_BYTES).toString('base64');
	const serverFirst = `r=${nonce},s=${verifier.salt.toString('base64')},i=${verifier.iterations}`;
	return Ok({
		serverFirst,
		verifyClientFinal(clientFinal) {
			const proofIndex = clientFinal.lastIndexOf(',p=');
			const clientFinalWithoutProof = clientFinal.slice(0, proofIndex);
			const proof = Buffer.from(clientFinal.slice(proofIndex + 3), 'base64');
			if (proofIndex === -1 || proof.length !== HASH_BYTES || parseAttributes(clientFinalWithoutProof).get('r') !== nonce) {
				return Err({code: 'scramMalformed', message: 'The client-final SCRAM message is malformed'});
			}

			const authMessage = `${clientFirstBare},${serverFirst},${clientFinalWithoutProof}`;
			const clientKey = xorBytes(proof, computeHmac(verifier.storedKey, authMessage));
			if (!knownVerifier || !timingSafeEqual(computeSha256(clientKey), verifier.storedKey)) {
				return Err({code: 'scramRejected', message: 'The key is not valid'});
			}

			return Ok(`v=${computeHmac(verifier.serverKey, authMessage).toString('base64')}`);
		},
	});
};

/** Client side of one exchange. */
export type ScramClient = Readonly<{
	/** Creates the `SASLInitialResponse` with the client-first message. */
	createInitialResponse: () => Message;
	/** Creates the `SASLResponse` with the client-final message, given the server-first message; fails with `scramMalformed` if that does not continue this exchange. */
	createFinalResponse: (serverFirst: string) => Result<Message, ScramFailure>;
	/** Checks the proof in the server-final message that the server knows the verifier of the password; fails with `scramRejected` if it does not. */
	verifyServerFinal: (serverFinal: string) => Result<undefined, ScramFailure>;
}>;

/** Starts the client side. */
export const startScramClient = (password: string): ScramClient => {
	const nonce = randomBytes(NONCE_BYTES).toString('base64');
	const clientFirstBare = `n=,r=${nonce}`;
	/** Signature that the server must send, once the client-final message has been created. */
	let expectedSignature: Buffer | undefined;
	return {
		createInitialResponse() {
			const clientFirst = Buffer.from(`n,,${clientFirstBare}`);
			return createMessage('p', 'SCRAM-SHA-256', encodeInt32(clientFirst.length), clientFirst);
		},
		createFinalResponse(serverFirst) {
			const attributes = parseAttributes(serverFirst);
			const serverNonce = attributes.get('r') ?? '';
			const salt = attributes.get('s') ?? '';
			const iterations = Number(attributes.get('i'));
			const continuesExchange = serverNonce.startsWith(nonce) && serverNonce.length > nonce.length;
			if (!continuesExchange || salt === '' || !Number.isInteger(iterations) || iterations < 1 || iterations > MAX_ITERATIONS) {
				return Err({code: 'scramMalformed', message: 'The server-first SCRAM message is malformed or belongs to another exchange'});
			}

			const saltedPassword = pbkdf2Sync(password.normalize('NFKC'), Buffer.from(salt, 'base64'), iterations, HASH_BYTES, 'sha256');
			const clientKey = computeHmac(saltedPassword, 'Client Key');
			// `biws` is the base64 encoding of the GS2 header `n,,` of the client-first message.
			const clientFinalWithoutProof = `c=biws,r=${serverNonce}`;
			const authMessage = `${clientFirstBare},${serverFirst},${clientFinalWithoutProof}`;
			const clientSignature = computeHmac(computeSha256(clientKey), authMessage);
			expectedSignature = computeHmac(computeHmac(saltedPassword, 'Server Key'), authMessage);
			return Ok(createMessage('p', Buffer.from(`${clientFinalWithoutProof},p=${xorBytes(clientKey, clientSignature).toString('base64')}`)));
		},
		verifyServerFinal(serverFinal) {
			const signature = Buffer.from(parseAttributes(serverFinal).get('v') ?? '', 'base64');
			return expectedSignature?.length === signature.length && timingSafeEqual(expectedSignature, signature)
				? Ok(undefined)
				: Err({code: 'scramRejected', message: 'The server did not prove that it knows the password'});
		},
	};
};
