/** Passing a chunk to a target and its answer back, message by message. */

import {Buffer} from 'node:buffer';
import {
	readErrorResponse, readTransactionStatus, SQLSTATE, type Message,
} from '@guavapitch/postgres-wire';
import type {ChunkResult, ChunkTask} from '@guavapitch/requests';
import type {TargetConnection} from './connection.js';
import {sendChunk} from './chunk-response.js';

/** Size at which messages of an answer are passed on, in bytes; a few network packets. */
const FLUSH_BYTES = 32_768;

/** Sends one chunk and passes its answer on, holding back the last completion until it may be given. */
export const runChunk = async (connection: TargetConnection, turn: ChunkTask): Promise<ChunkResult> => {
	const {chunk, skipping} = turn;
	const progress = await sendChunk(connection, chunk, skipping);
	let parts: Buffer[] = progress.initialReplies.map(message => message.bytes);
	let size = 0;
	let sent = false;
	let held: Message[] = [];

	const flush = async () => {
		if (parts.length > 0) {
			const bytes = Buffer.concat(parts);
			parts = [];
			size = 0;
			sent = true;
			await turn.send(bytes);
		}
	};

	const pass = (message: Message) => {
		if (held.length > 0) {
			parts.push(...held.map(one => one.bytes));
			held = [];
		}

		if (message.type === 'C') {
			held = [message];
		} else {
			parts.push(message.bytes);
		}

		size += message.bytes.length;
	};

	while (true) {
		if (progress.isComplete()) {
			parts.push(...held.map(one => one.bytes));
			await flush();
			return {kind: 'flushed', skipping: progress.hasFailed()};
		}

		const messages = await connection.read();
		if (messages.err) {
			await flush();
			return {kind: 'lost'};
		}

		turn.onResponseStarted();
		for (const message of messages.val) {
			if (message.type === 'E' && !turn.isWrite && !sent && readErrorResponse(message).code === SQLSTATE.readOnly) {
				return {kind: 'readOnly'};
			}

			if (message.type === 'Z') {
				const status = readTransactionStatus(message);
				await flush();
				if (!await turn.mayRelease(status)) {
					return {kind: 'lost'};
				}

				if (held.length > 0) {
					await turn.send(Buffer.concat(held.map(one => one.bytes)));
				}

				return {kind: 'ready', status};
			}

			for (const own of progress.accept(message)) {
				pass(own);
			}
		}

		if (size > FLUSH_BYTES || !chunk.ends) {
			await flush();
		}
	}
};

