/** A client of the line protocol: a session that sends one request at a time. */
/* eslint camelcase: off, no-await-in-loop: off, no-unmodified-loop-condition: off, unicorn/no-process-exit: off, unicorn/no-await-expression-member: off, @stylistic/max-len: off -- the cases are scripts written straight down, and the names of the wire are the platform's */

import {createConnection} from 'node:net';
import {readLines, splitWords} from './lines.mjs';

/** One-way delay between clients and machines, in milliseconds, as in the site files. */
const CLIENT_DELAY_MS = 3;
const START_TIMEOUT_MS = 2000;

let lastId = 0;

/** Creates an identifier of a request that no other request has. */
export const createRequestId = () => (++lastId).toString(16).padStart(16, '0');

/** Opens a session; resolves to `undefined` if it is refused or not answered in time. */
export const openSession = async (address, database, key) => {
	const [host, port] = address.split(':');
	const socket = createConnection({host, port: Number(port), noDelay: true});
	const lines = [];
	let wake = () => undefined;
	let endedAt;
	const end = () => {
		endedAt ??= performance.now();
		wake();
	};

	readLines(socket, line => {
		setTimeout(() => {
			lines.push(line);
			wake();
		}, CLIENT_DELAY_MS);
	});
	socket.on('close', () => {
		setTimeout(end, CLIENT_DELAY_MS + 1);
	});
	socket.on('error', () => undefined);

	const send = line => {
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.write(`${line}\r\n`, 'latin1');
			}
		}, CLIENT_DELAY_MS);
	};

	const takeLine = async deadline => {
		while (lines.length === 0 && endedAt === undefined && performance.now() < deadline) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, deadline - performance.now() + 1);
				wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}

		return lines.shift();
	};

	send(`START ${database} ${key}`);
	const greeting = await takeLine(performance.now() + START_TIMEOUT_MS);
	if (!greeting?.startsWith('READY')) {
		socket.destroy();
		return undefined;
	}

	return {
		/** Sends a request and waits for the whole answer; the kind is `cut` if the connection ended before, and `late` if no answer came in time. */
		async query(id, text, timeoutMs) {
			const sentAt = performance.now();
			const rows = [];
			let result;
			send(`QUERY ${id} ${text}`);
			while (true) {
				const line = await takeLine(sentAt + timeoutMs);
				const now = performance.now();
				if (line === undefined) {
					const kind = endedAt === undefined ? 'late' : 'cut';
					socket.destroy();
					return {
						id, text, kind, sentAt, endedAt: now,
					};
				}

				const [word, rest = ''] = splitWords(line, 2);
				if (word === 'ROW') {
					rows.push(rest);
				} else if (word === 'READY') {
					return {
						id, text, ...result, rows, state: rest.split(' ', 1)[0], sentAt, endedAt: now,
					};
				} else {
					result = word === 'COMPLETE' ? {kind: 'success', signature: rest} : {kind: 'error', code: rest.split(' ', 1)[0]};
				}
			}
		},
		isEnded: () => endedAt !== undefined,
		close() {
			socket.destroy();
		},
	};
};
