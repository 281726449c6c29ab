/** PINNED: an instance refuses to set a session value, and the statement that was sent behind it runs without that value. */
/* eslint camelcase: off, no-await-in-loop: off, no-unmodified-loop-condition: off, unicorn/no-process-exit: off, unicorn/no-await-expression-member: off, @stylistic/max-len: off -- the cases are scripts written straight down, and the names of the wire are the platform's */

import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createRequestId, openSession} from '../harness/client.mjs';
import {
	BROKEN, createBaseConfig, DATABASES, getDatabaseName, HAS_TROUBLE, HELD, KEY, startDeployment,
} from '../harness/deployment.mjs';
import {wait} from '../harness/lines.mjs';

const SERVICE = 'huvo11a';
const CLIENT_TIMEOUT_MS = 2000;
/** Services, one of whose nine instances is grey: a share of 0.11. */
const SERVICES = 3;
const CLIENTS = 24;
const THINK_MS = 40;
const WARM_UP_MS = 2000;
/** Length of the disruption and its share of refused requests, as in the site file. */
const GREY_MS = 6500;
const GREY_SHARE = 0.45;
/** Name of the session value that every client sets to a value of its own. */
const VALUE_NAME = 'tz';

const members = ['a', 'b', 'c'].map((letter, index) => ({
	id: `i-${letter}`, zone: ['brno-sever', 'brno-jih', 'olomouc'][index], receiveMs: 2, lagMs: 60,
}));
const deployment = await startDeployment({
	caseFolder: path.dirname(fileURLToPath(import.meta.url)),
	zones: ['brno-sever', 'brno-jih', 'olomouc'],
	machineCount: 3,
	serviceCount: SERVICES,
	service: {
		name: SERVICE, members, slots: 3, maxConnections: 34, handshakeMs: 12, workMs: 9, promoteMs: 600, syncReplicas: 0,
	},
	createConfig: version => createBaseConfig(version, {service: SERVICE, serviceCount: SERVICES}),
});
const answers = [];
const valuesById = new Map();
let isEnding = false;

const ask = async (session, text, value) => {
	const id = createRequestId();
	valuesById.set(id, value);
	const answer = await session.query(id, text, CLIENT_TIMEOUT_MS);
	answers.push(answer);
	deployment.record({
		event: 'answered', id, text, kind: answer.kind, code: answer.code,
	});
	return answer;
};

const runClient = async index => {
	for (let round = 0; !isEnding; round++) {
		const session = await openSession(deployment.machines[Math.floor(index / SERVICES) % deployment.machines.length].frontend, getDatabaseName(DATABASES.bounded, index % SERVICES), KEY);
		const value = `client${index}round${round}`;
		let isAcknowledged = session !== undefined && (await ask(session, `SET ${VALUE_NAME} ${value}`)).kind === 'success';
		for (let count = 0; isAcknowledged && !isEnding && count < 20; count++) {
			const answer = await ask(session, `READ item${count}`, value);
			isAcknowledged = answer.kind !== 'cut' && answer.kind !== 'late';
			await wait(THINK_MS);
		}

		session?.close();
		await wait(THINK_MS);
	}
};

const clients = Array.from({length: CLIENTS}, async (_, index) => runClient(index));
await wait(WARM_UP_MS);
const grey = deployment.services[0].instances.get('i-b');
if (HAS_TROUBLE) {
	deployment.record({event: 'grey', id: grey.id});
	grey.refuses = word => word !== 'ROLLBACK' && word !== 'STATUS' && Math.random() < GREY_SHARE ? 'BUSY' : undefined;
}

await wait(GREY_MS);
grey.refuses = undefined;
await wait(WARM_UP_MS);
isEnding = true;
await Promise.all(clients);
const arrived = deployment.getArrivals();
const wrong = answers.filter(({id}) => valuesById.get(id) !== undefined && arrived.has(id) && arrived.get(id).values[VALUE_NAME] !== valuesById.get(id));
const summary = {
	event: 'verdict',
	statements: [...valuesById.values()].filter(value => value !== undefined).length,
	ranWithOtherValues: wrong.length,
	ofWhichAnsweredWithSuccess: wrong.filter(({kind}) => kind === 'success').length,
	examples: wrong.slice(0, 3).map(({id}) => ({
		id, acknowledged: valuesById.get(id), ranWith: arrived.get(id).values[VALUE_NAME] ?? 'none', instance: arrived.get(id).instance,
	})),
};
deployment.record(summary);
process.stdout.write(`${JSON.stringify(summary, undefined, '\t')}\n`);
await deployment.close();
process.exit(wrong.length > 0 ? BROKEN : HELD);
