/** LOST: a machine that was told to stop goes on accepting requests until its process exits in the middle of them. */
/* eslint camelcase: off, no-await-in-loop: off, no-unmodified-loop-condition: off, unicorn/no-process-exit: off, unicorn/no-await-expression-member: off, @stylistic/max-len: off -- the cases are scripts written straight down, and the names of the wire are the platform's */

import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createRequestId, openSession} from '../harness/client.mjs';
import {
	BROKEN, createBaseConfig, DATABASES, GRACE_MS, HAS_TROUBLE, HELD, KEY, startDeployment,
} from '../harness/deployment.mjs';
import {wait} from '../harness/lines.mjs';

const SERVICE = 'huvo11a';
/** Timeout of a statement on the route, and of the client. */
const ROUTE_TIMEOUT_MS = 1200;
const CLIENT_TIMEOUT_MS = 4000;
/** Sessions of a pool, each of which sends the next request as soon as it has the answer to the one before. */
const POOL_SESSIONS = 32;
/** Sessions with a transaction that is open at SIGTERM. */
const TRANSACTION_SESSIONS = 30;
const STATEMENTS_OF_TRANSACTION = 12;
const PAUSE_MS = 500;
const WARM_UP_MS = 3000;
/** Requests sent up to this long after SIGTERM are excused if their instance is at work in the last sixth of the grace period. */
const EXCUSED_SENT_MS = 3000;

const members = ['a', 'b', 'c'].map((letter, index) => ({
	id: `i-${letter}`, zone: ['brno-sever', 'brno-jih', 'olomouc'][index], receiveMs: 2, lagMs: 60,
}));
const deployment = await startDeployment({
	caseFolder: path.dirname(fileURLToPath(import.meta.url)),
	zones: ['brno-sever', 'brno-jih', 'olomouc'],
	machineCount: 3,
	service: {
		name: SERVICE, members, slots: 3, maxConnections: 34, handshakeMs: 12, workMs: 40, promoteMs: 600, syncReplicas: 0,
	},
	createConfig: version => createBaseConfig(version, {service: SERVICE, timeoutMs: ROUTE_TIMEOUT_MS}),
});
const [stopped] = deployment.machines;
const answers = [];
let isEnding = false;

const ask = async (session, text) => {
	const answer = await session.query(createRequestId(), text, CLIENT_TIMEOUT_MS);
	answers.push(answer);
	deployment.record({
		event: 'answered', id: answer.id, text, kind: answer.kind, code: answer.code, state: answer.state, tookMs: Math.round(answer.endedAt - answer.sentAt),
	});
	return answer;
};

/** Sends single reads over one session until it is closed. */
const runPool = async index => {
	const session = await openSession(stopped.frontend, DATABASES.bounded, KEY);
	while (session && !isEnding && !session.isEnded()) {
		await ask(session, `READ item${index}`);
	}
};

/** Runs a transaction of reads with pauses. */
const runTransaction = async index => {
	const session = await openSession(stopped.frontend, DATABASES.bounded, KEY);
	await wait(index * PAUSE_MS / TRANSACTION_SESSIONS);
	let answer = session && await ask(session, 'BEGIN READ');
	for (let count = 0; answer?.state === 'T' && count < STATEMENTS_OF_TRANSACTION; count++) {
		answer = await ask(session, `READ item${index}`);
		await wait(PAUSE_MS);
	}

	if (answer?.state === 'T') {
		await ask(session, 'COMMIT');
	}

	session?.close();
};

const pools = Array.from({length: POOL_SESSIONS}, async (_, index) => runPool(index));
await wait(WARM_UP_MS);
const transactions = Array.from({length: TRANSACTION_SESSIONS}, async (_, index) => runTransaction(index));
await wait(PAUSE_MS);
const stoppedAt = performance.now();
if (HAS_TROUBLE) {
	stopped.signal('SIGTERM');
}

await wait(GRACE_MS + 1500);
isEnding = true;
await Promise.all([...pools, ...transactions]);
const cut = answers.filter(({kind, sentAt, endedAt}) => kind === 'cut' && endedAt >= stoppedAt && endedAt <= stoppedAt + GRACE_MS + 1000 && endedAt - sentAt < ROUTE_TIMEOUT_MS);
const arrived = deployment.getArrivals();
const lost = cut.filter(({id, sentAt}) => arrived.has(id) && sentAt > stoppedAt + EXCUSED_SENT_MS);
const summary = {
	event: 'verdict',
	requests: answers.length,
	cut: cut.length,
	cutAfterTheyWerePassedOnAndNotExcused: lost.length,
	ofTransactions: lost.filter(({text, sentAt}) => answers.some(other => other.text === text && other.state === 'T' && other.sentAt < sentAt)).length,
	examples: lost.slice(0, 3).map(({id, text, sentAt, endedAt}) => ({
		id, text, sentAfterSigtermMs: Math.round(sentAt - stoppedAt), cutAfterMs: Math.round(endedAt - sentAt),
	})),
};
deployment.record(summary);
process.stdout.write(`${JSON.stringify(summary, undefined, '\t')}\n`);
await deployment.close();
process.exit(lost.length > 0 ? BROKEN : HELD);
