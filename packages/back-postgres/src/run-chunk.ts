/** Runs a chunk of a request on a connection to a target and forwards the response. */

import {Buffer} from 'node:buffer';
import {
	readErrorResponse, readTransactionStatus, SQLSTATE, type Message,
} from '@guavapitch/postgres-wire';
import type {ChunkResult, ChunkTask} from '@guavapitch/requests';
import type {TargetConnection} from './connection.js';
import {sendChunk} from './chunk-response.js';

/** Size above which buffered messages of a response are forwarded, in bytes; a few network packets. */
const FLUSH_THRESHOLD_BYTES = 32_768;

/** Sends a chunk and forwards the response, withholding its last `CommandComplete` until `mayForwardCompletion` allows it. */
export const runChunk = async (connection: TargetConnection, task: ChunkTask): Promise<ChunkResult> => {
	const {chunk, isSkipping} = task;
	const response = await sendChunk(connection, chunk, isSkipping);
	let bufferedParts: Buffer[] = response.initialReplies.map(message => message.bytes);
	let bufferedBytes = 0;
	let hasForwarded = false;
	let withheldMessages: Message[] = [];

	const flush = async () => {
		if (bufferedParts.length > 0) {
			const bytes = Buffer.concat(bufferedParts);
			bufferedParts = [];
			bufferedBytes = 0;
			hasForwarded = true;
			await task.send(bytes);
		}
	};

	const bufferMessage = (message: Message) => {
		if (withheldMessages.length > 0) {
			bufferedParts.push(...withheldMessages.map(message => message.bytes));
			withheldMessages = [];
		}

		if (message.type === 'C') {
			withheldMessages = [message];
		} else {
			bufferedParts.push(message.bytes);
		}

		bufferedBytes += message.bytes.length;
	};

	while (true) {
		if (response.isComplete()) {
			bufferedParts.push(...withheldMessages.map(message => message.bytes));
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

				if (withheldMessages.length > 0) {
					await task.send(Buffer.concat(withheldMessages.map(message => message.bytes)));
				}

				return {kind: 'ready', status};
			}

			for (const forwarded of response.accept(message)) {
				bufferMessage(forwarded);
			}
		}

		if (bufferedBytes > FLUSH_THRESHOLD_BYTES || !chunk.ends) {
			await flush();
		}
	}
};

