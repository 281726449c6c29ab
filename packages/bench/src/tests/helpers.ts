/** What several tests of the whole path need. */

import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import pg from 'pg';
import type {Stack} from '../stack.js';

const KIB = 1024;

/** Connects a stock client of one customer to the proxy at a place in the list. */
export const connectToProxy = async (stack: Stack, place: number, options: Readonly<Record<string, unknown>> = {}): Promise<pg.Client> => {
	const proxy = [...stack.proxies.values()][place];
	const client = new pg.Client({
		host: '127.0.0.1', port: proxy?.port, user: 'klub-brno-key', password: stack.secrets.get('klub-brno'), database: 'motions', ...options,
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
};

/** What a program printed, and how it ended. */
export type ProgramResult = Readonly<{stdout: string; stderr: string; exitCode: number}>;

/** Runs a program of the project to its end. */
export const runProgram = async (name: string, args: readonly string[]): Promise<ProgramResult> => {
	const program = createRequire(import.meta.url).resolve(`@guavapitch/${name}`).replace(/index\.js$/v, 'main.js');
	return new Promise(resolve => {
		const child = execFile(process.execPath, [program, ...args], (_error, stdout, stderr) => {
			resolve({stdout, stderr, exitCode: child.exitCode ?? -1});
		});
	});
};

/** Reads how much memory a process holds, in bytes. */
export const readResidentBytes = (pid: number): number => {
	const found = /^VmRSS:\s+(?<kib>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
	return Number(found?.groups?.kib) * KIB;
};
