/** Helpers shared by the end-to-end tests. */

import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import process from 'node:process';
import pg from 'pg';
import type {Stack} from '../stack.js';

const BYTES_PER_KIBIBYTE = 1024;

/** Connects an unmodified client to the proxy with the given index, with the key of customer `klub-brno`. */
export const connectToProxy = async (stack: Stack, proxyIndex: number, options: Readonly<Record<string, unknown>> = {}): Promise<pg.Client> => {
	const proxy = [...stack.proxies.values()][proxyIndex];
	const client = new pg.Client({
		host: '127.0.0.1', port: proxy?.port, user: 'klub-brno-key', password: stack.secrets.get('klub-brno'), database: 'motions', ...options,
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
};

/** Output and exit code of a program. */
export type ProgramResult = Readonly<{stdout: string; stderr: string; exitCode: number}>;

/** Runs a program of the project until it exits. */
export const runProgram = async (name: string, args: readonly string[]): Promise<ProgramResult> => {
	const program = createRequire(import.meta.url).resolve(`@guavapitch/${name}`).replace(/index\.js$/v, 'main.js');
	return new Promise(resolve => {
		const child = execFile(process.execPath, [program, ...args], (_error, stdout, stderr) => {
			resolve({stdout, stderr, exitCode: child.exitCode ?? -1});
		});
	});
};

/** Reads the resident memory of a process, in bytes. */
export const readResidentBytes = (pid: number): number => {
	const match = /^VmRSS:\s+(?<kib>\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
	return Number(match?.groups?.kib) * BYTES_PER_KIBIBYTE;
};
