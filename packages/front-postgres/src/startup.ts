/** First exchange with a caller: TLS, startup packet and proof of its key. */

import {TLSSocket, type SecureContext} from 'node:tls';
import type {Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {
	Err, Ok, parseId, type CustomerId, type Failure, type Result, type ServiceId,
} from '@guavapitch/core';
import {
	checkPassword, createMessage, encodeInt32, getBody, openWireConnection, parseStartupPacket, parseVerifier, readCString, SQLSTATE, startScramServer,
	type Verifier, type WireConnection,
} from '@guavapitch/postgres-wire';
import type {CallerIdentity} from '@guavapitch/requests';

/** Failure of a startup, with the SQLSTATE that the caller is told. */
export type StartupRefusal = Failure<'closed' | 'malformed' | 'unknownService' | 'keyRejected' | 'tlsRequired' | 'notAllowed'> & Readonly<{sqlState: string}>;

/** A caller that has proved who it is. */
export type Caller = CallerIdentity & Readonly<{
	wire: WireConnection;
	/** Name that the caller gave itself. */
	applicationName: string;
}>;

/** What a first packet leads to. */
export type StartupOutcome
	= | Readonly<{kind: 'cancel'; processId: number; secret: number}>
		| Readonly<{kind: 'caller'; caller: Caller}>;

/** What a key entitles to. */
export type KnownKey = Readonly<{customer: CustomerId; verifier: string; services: readonly string[]}>;

/** What the startup asks of the configuration. */
export type StartupContext = Readonly<{
	/** TLS of the listener, if it offers any. */
	tls: SecureContext | undefined;
	/** Finds a service: `undefined` if there is none. */
	findService: (service: ServiceId) => Readonly<{open: boolean}> | undefined;
	/** Finds a key. */
	findKey: (keyId: string) => KnownKey | undefined;
}>;

const SCRAM = 'SCRAM-SHA-256';
const AUTHENTICATION_CLEARTEXT = 3;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;
const ACCEPT_TLS = Buffer.from('S');
const REFUSE_TLS = Buffer.from('N');

const createRefusal = (code: StartupRefusal['code'], sqlState: string, message: string): StartupRefusal => ({code, sqlState, message});
const CLOSED = createRefusal('closed', SQLSTATE.connectionFailure, 'The connection was closed');
const REJECTED = createRefusal('keyRejected', SQLSTATE.wrongPassword, 'The key is not valid for this service');

const readPassword = async (wire: WireConnection): Promise<Result<Buffer, StartupRefusal>> => {
	const messages = await wire.readMessages();
	if (messages.err) {
		return Err(CLOSED);
	}

	const [message] = messages.val;
	return message?.type === 'p' ? Ok(getBody(message)) : Err(createRefusal('malformed', SQLSTATE.protocolViolation, 'A password message was expected'));
};

const checkByScram = async (wire: WireConnection, verifier: Verifier | undefined): Promise<Result<boolean, StartupRefusal>> => {
	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_SASL), SCRAM, Buffer.from([0])).bytes);
	const first = await readPassword(wire);
	if (first.err) {
		return first;
	}

	const [mechanism, offset] = readCString(first.val, 0);
	if (mechanism !== SCRAM) {
		return Err(createRefusal('malformed', SQLSTATE.protocolViolation, `Expected the mechanism ${SCRAM}`));
	}

	const exchange = startScramServer(first.val.toString('utf8', offset + 4), verifier);
	if (exchange.err) {
		return Err(createRefusal('malformed', SQLSTATE.protocolViolation, exchange.val.message));
	}

	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_SASL_CONTINUE), Buffer.from(exchange.val.serverFirst)).bytes);
	const final = await readPassword(wire);
	if (final.err) {
		return final;
	}

	const finished = exchange.val.verifyClientFinal(final.val.toString('utf8'));
	if (finished.err) {
		return Ok(false);
	}

	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_SASL_FINAL), Buffer.from(finished.val)).bytes);
	return Ok(true);
};

const checkByPassword = async (wire: WireConnection, verifier: Verifier | undefined): Promise<Result<boolean, StartupRefusal>> => {
	await wire.write(createMessage('R', encodeInt32(AUTHENTICATION_CLEARTEXT)).bytes);
	const password = await readPassword(wire);
	return password.map(body => verifier !== undefined && checkPassword(readCString(body, 0)[0], verifier));
};

const proveKey = async (wire: WireConnection, parameters: ReadonlyMap<string, string>, context: StartupContext): Promise<Result<Caller, StartupRefusal>> => {
	const keyId = parameters.get('user') ?? '';
	const service = parseId<ServiceId>(parameters.get('database') ?? keyId);
	const applicationName = parameters.get('application_name') ?? '';
	const found = context.findService(service);
	if (found?.open) {
		return Ok({
			wire, service, customer: undefined, keyId: undefined, applicationName,
		});
	}

	const key = context.findKey(keyId);
	const verifier = key ? parseVerifier(key.verifier).unwrapOr(undefined) : undefined;
	const wantsPassword = parameters.get('options')?.includes('guavapitch.auth=password') && wire.socket instanceof TLSSocket;
	const proved = wantsPassword ? await checkByPassword(wire, verifier) : await checkByScram(wire, verifier);
	if (proved.err) {
		return proved;
	}

	if (!proved.val || !key) {
		return Err(REJECTED);
	}

	if (!found) {
		return Err(createRefusal('unknownService', SQLSTATE.unknownDatabase, `There is no service ${service}`));
	}

	return key.services.includes(service)
		? Ok({
			wire, service, customer: key.customer, keyId, applicationName,
		})
		: Err(createRefusal('notAllowed', SQLSTATE.notAuthorized, `The customer of this key may not use ${service}`));
};

const startTls = (wire: WireConnection, context: SecureContext): WireConnection => {
	const socket = wire.detach();
	return openWireConnection(new TLSSocket(socket, {isServer: true, secureContext: context}));
};

/** Result of a startup, with the wire to answer on. */
export type StartupResult = Readonly<{wire: WireConnection; outcome: Result<StartupOutcome, StartupRefusal>}>;

/** Runs the first exchange with a caller. */
export const receiveStartup = async (socket: Socket, context: StartupContext): Promise<StartupResult> => {
	let wire = openWireConnection(socket);
	while (true) {
		const packet = await wire.readStartupPacket();
		if (packet.err) {
			const refusal = packet.val.code === 'closed' ? CLOSED : createRefusal('malformed', SQLSTATE.protocolViolation, packet.val.message);
			return {wire, outcome: Err(refusal)};
		}

		const startup = parseStartupPacket(packet.val);
		if (startup.err) {
			return {wire, outcome: Err(createRefusal('malformed', SQLSTATE.protocolViolation, startup.val.message))};
		}

		const {val} = startup;
		if (val.kind === 'cancel') {
			return {wire, outcome: Ok(val)};
		}

		if (val.kind === 'startup') {
			const caller = await proveKey(wire, val.parameters, context);
			return {wire, outcome: caller.map(proved => ({kind: 'caller', caller: proved}) as const)};
		}

		if (val.kind === 'tlsRequest' && context.tls) {
			await wire.write(ACCEPT_TLS);
			wire = startTls(wire, context.tls);
		} else {
			await wire.write(REFUSE_TLS);
		}
	}
};
