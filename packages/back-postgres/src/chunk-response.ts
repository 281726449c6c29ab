/** Sends one chunk of a request to a target and matches the replies of the target to its messages. */

import {Buffer} from 'node:buffer';
import {createMessage, encodeInt16, type Message} from '@guavapitch/postgres-wire';
import type {PreparedStatement, RequestChunk, RequestPart} from '@guavapitch/sessions';
import type {TargetConnection} from './connection.js';

/** What is done with the next reply. */
type ExpectedReply
	/** Forwarded to the caller. */
	= | Readonly<{kind: 'pass'; prepares?: string}>
	/** Dropped, because the caller did not send the message that it answers. */
		| Readonly<{kind: 'drop'; prepares: string}>
	/** Created by the proxy, because the statement was prepared on the connection before. */
		| Readonly<{kind: 'create'}>;

/** Response of a target to one chunk, while it is being received. */
export type ChunkResponse = Readonly<{
	/** Replies for the caller that precede any message of the target. */
	initialReplies: readonly Message[];
	/** Handles a message of the target; returns the messages to forward to the caller. */
	accept: (message: Message) => readonly Message[];
	/** Tells whether the response to a chunk that the target does not answer with `ReadyForQuery` is complete; always `false` for other chunks. */
	isComplete: () => boolean;
	/** Tells whether the target ignores all messages up to the next Sync because of an error. */
	hasFailed: () => boolean;
}>;

/** Types of the messages that complete the reply to one message of an extended query. */
const REPLY_END_TYPES: ReadonlySet<string> = new Set(['1', '2', '3', 'T', 'n', 'C', 'I', 's']);
const PARSE_COMPLETE = createMessage('1');
const SIMPLE_QUERY_TYPE = 'Q'.codePointAt(0);

const createParse = (statement: PreparedStatement): Buffer => {
	const types = Buffer.from(statement.types);
	return createMessage('P', statement.hash, statement.text, types.length > 0 ? types : encodeInt16(0)).bytes;
};

const createPrepare = (preparedHashes: Set<string>, part: Exclude<RequestPart, {kind: 'messages'}>, expectedReplies: ExpectedReply[]): readonly Buffer[] => {
	const {statement, kind} = part;
	if (preparedHashes.has(statement.hash)) {
		if (kind === 'prepare') {
			expectedReplies.push({kind: 'create'});
		}

		return [];
	}

	preparedHashes.add(statement.hash);
	expectedReplies.push({kind: kind === 'prepare' ? 'pass' : 'drop', prepares: statement.hash});
	return [createParse(statement)];
};

/** Sends a chunk, with a Parse for each statement not yet prepared on the connection; `skipping` tells that the target ignores all messages up to the next Sync because of an error. */
export const sendChunk = async (connection: TargetConnection, chunk: RequestChunk, skipping: boolean): Promise<ChunkResponse> => {
	const expectedReplies: ExpectedReply[] = [];
	const preparedHashes = new Set(connection.preparedHashes);
	const bytes: Buffer[] = [];
	let simple = false;
	let failed = skipping;
	for (const part of chunk.parts) {
		if (part.kind === 'messages') {
			simple ||= part.bytes[0] === SIMPLE_QUERY_TYPE;
			bytes.push(Buffer.from(part.bytes.buffer, part.bytes.byteOffset, part.bytes.byteLength));
			for (let count = 0; count < part.replies; count++) {
				expectedReplies.push({kind: 'pass'});
			}
		} else {
			bytes.push(...createPrepare(preparedHashes, part, expectedReplies));
		}
	}

	if (skipping) {
		expectedReplies.length = 0;
	}

	await connection.write(...bytes);

	/** Creates the next replies, as far as they do not depend on messages of the target. */
	const takeSynthesized = (): readonly Message[] => {
		const synthesized: Message[] = [];
		while (expectedReplies[0]?.kind === 'create') {
			expectedReplies.shift();
			synthesized.push(PARSE_COMPLETE);
		}

		return synthesized;
	};

	const acceptReply = (message: Message): readonly Message[] => {
		const next = expectedReplies.shift();
		if (next && next.kind !== 'create' && next.prepares !== undefined) {
			connection.preparedHashes.add(next.prepares);
		}

		const forwarded = next?.kind === 'drop' ? [] : [message];
		return [...forwarded, ...takeSynthesized()];
	};

	return {
		initialReplies: takeSynthesized(),
		accept(message) {
			if (message.type === 'E') {
				failed = true;
				expectedReplies.length = 0;
				return [message];
			}

			if (message.type === 'A') {
				return [];
			}

			if (message.type === 'Z') {
				return [];
			}

			return !simple && REPLY_END_TYPES.has(message.type) ? acceptReply(message) : [message];
		},
		isComplete: () => !chunk.ends && (failed || expectedReplies.length === 0),
		hasFailed: () => failed,
	};
};
