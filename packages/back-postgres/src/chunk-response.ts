/** Sends one chunk of a request to a target and matches the replies of the target to its messages. */

import {Buffer} from 'node:buffer';
import {createMessage, encodeInt16, type Message} from '@guavapitch/postgres-wire';
import type {PreparedStatement, RequestChunk, RequestPart} from '@guavapitch/sessions';
import type {TargetConnection} from './connection.js';

/** How an expected reply is handled; `preparedHash` is the hash of the statement that the reply confirms as prepared. */
type ExpectedReply
	/** Forwarded to the caller. */
	= | Readonly<{kind: 'pass'; preparedHash?: string}>
	/** Dropped, because the caller did not send the message that it answers. */
		| Readonly<{kind: 'drop'; preparedHash: string}>
	/** Created by the proxy, because the statement is already prepared on the connection. */
		| Readonly<{kind: 'create'}>;

/** Response of a target to one chunk, while it is being received. */
export type ChunkResponse = Readonly<{
	/** Replies created by the proxy that the caller receives before any message of the target. */
	initialReplies: readonly Message[];
	/** Handles a message of the target; returns the messages to forward to the caller. */
	accept: (message: Message) => readonly Message[];
	/** Tells whether the response to a chunk that ends with a Flush is complete; always `false` for a chunk that the target answers with `ReadyForQuery`. */
	isComplete: () => boolean;
	/** Tells whether the target ignores all messages up to the next Sync because of an error. */
	hasFailed: () => boolean;
}>;

/** Types of the messages that complete the reply to one message of an extended query. */
const REPLY_END_TYPES: ReadonlySet<string> = new Set(['1', '2', '3', 'T', 'n', 'C', 'I', 's']);
const PARSE_COMPLETE = createMessage('1');
const SIMPLE_QUERY_TYPE = 'Q'.codePointAt(0);

const createParse = (statement: PreparedStatement): Buffer => {
	const parameterTypes = Buffer.from(statement.types);
	return createMessage('P', statement.hash, statement.text, parameterTypes.length > 0 ? parameterTypes : encodeInt16(0)).bytes;
};

const createParseIfNeeded = (preparedHashes: Set<string>, part: Exclude<RequestPart, {kind: 'messages'}>, expectedReplies: ExpectedReply[]): readonly Buffer[] => {
	const {statement, kind} = part;
	if (preparedHashes.has(statement.hash)) {
		if (kind === 'prepare') {
			expectedReplies.push({kind: 'create'});
		}

		return [];
	}

	preparedHashes.add(statement.hash);
	expectedReplies.push({kind: kind === 'prepare' ? 'pass' : 'drop', preparedHash: statement.hash});
	return [createParse(statement)];
};

/** Sends a chunk, with a Parse for each statement not yet prepared on the connection; `isSkipping` tells that the target ignores all messages up to the next Sync because of an error. */
export const sendChunk = async (connection: TargetConnection, chunk: RequestChunk, isSkipping: boolean): Promise<ChunkResponse> => {
	const expectedReplies: ExpectedReply[] = [];
	const preparedHashes = new Set(connection.preparedHashes);
	const bytes: Buffer[] = [];
	let isSimpleQuery = false;
	let hasFailed = isSkipping;
	for (const part of chunk.parts) {
		if (part.kind === 'messages') {
			isSimpleQuery ||= part.bytes[0] === SIMPLE_QUERY_TYPE;
			bytes.push(Buffer.from(part.bytes.buffer, part.bytes.byteOffset, part.bytes.byteLength));
			for (let count = 0; count < part.replies; count++) {
				expectedReplies.push({kind: 'pass'});
			}
		} else {
			bytes.push(...createParseIfNeeded(preparedHashes, part, expectedReplies));
		}
	}

	if (isSkipping) {
		expectedReplies.length = 0;
	}

	await connection.write(...bytes);

	/** Creates the replies that are due before the next message of the target. */
	const takeSynthesizedReplies = (): readonly Message[] => {
		const replies: Message[] = [];
		while (expectedReplies[0]?.kind === 'create') {
			expectedReplies.shift();
			replies.push(PARSE_COMPLETE);
		}

		return replies;
	};

	const acceptReply = (message: Message): readonly Message[] => {
		const expected = expectedReplies.shift();
		if (expected && expected.kind !== 'create' && expected.preparedHash !== undefined) {
			connection.preparedHashes.add(expected.preparedHash);
		}

		const forwardedMessages = expected?.kind === 'drop' ? [] : [message];
		return [...forwardedMessages, ...takeSynthesizedReplies()];
	};

	return {
		initialReplies: takeSynthesizedReplies(),
		accept(message) {
			if (message.type === 'E') {
				hasFailed = true;
				expectedReplies.length = 0;
				return [message];
			}

			if (message.type === 'A') {
				return [];
			}

			if (message.type === 'Z') {
				return [];
			}

			return !isSimpleQuery && REPLY_END_TYPES.has(message.type) ? acceptReply(message) : [message];
		},
		isComplete: () => !chunk.ends && (hasFailed || expectedReplies.length === 0),
		hasFailed: () => hasFailed,
	};
};
