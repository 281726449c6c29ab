/** What several tests of the whole path need. */

import {readFileSync} from 'node:fs';
import pg from 'pg';
import type {Stack} from '../stack.js';

const KIB = 1024;

/** Connects a stock client of one customer to the proxy at a place in the list. */
export const connectMember = async (stack: Stack, place: number, options: Readonly<Record<string, unknown>> = {}): Promise<pg.Client> => {
	const proxy = [...stack.proxies.values()][place];
	const client = new pg.Client({
		host: '127.0.0.1', port: proxy?.port, user: 'klub-brno-key', password: stack.secrets.get('klub-brno'), database: 'motions', ...options,
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
};

/** Reads how much memory a process holds, in bytes. */
export const readResidentBytes = (pid: number): number => {
	const found = /^VmRSS:\s+(?<kib>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
	return Number(found?.groups?.kib) * KIB;
};
