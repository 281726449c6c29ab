/** Creates chunks of requests from the messages of a caller; a whole chunk runs on one connection to a target. */

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

/** Failure of creating a chunk, with the SQLSTATE for the caller; no part of the chunk was sent to a target. */
export type ChunkFailure = Failure<'unknownStatement' | 'unsupported' | 'malformed'> & Readonly<{sqlState: string}>;

/** A chunk and the class of its statements, which decides where it may run. */
export type CallerChunk = Readonly<{chunk: RequestChunk; statementClass: StatementClass}>;

/** Matches any text that may commit a transaction: with COMMIT, END or PREPARE TRANSACTION. */
const COMMIT_PATTERN = /\b(?:commit|end|prepare)\b/iv;
const READY_FOR_QUERY_TRIGGERS: ReadonlySet<string> = new Set(['Q', 'S']);
const COPY_MESSAGE_TYPES: ReadonlySet<string> = new Set(['d', 'c', 'f']);

const createFailure = (code: ChunkFailure['code'], sqlState: string, message: string): ChunkFailure => ({code, sqlState, message});

/** Tells whether a message ends a chunk: a simple query, a Sync or a Flush. */
export const isChunkEnd = (message: Message): boolean => READY_FOR_QUERY_TRIGGERS.has(message.type) || message.type === 'H';

type ChunkDraft = {
	readonly parts: RequestPart[];
	readonly texts: string[];
	readonly classes: StatementClass[];
	executionCount: number;
};

const appendMessage = (draft: ChunkDraft, message: Message, replyCount: number) => {
	draft.parts.push({kind: 'messages', bytes: message.bytes, replies: replyCount});
};

const recordText = (draft: ChunkDraft, text: string) => {
	draft.texts.push(text);
	draft.classes.push(classifyStatement(text));
};

const requireStatement = (draft: ChunkDraft, statements: PreparedStatementMap, name: string): Result<PreparedStatement, ChunkFailure> => {
	const statement = statements.get(name);
	if (!statement) {
		return Err(createFailure('unknownStatement', SQLSTATE.undefinedStatement, `prepared statement "${name}" does not exist`));
	}

	draft.parts.push({kind: 'require', statement});
	recordText(draft, statement.text);
	return Ok(statement);
};

const addParse = (draft: ChunkDraft, statements: PreparedStatementMap, body: Buffer): Result<undefined, ChunkFailure> => {
	const [name, afterName] = readCString(body, 0);
	const [text, afterText] = readCString(body, afterName);
	const statement = createPreparedStatement(text, Buffer.from(body.subarray(afterText)));
	recordText(draft, text);
	statements.set(name, statement);
	draft.parts.push({kind: 'prepare', statement});
	return Ok(undefined);
};

const addBind = (draft: ChunkDraft, statements: PreparedStatementMap, body: Buffer): Result<undefined, ChunkFailure> => {
	const [portal, afterPortal] = readCString(body, 0);
	const [name, afterName] = readCString(body, afterPortal);
	return requireStatement(draft, statements, name).map(statement => {
		appendMessage(draft, createMessage('B', portal, statement.hash, body.subarray(afterName)), 1);
		return undefined;
	});
};

const addDescribe = (draft: ChunkDraft, statements: PreparedStatementMap, message: Message): Result<undefined, ChunkFailure> => {
	const body = getBody(message);
	if (body.toString('latin1', 0, 1) !== 'S') {
		appendMessage(draft, message, 1);
		return Ok(undefined);
	}

	return requireStatement(draft, statements, readCString(body, 1)[0]).map(statement => {
		appendMessage(draft, createMessage('D', Buffer.from('S'), statement.hash), 1);
		return undefined;
	});
};

const addClose = (draft: ChunkDraft, statements: PreparedStatementMap, message: Message): Result<undefined, ChunkFailure> => {
	const body = getBody(message);
	if (body.toString('latin1', 0, 1) === 'S') {
		statements.remove(readCString(body, 1)[0]);
		// Statements are kept on the connection by hash and shared by its callers, so they stay prepared. Closing a portal that does not exist gives the caller's Close its reply.
		appendMessage(draft, createMessage('C', Buffer.from('P'), 'guavapitch_closed'), 1);
	} else {
		appendMessage(draft, message, 1);
	}

	return Ok(undefined);
};

const addMessage = (draft: ChunkDraft, statements: PreparedStatementMap, message: Message): Result<undefined, ChunkFailure> => {
	switch (message.type) {
		case 'Q': {
			recordText(draft, readCString(getBody(message), 0)[0]);
			appendMessage(draft, message, 0);
			return Ok(undefined);
		}

		case 'P': {
			return addParse(draft, statements, getBody(message));
		}

		case 'B': {
			return addBind(draft, statements, getBody(message));
		}

		case 'D': {
			return addDescribe(draft, statements, message);
		}

		case 'E': {
			draft.executionCount++;
			appendMessage(draft, message, 1);
			return Ok(undefined);
		}

		case 'C': {
			return addClose(draft, statements, message);
		}

		case 'S':
		case 'H': {
			appendMessage(draft, message, 0);
			return Ok(undefined);
		}

		default: {
			return COPY_MESSAGE_TYPES.has(message.type)
				? Err(createFailure('unsupported', SQLSTATE.featureNotSupported, 'COPY is not supported'))
				: Err(createFailure('malformed', SQLSTATE.protocolViolation, `Unexpected message of type ${message.type}`));
		}
	}
};

const combineClasses = (draft: ChunkDraft): StatementClass => {
	const classes = new Set(draft.classes.filter(statementClass => statementClass !== 'empty'));
	for (const statementClass of ['copy', 'session', 'write', 'begin'] as const) {
		if (classes.has(statementClass)) {
			return statementClass;
		}
	}

	// With more than one execution, a replica could refuse a later one after rows of the first were forwarded to the caller, too late to run the request on the primary instead.
	if (draft.executionCount > 1) {
		return 'write';
	}

	return classes.has('read') ? 'read' : 'empty';
};

/** Creates a chunk from its messages, the last of which ends it, and updates the prepared statements of the caller. */
export const createChunk = (messages: readonly Message[], statements: PreparedStatementMap): Result<CallerChunk, ChunkFailure> => {
	const draft: ChunkDraft = {
		parts: [], texts: [], classes: [], executionCount: 0,
	};
	for (const message of messages) {
		const added = addMessage(draft, statements, message);
		if (added.err) {
			return added;
		}
	}

	return Ok({
		statementClass: combineClasses(draft),
		chunk: {
			parts: draft.parts,
			ends: READY_FOR_QUERY_TRIGGERS.has(messages.at(-1)?.type ?? ''),
			mayCommit: draft.texts.some(text => COMMIT_PATTERN.test(text)),
			leavesState: draft.texts.some(text => isStateful(text)),
		},
	});
};
