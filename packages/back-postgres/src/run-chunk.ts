/** Runs a chunk of a request on a connection to a target and forwards the response. */

import {Buffer} from 'node:buffer';
import {
	readErrorResponse, readTransactionStatus, SQLSTATE, type Message,
} from '@guavapitch/postgres-wire';
import type {ChunkResult, ChunkTask} from '@guavapitch/requests';
import type {TargetConnection} from './connection.js';
import {sendChunk} from './chunk-response.js';

/** Size above which buffered messages of a response are forwarded, in bytes; a few network packets. */
const FLUSH_BYTES = 32_768;

/** Sends a chunk and forwards the response, withholding its last `CommandComplete` until the task allows its release. */
export const runChunk = async (connection: TargetConnection, task: ChunkTask): Promise<ChunkResult> => {
	const {chunk, isSkipping: skipping} = task;
	const response = await sendChunk(connection, chunk, skipping);
	let parts: Buffer[] = response.initialReplies.map(message => message.bytes);
	let sizeBytes = 0;
	let hasForwarded = false;
	let withheld: Message[] = [];

	const flush = async () => {
		if (parts.length > 0) {
			const bytes = Buffer.concat(parts);
			parts = [];
			sizeBytes = 0;
			hasForwarded = true;
			await task.send(bytes);
		}
	};

	const collect = (message: Message) => {
		if (withheld.length > 0) {
			parts.push(...withheld.map(message => message.bytes));
			withheld = [];
		}

		if (message.type === 'C') {
			withheld = [message];
		} else {
			parts.push(message.bytes);
		}

		sizeBytes += message.bytes.length;
	};

	while (true) {
		if (response.isComplete()) {
			parts.push(...withheld.map(message => message.bytes));
			await flush();
			return {kind: 'flushed', isSkipping: response.hasFailed()};
		}

		const messages = await connection.read();
		if (messages.err) {
			await flush();
			return {kind: 'lost'};
		}

		task.onResponseStarted();
		for (const message of messages.val) {
			if (message.type === 'E' && !task.isWrite && !hasForwarded && readErrorResponse(message).code === SQLSTATE.readOnly) {
				return {kind: 'readOnly'};
			}

			if (message.type === 'Z') {
				const status = readTransactionStatus(message);
				await flush();
				if (!await task.mayForwardCompletion(status)) {
					return {kind: 'lost'};
				}

				if (withheld.length > 0) {
					await task.send(Buffer.concat(withheld.map(message => message.bytes)));
				}

				return {kind: 'ready', status};
			}

			for (const forwarded of response.accept(message)) {
				collect(forwarded);
			}
		}

		if (sizeBytes > FLUSH_BYTES || !chunk.ends) {
			await flush();
		}
	}
};

