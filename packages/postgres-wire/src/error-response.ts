/** `ErrorResponse` messages and SQLSTATE codes. */

import {Buffer} from 'node:buffer';
import {
	createMessage, getBody, readCString, type Message,
} from './messages.js';

/** Fields of an `ErrorResponse`. */
export type ErrorFields = Readonly<{
	severity: 'ERROR' | 'FATAL';
	/** SQLSTATE code. */
	code: string;
	message: string;
	detail?: string;
	hint?: string;
}>;

/** SQLSTATE codes that guavapitch sends or handles. */
export const SQLSTATE = {
	outcomeUnknown: '08007',
	protocolViolation: '08P01',
	connectionFailure: '08006',
	cannotConnect: '08001',
	featureNotSupported: '0A000',
	readOnly: '25006',
	inFailedTransaction: '25P02',
	idleInTransaction: '25P03',
	wrongPassword: '28P01',
	notAuthorized: '28000',
	unknownDatabase: '3D000',
	undefinedTable: '42P01',
	syntaxError: '42601',
	uniqueViolation: '23505',
	undefinedStatement: '26000',
	tooManyConnections: '53300',
	limitExceeded: '53400',
	queryCanceled: '57014',
	adminShutdown: '57P01',
	cannotConnectNow: '57P03',
} as const;

/** Creates an `ErrorResponse`. */
export const createErrorResponse = (fields: ErrorFields): Message => {
	const parts = [`S${fields.severity}`, `V${fields.severity}`, `C${fields.code}`, `M${fields.message}`];
	if (fields.detail) {
		parts.push(`D${fields.detail}`);
	}

	if (fields.hint) {
		parts.push(`H${fields.hint}`);
	}

	return createMessage('E', ...parts, Buffer.from([0]));
};

/** Reads the fields of an `ErrorResponse`; a missing code is read as `XX000` (internal error). */
export const readErrorResponse = (message: Message): ErrorFields => {
	const body = getBody(message);
	const fieldsByType = new Map<string, string>();
	let offset = 0;
	while (offset < body.length && body[offset] !== 0) {
		const fieldType = body.toString('latin1', offset, offset + 1);
		const [text, nextOffset] = readCString(body, offset + 1);
		fieldsByType.set(fieldType, text);
		offset = nextOffset;
	}

	return {
		severity: fieldsByType.get('S') === 'FATAL' ? 'FATAL' : 'ERROR',
		code: fieldsByType.get('C') ?? 'XX000',
		message: fieldsByType.get('M') ?? '',
		...(fieldsByType.has('D') ? {detail: fieldsByType.get('D')} : {}),
		...(fieldsByType.has('H') ? {hint: fieldsByType.get('H')} : {}),
	};
};
