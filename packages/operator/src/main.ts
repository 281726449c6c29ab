#!/usr/bin/env node
/** Command-line program `guavapitch-operator`: applies inventories, issues and withdraws keys, and shows the status of the fleet. */

import {readFileSync} from 'node:fs';
import os from 'node:os';
import process from 'node:process';
import yargs from 'yargs';
import {createRuntime, getErrorMessage} from '@guavapitch/core';
import {changeConfiguration, readConfiguration, type ChangeFailure} from '@guavapitch/configuration';
import {
	compareInventories, parseInventory, type Difference, type Inventory,
} from '@guavapitch/inventory';
import {readPeerTls} from '@guavapitch/peer-protocol';
import {openEtcdStore, type EtcdStore} from '@guavapitch/store';
import {
	openFleetClient, readStatuses, readVms, waitForRevision, type FleetClient, type ProxyStatus,
} from './fleet.js';
import {requestEvents, describeRequest} from './events.js';
import {issueKey, withdrawKey} from './keys.js';

const FIRST_ARGUMENT_INDEX = 2;
const EXIT_REFUSED = 1;
const EXIT_SETTING = 2;
const EXIT_NOT_ACTIVE = 4;
const STORE_TIMEOUT_MS = 2000;
const DEFAULT_WAIT_MS = 10_000;

const runtime = createRuntime();

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const fail = (message: string, code: number) => {
	process.stderr.write(`guavapitch-operator: ${message}\n`);
	process.exitCode = code;
};

const formatDifference = ({path, before, after}: Difference): string => {
	if (before === undefined) {
		return `+ ${path}: ${after}`;
	}

	return after === undefined ? `- ${path}: ${before}` : `~ ${path}: ${before} -> ${after}`;
};

const openStore = (platform: string): EtcdStore => openEtcdStore({address: platform, callTimeoutMs: STORE_TIMEOUT_MS}, runtime);

const readInventoryFile = (file: string): Inventory | undefined => {
	const parsed = parseInventory(readFileSync(file, 'utf8'));
	if (parsed.err) {
		fail(`${file}: the inventory is not valid\n${parsed.val.message}`, EXIT_REFUSED);
		return undefined;
	}

	return parsed.val;
};

/** Keys are issued and withdrawn by commands, so a file without keys keeps the active ones, except those of customers that it does not contain. */
const keepActiveKeys = (inventory: Inventory, current: Inventory | undefined): Inventory => Object.keys(inventory.keys).length === 0 && current
	? {...inventory, keys: Object.fromEntries(Object.entries(current.keys).filter(([, key]) => Object.hasOwn(inventory.customers, key.customer)))}
	: inventory;

const describeChangeFailure = (failure: ChangeFailure, before: Inventory | undefined): string => {
	if (failure.code !== 'configurationRaced') {
		return failure.message;
	}

	const lines = failure.current ? compareInventories(before, failure.current.inventory).map(difference => formatDifference(difference)) : [];
	return `${failure.message} (by ${failure.current?.author ?? 'unknown'}, now revision ${failure.revision}); nothing was changed. The concurrent change:\n${lines.join('\n')}`;
};

type Flags = Readonly<{
	platform: string;
	wait: boolean;
	waitMs: number;
	json?: boolean;
	peerTlsCert?: string | undefined;
	peerTlsKey?: string | undefined;
	peerTlsCa?: string | undefined;
}>;

const openClient = (flags: Flags): FleetClient => openFleetClient(runtime, readPeerTls({cert: flags.peerTlsCert, key: flags.peerTlsKey, ca: flags.peerTlsCa}).unwrap());

const waitIfRequested = async (store: EtcdStore, flags: Flags, revision: number) => {
	if (!flags.wait) {
		return;
	}

	await using client = openClient(flags);
	const waited = await waitForRevision(store, client, runtime, {revision, timeoutMs: flags.waitMs});
	if (waited.err) {
		fail(`revision ${revision} is accepted, but it is not known where it is active: ${waited.val.message}`, EXIT_NOT_ACTIVE);
		return;
	}

	const {val: outdatedVms} = waited;
	if (outdatedVms.length === 0) {
		print(`revision ${revision} is active at every vm`);
		return;
	}

	const names = outdatedVms.map(({vm, status}) => `${vm.vm} (${status.ok ? `revision ${status.val.revision}` : status.val.message})`);
	fail(`revision ${revision} is accepted but not yet active at: ${names.join(', ')}`, EXIT_NOT_ACTIVE);
};

const applyChange = async (flags: Flags, change: (current: Inventory | undefined) => Inventory | undefined) => {
	await using store = openStore(flags.platform);
	const current = await readConfiguration(store);
	if (current.err) {
		fail(current.val.message, EXIT_REFUSED);
		return;
	}

	const before = current.val.document?.inventory;
	const inventory = change(before);
	if (!inventory) {
		return;
	}

	const changed = await changeConfiguration(store, runtime, {expectedRevision: current.val.revision, author: os.userInfo().username, inventory});
	if (changed.err) {
		fail(describeChangeFailure(changed.val, before), EXIT_REFUSED);
		return;
	}

	for (const difference of compareInventories(before, inventory)) {
		print(formatDifference(difference));
	}

	print(`accepted as revision ${changed.val}`);
	await waitIfRequested(store, flags, changed.val);
};

const formatList = (names: readonly string[]): string => names.join(' ') || '-';

const formatRecord = ({database, term, primary, synced, joining}: ProxyStatus['groups'][number]['record']): string => [
	database, `term ${term}`, `primary ${primary}`, `synced ${formatList(synced)}`, `joining ${formatList(joining)}`,
].join('  ');

const printStatus = async (flags: Flags) => {
	await using store = openStore(flags.platform);
	await using client = openClient(flags);
	const read = await readStatuses(store, client);
	if (read.err) {
		fail(`the vms cannot be listed: ${read.val.message}`, EXIT_REFUSED);
		return;
	}

	const {val: statuses} = read;
	if (flags.json) {
		print(JSON.stringify(statuses.map(({vm, status}) => ({vm, status: status.val})), null, 2));
		return;
	}

	for (const {vm, status} of statuses) {
		print(status.ok
			? `${vm.vm}  ${vm.dataCentre}  revision ${status.val.revision}  confirmed ${status.val.confirmedAgeMs} ms ago  owner of ${status.val.homes.map(home => home.target).join(' ') || '-'}`
			: `${vm.vm}  ${vm.dataCentre}  no answer: ${status.val.message}`);
	}

	const groups = new Map<string, Readonly<{revision: number; text: string}>>();
	for (const {status} of statuses) {
		for (const {record, revision} of status.ok ? status.val.groups : []) {
			if (revision > (groups.get(record.database)?.revision ?? 0)) {
				groups.set(record.database, {revision, text: formatRecord(record)});
			}
		}
	}

	for (const {text} of groups.values()) {
		print(text);
	}
};

const explainRouting = async (flags: Flags & Readonly<{customer: string; service: string; statement: string}>) => {
	await using store = openStore(flags.platform);
	await using client = openClient(flags);
	const vms = await readVms(store);
	if (vms.err) {
		fail(`the vms cannot be listed: ${vms.val.message}`, EXIT_REFUSED);
		return;
	}

	for (const vm of vms.val) {
		const response = await client.call<Readonly<{steps: readonly string[]}>>(vm, 'explain', {customer: flags.customer, service: flags.service, statement: flags.statement});
		if (response.ok) {
			for (const [index, step] of response.val.steps.entries()) {
				print(`${index + 1}. ${step}`);
			}

			return;
		}
	}

	fail('no vm responded, so the request cannot be explained', EXIT_REFUSED);
};

const explainRequest = async (flags: Flags, request: string) => {
	await using store = openStore(flags.platform);
	await using client = openClient(flags);
	const requested = await requestEvents(store, client, {request});
	if (requested.err) {
		fail(`the vms cannot be listed: ${requested.val.message}`, EXIT_REFUSED);
		return;
	}

	const {eventLists, unresponsiveVms} = requested.val;
	const events = eventLists.flat();
	for (const event of events) {
		print(describeRequest(event));
	}

	if (events.length === 0) {
		const unresponsiveNote = unresponsiveVms.length > 0 ? `; no answer from ${unresponsiveVms.join(', ')}` : '';
		fail(`no vm holds an event of the request ${request}: it succeeded, or its events are no longer in memory${unresponsiveNote}`, EXIT_REFUSED);
	}
};

const commandLine = yargs(process.argv.slice(FIRST_ARGUMENT_INDEX))
	.scriptName('guavapitch-operator')
	.usage('$0 <command>\n\nExit codes: 0 done, 1 refused, 2 a setting is invalid, 4 accepted but not yet active at every vm.')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.demandCommand(1)
	.option('platform', {type: 'string', default: '127.0.0.1:2379', describe: 'address of the platform\'s key-value service, host:port'})
	.option('wait', {type: 'boolean', default: false, describe: 'wait until the change is active at every vm'})
	.option('wait-ms', {type: 'number', default: DEFAULT_WAIT_MS, describe: 'maximum time for which --wait waits, in milliseconds'})
	.option('peer-tls-cert', {type: 'string', describe: 'client certificate for connections to the proxies, PEM file'})
	.option('peer-tls-key', {type: 'string', describe: 'private key of the client certificate, PEM file'})
	.option('peer-tls-ca', {type: 'string', describe: 'certificate authority of the proxies, PEM file'})
	.command('check <file>', 'check an inventory file', command => command.positional('file', {type: 'string', demandOption: true}), flags => {
		if (readInventoryFile(flags.file)) {
			print(`${flags.file}: valid`);
		}
	})
	.command('diff <file>', 'show what applying a file would change', command => command.positional('file', {type: 'string', demandOption: true}), async flags => {
		const inventory = readInventoryFile(flags.file);
		await using store = openStore(flags.platform);
		const current = await readConfiguration(store);
		if (inventory && current.ok) {
			const before = current.val.document?.inventory;
			print(compareInventories(before, keepActiveKeys(inventory, before)).map(difference => formatDifference(difference)).join('\n') || 'no difference');
		} else if (current.err) {
			fail(current.val.message, EXIT_REFUSED);
		}
	})
	.command('apply <file>', 'make an inventory file the active configuration', command => command.positional('file', {type: 'string', demandOption: true}), async flags => {
		const inventory = readInventoryFile(flags.file);
		if (inventory) {
			await applyChange(flags, current => keepActiveKeys(inventory, current));
		}
	})
	.command('key <action> <name>', 'issue or withdraw a key', command => command
		.positional('action', {choices: ['issue', 'withdraw'] as const, demandOption: true})
		.positional('name', {type: 'string', demandOption: true, describe: 'identifier of the key, which callers give as user name'})
		.option('customer', {type: 'string', describe: 'customer of a new key'}), async flags => {
		await applyChange(flags, current => {
			if (!current) {
				fail('there is no configuration yet; apply an inventory first', EXIT_REFUSED);
				return undefined;
			}

			if (flags.action === 'withdraw') {
				const withdrawn = withdrawKey(current, flags.name);
				if (withdrawn.err) {
					fail(withdrawn.val.message, EXIT_REFUSED);
				}

				return withdrawn.unwrapOr(undefined);
			}

			const issued = issueKey(current, flags.customer ?? '', flags.name);
			if (issued.err) {
				fail(issued.val.message, EXIT_REFUSED);
				return undefined;
			}

			print(`key ${issued.val.keyId}: ${issued.val.secret}`);
			return issued.val.inventory;
		});
	})
	.command('status', 'show the state of every vm and every database', command => command.option('json', {type: 'boolean', default: false, describe: 'print JSON'}), async flags => {
		await printStatus(flags);
	})
	.command('explain', 'show the access rule, quota and route of a request, or why a request was refused', command => command
		.option('customer', {type: 'string', describe: 'customer that would send the request'})
		.option('service', {type: 'string', describe: 'service that would receive the request'})
		.option('statement', {type: 'string', describe: 'statement that would be sent'})
		.option('request', {type: 'string', describe: 'identifier of a request, from the detail of its error', conflicts: ['customer', 'service', 'statement']}), async flags => {
		const {customer, service, statement, request} = flags;
		if (request !== undefined) {
			await explainRequest(flags, request);
		} else if (customer !== undefined && service !== undefined && statement !== undefined) {
			await explainRouting({
				...flags, customer, service, statement,
			});
		} else {
			fail('explain needs --request, or --customer, --service and --statement', EXIT_SETTING);
		}
	})
	.fail((message: string, error: unknown) => {
		throw error instanceof Error ? error : new RangeError(message);
	})
	.exitProcess(false);

try {
	await commandLine.parseAsync();
} catch (error) {
	fail(getErrorMessage(error), EXIT_SETTING);
}
