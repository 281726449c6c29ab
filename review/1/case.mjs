/** LOST: with synchronous replication, a replica is promoted while another one, whose entry in the store is missing, goes on confirming commits to the primary. */
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
const CLIENT_TIMEOUT_MS = 1500;
/** Services and writers of each. */
const SERVICES = 3;
const WRITERS = 4;
const THINK_MS = 25;
const WARM_UP_MS = 3000;
/** Outages of the store, each longer than the entries of instances last, and the time between them. */
const OUTAGES = 8;
const OUTAGE_MS = 4500;
const CALM_MS = 6000;
/** Variant: `outage` for outages of the store, `cut` for a replica that is cut off from the store before the primary is replaced as planned. */
const VARIANT = process.env.VARIANT ?? 'outage';
/** Time from the cut until the primary announces that it leaves: longer than three heartbeat intervals. */
const CUT_BEFORE_MS = 6000;
const AFTER_MS = 8000;

const members = ['a', 'b', 'c'].map((letter, index) => ({
	id: `i-${letter}`, zone: ['brno-sever', 'brno-jih', 'olomouc'][index], receiveMs: 2, lagMs: 60,
}));
const deployment = await startDeployment({
	caseFolder: path.dirname(fileURLToPath(import.meta.url)),
	zones: ['brno-sever', 'brno-jih', 'olomouc'],
	machineCount: 3,
	serviceCount: SERVICES,
	service: {
		name: SERVICE, members, slots: 3, maxConnections: 34, handshakeMs: 12, workMs: 3, promoteMs: 600, syncReplicas: 1,
	},
	createConfig: version => createBaseConfig(version, {service: SERVICE, serviceCount: SERVICES, syncReplicas: 1}),
});
const acknowledged = [];
let answers = 0;
let isEnding = false;

const runWriter = async index => {
	for (let count = 0; !isEnding;) {
		const session = await openSession(deployment.machines[Math.floor(index / SERVICES) % deployment.machines.length].frontend, getDatabaseName(DATABASES.primary, index % SERVICES), KEY);
		while (session && !isEnding && !session.isEnded()) {
			const id = createRequestId();
			const data = `w${index}x${++count}`;
			const answer = await session.query(id, `WRITE item${index} ${data}`, CLIENT_TIMEOUT_MS);
			answers++;
			deployment.record({
				event: 'answered', id, data, kind: answer.kind, code: answer.code, tookMs: Math.round(answer.endedAt - answer.sentAt),
			});
			if (answer.kind === 'success') {
				acknowledged.push({id, data, at: answer.endedAt});
			}

			await wait(THINK_MS);
		}

		session?.close();
		await wait(THINK_MS);
	}
};

const writers = Array.from({length: WRITERS * SERVICES}, async (_, index) => runWriter(index));
await wait(WARM_UP_MS);
if (VARIANT === 'cut') {
	if (HAS_TROUBLE) {
		deployment.cutFromStore('i-b');
	}

	await wait(CUT_BEFORE_MS);
	deployment.drain('i-a');
	await wait(AFTER_MS);
} else {
	for (let outage = 0; outage < OUTAGES; outage++) {
		if (HAS_TROUBLE) {
			await deployment.takeStoreDown(OUTAGE_MS);
		}

		await wait(CALM_MS);
	}
}

isEnding = true;
await Promise.all(writers);
const promotions = deployment.services.flatMap(service => service.promotions);
const lostIds = new Set(promotions.flatMap(({lost}) => lost).flatMap(({writes}) => writes).map(({id}) => id));
const lost = acknowledged.filter(({id}) => lostIds.has(id));
const summary = {
	event: 'verdict',
	answers,
	acknowledged: acknowledged.length,
	promotions: promotions.map(({id, term}) => ({id, term})),
	acknowledgedAndNotInTheLogOfThePromotedInstance: lost.length,
	examples: lost.slice(0, 3).map(({id, data}) => ({id, data})),
};
deployment.record(summary);
process.stdout.write(`${JSON.stringify(summary, undefined, '\t')}\n`);
await deployment.close();
process.exit(lost.length > 0 ? BROKEN : HELD);
