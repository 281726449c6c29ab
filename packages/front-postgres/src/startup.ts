/** Startup of a connection from a caller: TLS, startup packet and authentication. */

import {TLSSocket, type SecureContext} from 'node:tls';
import type {Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {
	Err, Ok, brandId, type CustomerId, type Failure, type Result, type ServiceId,
} from '@guavapitch/core';
import {
	checkPassword, createMessage, encodeInt32, getBody, openWireConnection, parseStartupPacket, parseVerifier, readCString, SQLSTATE, startScramServer,
	type Verifier, type WireConnection,
} from '@guavapitch/postgres-wire';
import type {CallerIdentity} from '@guavapitch/requests';

/** Refusal of a startup, with the SQLSTATE for the caller. */
export type StartupRefusal = Failure<'closed' | 'malformed' | 'unknownService' | 'keyRejected' | 'tlsRequired' | 'notAllowed'> & Readonly<{sqlState: string}>;

/** An authenticated caller, or a caller of a service that needs no key. */
export type Caller = CallerIdentity & Readonly<{
	wire: WireConnection;
	/** Value of `application_name` in the startup packet. */
	applicationName: string;
}>;

/** Result of the first packets: a cancel request or an authenticated caller. */
export type StartupOutcome
	= | Readonly<{kind: 'cancel'; processId: number; secret: number}>
		| Readonly<{kind: 'caller'; caller: Caller}>;

/** Customer, verifier and permitted services of a key. */
export type ConfiguredKey = Readonly<{customer: CustomerId; verifier: string; services: readonly string[]}>;

/** Dependencies of the startup. */
export type StartupContext = Readonly<{
	/** TLS certificate and key of the listener; `undefined` if it does not offer TLS. */
	tls: SecureContext | undefined;
	/** Finds a service by name; `open` tells that its callers need no key. */
	findService: (service: ServiceId) => Readonly<{open: boolean}> | undefined;
	/** Finds a key by its identifier. */
	findKey: (keyId: string) => ConfiguredKey | undefined;
}>;

const SCRAM_MECHANISM = 'SCRAM-SHA-256';
const AUTHENTICATION_CLEARTEXT = 3;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;
const ACCEPT_TLS = Buffer.from('S');
const REFUSE_TLS = Buffer.from('N');

const createRefusal = (code: StartupRefusal['code'], sqlState: string, message: string): StartupRefusal => ({code, sqlState, message});
const CONNECTION_CLOSED = createRefusal('closed', SQLSTATE.connectionFailure, 'The connection was closed');
const KEY_REJECTED = createRefusal('keyRejected', SQLSTATE.wrongPassword, 'The key does not exist or its secret is wrong');

const readPassword = async (wire: WireConnection): Promise<Result<Buffer, StartupRefusal>> => {
	const messages = await wire.readMessages();
	if (messages.err) {
		return Err(CONNECTION_CLOSED);
	}

	const [message] = messages.val;
	return message?.type === 'p' ? Ok(getBody(message)) : Err(createRefusal('malformed', SQLSTATE.protocolViolation, 'Expected a password message'));
};

const verifyWithScram = async (wire: WireConnection, verifier: Verifier | undefined): Promise<Result<boolean, StartupRefusal>> => {
	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_SASL), SCRAM_MECHANISM, Buffer.from([0])).bytes);
	const initialResponse = await readPassword(wire);
	if (initialResponse.err) {
		return initialResponse;
	}

	const [mechanism, offset] = readCString(initialResponse.val, 0);
	if (mechanism !== SCRAM_MECHANISM) {
		return Err(createRefusal('malformed', SQLSTATE.protocolViolation, `The only supported authentication mechanism is ${SCRAM_MECHANISM}`));
	}

	const exchange = startScramServer(initialResponse.val.toString('utf8', offset + 4), verifier);
	if (exchange.err) {
		return Err(createRefusal('malformed', SQLSTATE.protocolViolation, exchange.val.message));
	}

	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_SASL_CONTINUE), Buffer.from(exchange.val.serverFirst)).bytes);
	const finalResponse = await readPassword(wire);
	if (finalResponse.err) {
		return finalResponse;
	}

	const serverFinal = exchange.val.verifyClientFinal(finalResponse.val.toString('utf8'));
	if (serverFinal.err) {
		return Ok(false);
	}

	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_SASL_FINAL), Buffer.from(serverFinal.val)).bytes);
	return Ok(true);
};

/** Requests the password in plain text; used only over TLS. */
const verifyWithPassword = async (wire: WireConnection, verifier: Verifier | undefined): Promise<Result<boolean, StartupRefusal>> => {
	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_CLEARTEXT)).bytes);
	const password = await readPassword(wire);
	return password.map(body => verifier !== undefined && checkPassword(readCString(body, 0)[0], verifier));
};

const authenticateCaller = async (wire: WireConnection, parameters: ReadonlyMap<string, string>, context: StartupContext): Promise<Result<Caller, StartupRefusal>> => {
	const keyId = parameters.get('user') ?? '';
	const service = brandId<ServiceId>(parameters.get('database') ?? keyId);
	const applicationName = parameters.get('application_name') ?? '';
	const serviceSettings = context.findService(service);
	if (serviceSettings?.open) {
		return Ok({
			wire, service, customer: undefined, keyId: undefined, applicationName,
		});
	}

	const key = context.findKey(keyId);
	const verifier = key ? parseVerifier(key.verifier).unwrapOr(undefined) : undefined;
	const wantsPassword = parameters.get('options')?.includes('guavapitch.auth=password') && wire.socket instanceof TLSSocket;
	const verified = wantsPassword ? await verifyWithPassword(wire, verifier) : await verifyWithScram(wire, verifier);
	if (verified.err) {
		return verified;
	}

	if (!verified.val || !key) {
		return Err(KEY_REJECTED);
	}

	if (!serviceSettings) {
		return Err(createRefusal('unknownService', SQLSTATE.unknownDatabase, `There is no service ${service}`));
	}

	return key.services.includes(service)
		? Ok({
			wire, service, customer: key.customer, keyId, applicationName,
		})
		: Err(createRefusal('notAllowed', SQLSTATE.notAuthorized, `The customer of this key may not use the service ${service}`));
};

const startTls = (wire: WireConnection, secureContext: SecureContext): WireConnection => {
	const socket = wire.detach();
	return openWireConnection(new TLSSocket(socket, {isServer: true, secureContext}));
};

/** Result of a startup, with the connection on which to respond: the encrypted one if TLS was started. */
export type StartupResult = Readonly<{wire: WireConnection; outcome: Result<StartupOutcome, StartupRefusal>}>;

/** Reads the first packets of a connection, starts TLS if requested, and authenticates the caller. */
export const receiveStartup = async (socket: Socket, context: StartupContext): Promise<StartupResult> => {
	let wire = openWireConnection(socket);
	while (true) {
		const packet = await wire.readStartupPacket();
		if (packet.err) {
			const refusal = packet.val.code === 'closed' ? CONNECTION_CLOSED : createRefusal('malformed', SQLSTATE.protocolViolation, packet.val.message);
			return {wire, outcome: Err(refusal)};
		}

		const startup = parseStartupPacket(packet.val);
		if (startup.err) {
			return {wire, outcome: Err(createRefusal('malformed', SQLSTATE.protocolViolation, startup.val.message))};
		}

		const {val: startupPacket} = startup;
		if (startupPacket.kind === 'cancel') {
			return {wire, outcome: Ok(startupPacket)};
		}

		if (startupPacket.kind === 'startup') {
			const caller = await authenticateCaller(wire, startupPacket.parameters, context);
			return {wire, outcome: caller.map(authenticated => ({kind: 'caller', caller: authenticated}) as const)};
		}

		if (startupPacket.kind === 'tlsRequest' && context.tls) {
			await wire.write(ACCEPT_TLS);
			wire = startTls(wire, context.tls);
		} else {
			await wire.write(REFUSE_TLS);
		}
	}
};
