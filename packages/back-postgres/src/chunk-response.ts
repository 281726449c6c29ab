/** Passing one chunk of a request over a connection and reading its answer. */

import {Buffer} from 'node:buffer';
import {createMessage, encodeInt16, type Message} from '@guavapitch/postgres-wire';
import type {PreparedStatement, RequestChunk, RequestPart} from '@guavapitch/sessions';
import type {TargetConnection} from './connection.js';

/** What becomes of the next reply. */
type Expected
	/** Passed to the caller. */
	= | Readonly<{kind: 'pass'; prepares?: string}>
	/** Dropped: the caller asked for nothing. */
		| Readonly<{kind: 'drop'; prepares: string}>
	/** Made here: the statement was prepared before. */
		| Readonly<{kind: 'create'}>;

/** Progress of one chunk on a connection. */
export type ChunkResponse = Readonly<{
	/** Messages for the caller that need no answer of the target. */
	initialReplies: readonly Message[];
	/** Takes a message of the target; gives the messages for the caller. */
	accept: (message: Message) => readonly Message[];
	/** Tells whether nothing more will come unless the chunk ends with `ReadyForQuery`. */
	isComplete: () => boolean;
	/** Tells whether the target now ignores everything up to a Sync. */
	hasFailed: () => boolean;
}>;

/** Replies that end the answer to one extended message. */
const TERMINATORS: ReadonlySet<string> = new Set(['1', '2', '3', 'T', 'n', 'C', 'I', 's']);
const PARSE_COMPLETE = createMessage('1');
const SIMPLE_QUERY = 'Q'.codePointAt(0);

const createParse = (statement: PreparedStatement): Buffer => {
	const types = Buffer.from(statement.types);
	return createMessage('P', statement.hash, statement.text, types.length > 0 ? types : encodeInt16(0)).bytes;
};

const planPrepare = (known: Set<string>, part: Exclude<RequestPart, {kind: 'messages'}>, expected: Expected[]): readonly Buffer[] => {
	const {statement, kind} = part;
	if (known.has(statement.hash)) {
		if (kind === 'prepare') {
			expected.push({kind: 'create'});
		}

		return [];
	}

	known.add(statement.hash);
	expected.push({kind: kind === 'prepare' ? 'pass' : 'drop', prepares: statement.hash});
	return [createParse(statement)];
};

/** Sends a chunk; `skipping` tells that the target ignores everything up to a Sync after an error. */
export const sendChunk = async (connection: TargetConnection, chunk: RequestChunk, skipping: boolean): Promise<ChunkResponse> => {
	const expected: Expected[] = [];
	const known = new Set(connection.preparedHashes);
	const bytes: Buffer[] = [];
	let simple = false;
	let failed = skipping;
	for (const part of chunk.parts) {
		if (part.kind === 'messages') {
			simple ||= part.bytes[0] === SIMPLE_QUERY;
			bytes.push(Buffer.from(part.bytes.buffer, part.bytes.byteOffset, part.bytes.byteLength));
			for (let count = 0; count < part.replies; count++) {
				expected.push({kind: 'pass'});
			}
		} else {
			bytes.push(...planPrepare(known, part, expected));
		}
	}

	if (skipping) {
		expected.length = 0;
	}

	await connection.write(...bytes);

	/** Creates the replies that come next without the target saying anything. */
	const takeCreated = (): readonly Message[] => {
		const created: Message[] = [];
		while (expected[0]?.kind === 'create') {
			expected.shift();
			created.push(PARSE_COMPLETE);
		}

		return created;
	};

	const acceptReply = (message: Message): readonly Message[] => {
		const next = expected.shift();
		if (next && next.kind !== 'create' && next.prepares !== undefined) {
			connection.preparedHashes.add(next.prepares);
		}

		const own = next?.kind === 'drop' ? [] : [message];
		return [...own, ...takeCreated()];
	};

	return {
		initialReplies: takeCreated(),
		accept(message) {
			if (message.type === 'E') {
				failed = true;
				expected.length = 0;
				return [message];
			}

			if (message.type === 'A') {
				return [];
			}

			if (message.type === 'Z') {
				return [];
			}

			return !simple && TERMINATORS.has(message.type) ? acceptReply(message) : [message];
		},
		isComplete: () => !chunk.ends && (failed || expected.length === 0),
		hasFailed: () => failed,
	};
};
