/* eslint-disable camelcase, no-await-in-loop, unicorn/no-process-exit -- the fields are the platform's, vms are tried one after the other, and the exit status is the result */
/** Starts the platform's stand-in and proxies as separate processes for one case, and writes the record of the case. */

import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {openClient} from '../../platform/dist/tests/standin/client.js';
import {startFleet} from '../../platform/dist/tests/standin/fleet.js';
import {startPlatform} from '../../platform/dist/tests/standin/platform.js';

/** Whether the disruption of the case is made; `TROUBLE=0` leaves it out. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Data centres of the proxies and the targets, unless the case names others. */
const DATA_CENTRES = ['north', 'south'];
/** Flags and limits of a process: those of the deploy file and of the example of the settings. */
const NODE_FLAGS = ['--max-semi-space-size=2', '--max-old-space-size=120'];
const LIMITS = {
	cpu_share: 0.459, cpu_cores: 1, memory_mb: 272, max_open_files: 2118, link_mbps: 490, disk_mb: 0,
};
const READY_MS = 20_000;
/** Delay of the platform before it starts a process again that has ended, in milliseconds. */
const RESTART_MS = 500;
const WATCH_INTERVAL_MS = 50;

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Creates the function that writes lines to `record.txt` in a folder, each with the seconds since now. */
export const createRecord = folder => {
	const file = path.join(folder, 'record.txt');
	const startedAt = performance.now();
	writeFileSync(file, '');
	return text => {
		appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`);
	};
};

/** Exit status of a case that has broken its rule; Node itself ends with 1 after an error. */
const BROKEN_STATUS = 41;
const NOT_RUN_STATUS = 2;

/** Starts a platform with targets, and proxies of the built program; resolves once all are ready. `openStorePort` may put something between a vm and its port of the store; it resolves to the address for the vm. */
const startSystem = async ({
	databases, customers, vmCount = 3, syncReplicas = 0, dataCentres = DATA_CENTRES, openStorePort,
}) => {
	const platform = await startPlatform({
		databases, customers, syncReplicas, targetsPerDatabase: 3, isFenced: true, dataCentres,
	});
	const openPort = async vm => openStorePort ? openStorePort(vm, await platform.store.openPort(vm)) : platform.store.openPort(vm);
	const fleet = await startFleet({...platform, store: {...platform.store, openPort}}, vmCount, dataCentres, {nodeFlags: NODE_FLAGS, limits: LIMITS});
	const system = {
		platform,
		fleet,
		/** Opens a session at the first vm, from `first` on, that accepts one, as the platform's entry address does. */
		async connect(service, key, first = 0) {
			for (let index = 0; index < fleet.vms.length; index++) {
				const vm = fleet.vms[(first + index) % fleet.vms.length];
				const client = vm.isRunning() ? await openClient(vm.callerAddress, service, key) : undefined;
				if (typeof client === 'object') {
					return client;
				}
			}

			return undefined;
		},
		async [Symbol.asyncDispose]() {
			await fleet[Symbol.asyncDispose]();
			await platform[Symbol.asyncDispose]();
		},
	};
	try {
		await fleet.waitUntilReady(READY_MS);
		return system;
	} catch (error) {
		await system[Symbol.asyncDispose]();
		throw error;
	}
};

/** Starts processes again that have ended by themselves, as the platform does, and counts and records their ends. */
export const watchProcesses = (fleet, record) => {
	const endsByVm = new Map(fleet.vms.map(({name}) => [name, 0]));
	const timer = setInterval(() => {
		for (const vm of fleet.vms) {
			if (vm.crashes.length > endsByVm.get(vm.name)) {
				endsByVm.set(vm.name, vm.crashes.length);
				record(`END ${vm.crashes.at(-1)}: ${vm.outputLines.findLast(line => line.includes('FATAL ERROR')) ?? 'no message'}`);
				setTimeout(vm.start, RESTART_MS);
			}
		}
	}, WATCH_INTERVAL_MS);
	return {
		endsByVm,
		stop() {
			clearInterval(timer);
		},
	};
};

/** Runs a case on a system, and ends the process. The case resolves to whether the rule was broken, or to `undefined` if nothing could be shown. */
export const runCase = async (record, options, play) => {
	let status = NOT_RUN_STATUS;
	let system;
	// The time limit of a run: the processes must not outlive it.
	process.once('SIGTERM', async () => {
		await system?.[Symbol.asyncDispose]();
		process.exit(NOT_RUN_STATUS);
	});
	try {
		system = await startSystem(options);
		const isBroken = await play(system);
		if (isBroken !== undefined) {
			status = isBroken ? BROKEN_STATUS : 0;
			record(isBroken ? 'RESULT the rule was broken' : 'RESULT the rule held');
		}
	} catch (error) {
		record(`NOT RUN ${error.stack}`);
	}

	await system?.[Symbol.asyncDispose]();
	process.exit(status);
};
