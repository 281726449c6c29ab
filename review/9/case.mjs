/* eslint-disable no-await-in-loop -- a caller sends one message after the other */
/** The operators add a customer whose name has a letter beyond Latin-1; the targets must be told that name. */

import {Buffer} from 'node:buffer';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {getRouteNames} from '../../platform/dist/tests/standin/platform.js';
import {
	createRecord, HAS_TROUBLE, runCase, sleep,
} from '../harness-2/system.mjs';

const DATABASE = 'motions';
const SERVICE = getRouteNames(DATABASE).latest;
/** Time after which a changed configuration is in force at every vm: `config_apply_ms`, and a margin. */
const APPLY_MS = 4000;
const WRITES = 12;
const RESPONSE_MS = 4000;

const QUOTA = {rate: 400, burst: 200};
/** Customers with the keys that they hold. "Dům" is Czech and "dom" is Slovak for house. */
const OLD_CUSTOMER = {name: 'klub-dom', keys: ['key-of-klub-dom'], ...QUOTA};
const NEW_CUSTOMER = {name: HAS_TROUBLE ? 'klub-dům' : 'klub-dum', keys: ['key-of-new-klub'], ...QUOTA};

const record = createRecord(path.dirname(fileURLToPath(import.meta.url)));

/** Returns what a target may read in the bytes of the name that it was told: UTF-8, or one character for each byte. The stand-in keeps one character for each byte. */
const decodeTold = told => [Buffer.from(told, 'latin1').toString('utf8'), told];

await runCase(record, {databases: [DATABASE], customers: [OLD_CUSTOMER]}, async system => {
	system.platform.configure([OLD_CUSTOMER, NEW_CUSTOMER]);
	await sleep(APPLY_MS);
	let answered = 0;
	for (let index = 0; index < WRITES; index++) {
		const client = await system.connect(SERVICE, NEW_CUSTOMER.keys[0], index);
		const response = await client?.query(`w${index}`, `WRITE 1a4 data${index}`, RESPONSE_MS);
		record(`SENT w${index} with the key of ${NEW_CUSTOMER.name}: ${response ? response.code ?? 'done' : 'none'}`);
		answered += Number(response !== undefined && response.code === undefined);
		client?.[Symbol.dispose]();
	}

	const executed = system.platform.groups.get(DATABASE).executedStatements.filter(({id}) => id.startsWith('w'));
	for (const {id, text, target, customer} of executed) {
		record(`RUN ${id} at ${target}: ${text}; customer told: ${decodeTold(customer).map(name => JSON.stringify(name)).join(' or ')}`);
	}

	const foreign = executed.filter(({customer}) => !decodeTold(customer).includes(NEW_CUSTOMER.name));
	const ofOldCustomer = foreign.filter(({customer}) => customer === OLD_CUSTOMER.name);
	record(`${executed.length} statements of ${NEW_CUSTOMER.name} run, ${answered} answered with success`);
	record(`${foreign.length} of them under another name, ${ofOldCustomer.length} under that of ${OLD_CUSTOMER.name}`);
	return executed.length === 0 ? undefined : foreign.length > 0;
});
