/** Cutting what a caller sends into chunks that one database connection must answer. */

import {Buffer} from 'node:buffer';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {
	createMessage, getBody, readCString, SQLSTATE, type Message,
} from '@guavapitch/postgres-wire';
import {
	classifyStatement, createPreparedStatement, isStateful, type PreparedStatementMap, type PreparedStatement, type RequestChunk, type RequestPart, type StatementClass,
} from '@guavapitch/sessions';

/** Failure of a chunk; nothing of it was sent to a database. */
export type ChunkFailure = Failure<'unknownStatement' | 'unsupported' | 'malformed'> & Readonly<{sqlState: string}>;

/** A chunk and what its statements need. */
export type CallerChunk = Readonly<{chunk: RequestChunk; statement: StatementClass}>;

const COMMIT_PATTERN = /\b(?:commit|end|prepare)\b/iv;
const ENDS: ReadonlySet<string> = new Set(['Q', 'S']);
const COPY_TYPES: ReadonlySet<string> = new Set(['d', 'c', 'f']);

const createFailure = (code: ChunkFailure['code'], sqlState: string, message: string): ChunkFailure => ({code, sqlState, message});

/** Tells whether a message ends a chunk. */
export const isChunkEnd = (message: Message): boolean => ENDS.has(message.type) || message.type === 'H';

type Draft = {
	readonly parts: RequestPart[];
	readonly texts: string[];
	readonly classes: StatementClass[];
	executions: number;
};

const passOn = (draft: Draft, message: Message, replies: number) => {
	draft.parts.push({kind: 'messages', bytes: message.bytes, replies});
};

const noteText = (draft: Draft, text: string) => {
	draft.texts.push(text);
	draft.classes.push(classifyStatement(text));
};

const requireStatement = (draft: Draft, names: PreparedStatementMap, name: string): Result<PreparedStatement, ChunkFailure> => {
	const statement = names.get(name);
	if (!statement) {
		return Err(createFailure('unknownStatement', SQLSTATE.undefinedStatement, `prepared statement "${name}" does not exist`));
	}

	draft.parts.push({kind: 'require', statement});
	noteText(draft, statement.text);
	return Ok(statement);
};

const addParse = (draft: Draft, names: PreparedStatementMap, body: Buffer): Result<undefined, ChunkFailure> => {
	const [name, afterName] = readCString(body, 0);
	const [text, afterText] = readCString(body, afterName);
	const statement = createPreparedStatement(text, Buffer.from(body.subarray(afterText)));
	noteText(draft, text);
	names.set(name, statement);
	draft.parts.push({kind: 'prepare', statement});
	return Ok(undefined);
};

const addBind = (draft: Draft, names: PreparedStatementMap, body: Buffer): Result<undefined, ChunkFailure> => {
	const [portal, afterPortal] = readCString(body, 0);
	const [name, afterName] = readCString(body, afterPortal);
	return requireStatement(draft, names, name).map(statement => {
		passOn(draft, createMessage('B', portal, statement.hash, body.subarray(afterName)), 1);
		return undefined;
	});
};

const addDescribe = (draft: Draft, names: PreparedStatementMap, message: Message): Result<undefined, ChunkFailure> => {
	const body = getBody(message);
	if (body.toString('latin1', 0, 1) !== 'S') {
		passOn(draft, message, 1);
		return Ok(undefined);
	}

	return requireStatement(draft, names, readCString(body, 1)[0]).map(statement => {
		passOn(draft, createMessage('D', Buffer.from('S'), statement.hash), 1);
		return undefined;
	});
};

const addClose = (draft: Draft, names: PreparedStatementMap, message: Message): Result<undefined, ChunkFailure> => {
	const body = getBody(message);
	if (body.toString('latin1', 0, 1) === 'S') {
		names.remove(readCString(body, 1)[0]);
		// Statements are kept by hash on the connection, so the caller's name is closed by closing a portal that does not exist.
		passOn(draft, createMessage('C', Buffer.from('P'), 'guavapitch_closed'), 1);
	} else {
		passOn(draft, message, 1);
	}

	return Ok(undefined);
};

const addMessage = (draft: Draft, names: PreparedStatementMap, message: Message): Result<undefined, ChunkFailure> => {
	switch (message.type) {
		case 'Q': {
			noteText(draft, readCString(getBody(message), 0)[0]);
			passOn(draft, message, 0);
			return Ok(undefined);
		}

		case 'P': {
			return addParse(draft, names, getBody(message));
		}

		case 'B': {
			return addBind(draft, names, getBody(message));
		}

		case 'D': {
			return addDescribe(draft, names, message);
		}

		case 'E': {
			draft.executions++;
			passOn(draft, message, 1);
			return Ok(undefined);
		}

		case 'C': {
			return addClose(draft, names, message);
		}

		case 'S':
		case 'H': {
			passOn(draft, message, 0);
			return Ok(undefined);
		}

		default: {
			return COPY_TYPES.has(message.type)
				? Err(createFailure('unsupported', SQLSTATE.featureNotSupported, 'COPY is not supported'))
				: Err(createFailure('malformed', SQLSTATE.protocolViolation, `Unexpected message of type ${message.type}`));
		}
	}
};

const combineClasses = (draft: Draft): StatementClass => {
	const classes = new Set(draft.classes.filter(one => one !== 'empty'));
	for (const strong of ['copy', 'session', 'write', 'begin'] as const) {
		if (classes.has(strong)) {
			return strong;
		}
	}

	// More than one execution could fail on a replica after rows of the first were passed on.
	if (draft.executions > 1) {
		return 'write';
	}

	return classes.has('read') ? 'read' : 'empty';
};

/** Creates a chunk from the messages up to its end. */
export const createChunk = (messages: readonly Message[], names: PreparedStatementMap): Result<CallerChunk, ChunkFailure> => {
	const draft: Draft = {
		parts: [], texts: [], classes: [], executions: 0,
	};
	for (const message of messages) {
		const added = addMessage(draft, names, message);
		if (added.err) {
			return added;
		}
	}

	return Ok({
		statement: combineClasses(draft),
		chunk: {
			parts: draft.parts,
			ends: ENDS.has(messages.at(-1)?.type ?? ''),
			mayCommit: draft.texts.some(text => COMMIT_PATTERN.test(text)),
			leavesState: draft.texts.some(text => isStateful(text)),
		},
	});
};
