/** Common parts of the cases: starts the platform's stand-in and a fleet with the commands of the deploy file, and records what was sent, answered and run. */
/* eslint-disable no-await-in-loop -- callers send one statement after another */

import {
	mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const ROOT = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..');

// The stand-ins start this program with the flags below, as the `run` line of deploy/system.toml does.
process.env.GUAVAPITCH_PROGRAM = path.join(ROOT, 'target', 'guavapitch-proxy.mjs');
// The settings files of the fleet are written below a folder of this run.
const folder = mkdtempSync(path.join(tmpdir(), 'guavapitch-review-'));
process.env.TMPDIR = folder;

const standin = path.join(ROOT, 'platform', 'dist', 'tests', 'standin');
const {startPlatform, getRouteNames} = await import(path.join(standin, 'platform.js'));
const {startFleet} = await import(path.join(standin, 'fleet.js'));
const {openClient} = await import(path.join(standin, 'client.js'));

export {getRouteNames, openClient};

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Data centres of the fleets. */
const DATA_CENTRES = ['north', 'south'];
const READY_TIMEOUT_MS = 20_000;
/** Flags and limits of a machine, as in deploy/system.toml and in the site file. */
/* eslint-disable camelcase -- names of the platform */
const MACHINE = {
	nodeFlags: ['--max-semi-space-size=2', '--max-old-space-size=120'], limits: {
		cpu_share: 0.459, cpu_cores: 1, memory_mb: 272, max_open_files: 2167,
	},
};
/* eslint-enable camelcase */

/** Exit codes of a case. */
export const BROKEN = 1;
export const HELD = 0;
export const UNUSABLE = 2;

export const wait = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Collects the lines of a record, and writes them to `record.txt` beside the case. */
const createRecord = caseFolder => {
	const startedAt = performance.now();
	const lines = [];
	return {
		add(text) {
			lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
		},
		write() {
			writeFileSync(path.join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
};

/** Runs a case: `play` gets the record and functions to start a platform and a fleet; resolves to an exit code. */
export const runCase = async (moduleUrl, play) => {
	const record = createRecord(path.dirname(fileURLToPath(moduleUrl)));
	const disposables = [];
	const start = async (options, vmCount) => {
		const platform = await startPlatform({
			targetsPerDatabase: 3, syncReplicas: 0, isFenced: true, dataCentres: DATA_CENTRES, ...options,
		});
		disposables.push(platform);
		const fleet = await startFleet(platform, vmCount, DATA_CENTRES, MACHINE);
		disposables.push(fleet);
		await fleet.waitUntilReady(READY_TIMEOUT_MS);
		return {platform, fleet};
	};

	let code = UNUSABLE;
	try {
		mkdirSync(folder, {recursive: true});
		code = await play({record, start});
	} catch (error) {
		record.add(`the case could not run: ${error.stack}`);
	}

	record.add(`exit code ${code}`);
	record.write();
	for (const disposable of disposables.toReversed()) {
		await disposable[Symbol.asyncDispose]();
	}

	rmSync(folder, {recursive: true, force: true});
	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- a case is a program of its own
};
