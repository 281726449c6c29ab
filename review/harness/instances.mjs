/** Stand-in of a service: one primary and its replicas, which speak the line protocol of PROTOCOL.md, with logs, terms and promotion. */
/* eslint camelcase: off, complexity: off, no-await-in-loop: off, no-unmodified-loop-condition: off, unicorn/no-process-exit: off, unicorn/no-await-expression-member: off, @stylistic/max-len: off -- the cases are scripts written straight down, and the names of the wire are the platform's */

import {createServer} from 'node:net';
import {readLines, splitWords, wait} from './lines.mjs';

const REPLICATE_MS = 2;
const WAIT_MS = 1;
const FIRST_TERM = 3;

const isAtOrAfter = (a, b) => a.term > b.term || (a.term === b.term && a.number >= b.number);

/**
 * Starts the instances of a service.
 * `members` lists `{id, zone, receiveMs, lagMs}`; the first one is the primary. `record` is called with each event to be recorded.
 */
export const startService = async ({name, members, slots, maxConnections, handshakeMs, workMs, promoteMs, syncReplicas, record, onRead, onCommit}) => {
	const instances = new Map();
	const promotions = [];
	let highestToken = 0;
	let signatureCount = 0;

	const getPrimary = () => [...instances.values()].find(({role}) => role === 'primary');
	const getPosition = instance => instance.log.at(-1)?.position ?? {term: instance.term, number: 0};
	const getApplied = instance => {
		const now = performance.now();
		const applied = instance.log.findLast(({receivedAt}) => receivedAt.get(instance.id) + instance.lagMs <= now);
		return instance.role === 'primary' ? getPosition(instance) : applied?.position ?? {term: FIRST_TERM, number: 0};
	};

	const format = ({term, number}) => `${term}.${number}`;

	/** Lets each replica that is neither paused nor cut off receive what the primary has committed. */
	const replicate = () => {
		const primary = getPrimary();
		if (!primary) {
			return;
		}

		const now = performance.now();
		for (const replica of instances.values()) {
			if (replica === primary || replica.pausedTerm > primary.term) {
				continue;
			}

			replica.term = primary.term;
			while (replica.log.length < primary.log.length) {
				const commit = primary.log[replica.log.length];
				if (commit.committedAt + replica.receiveMs > now) {
					break;
				}

				commit.receivedAt.set(replica.id, now);
				replica.log.push(commit);
			}
		}
	};

	const replication = setInterval(replicate, REPLICATE_MS);

	const commit = async (instance, writes) => {
		const {term} = instance;
		const entry = {
			position: {term, number: getPosition(instance).number + 1}, writes, committedAt: performance.now(), receivedAt: new Map(),
		};
		entry.receivedAt.set(instance.id, entry.committedAt);
		instance.log.push(entry);
		onCommit?.(entry);
		while (entry.receivedAt.size - 1 < syncReplicas) {
			if (instance.role !== 'primary' || instance.term !== term) {
				return undefined;
			}

			await wait(WAIT_MS);
		}

		return entry;
	};

	const occupySlot = async (instance, ms) => {
		while (instance.busy >= slots) {
			await wait(WAIT_MS);
		}

		instance.busy++;
		await wait(ms);
		instance.busy--;
	};

	const promote = async (id, token) => {
		const chosen = instances.get(id);
		if (!chosen || token < highestToken) {
			return 409;
		}

		highestToken = token;
		if (chosen.role === 'primary') {
			return 200;
		}

		await wait(promoteMs);
		const old = getPrimary();
		const term = Math.max(...[...instances.values()].map(instance => instance.term)) + 1;
		const kept = chosen.log;
		promotions.push({
			id, term, at: performance.now(), lost: old.log.slice(kept.length), commits: new Set(kept),
		});
		record({
			event: 'promoted', id, term, replaced: old.id, received: format(getPosition(chosen)), positionOfReplaced: format(getPosition(old)),
		});
		for (const entry of old.log) {
			// What a primary has committed it has applied, also after it was replaced.
			entry.receivedAt.set(old.id, Number.NEGATIVE_INFINITY);
		}

		for (const instance of instances.values()) {
			instance.role = instance === chosen ? 'primary' : 'replica';
			instance.pausedTerm = 0;
			instance.term = term;
			instance.log = instance.log.slice(0, kept.length);
		}

		return 200;
	};

	const createSession = tenant => ({
		tenant, state: 'I', isReadOnly: false, term: 0, writes: [], values: new Map(), prepared: new Map(),
	});

	/** Returns whether a write of a session may run here. */
	const mayWrite = (instance, session) => instance.role === 'primary' && (session.state !== 'T' || session.term === instance.term);

	const fail = (instance, session, code) => {
		session.state = session.state === 'I' ? 'I' : 'E';
		return `ERROR ${code} ${instance.id}\r\n`;
	};

	const succeed = (instance, rows = []) => `${rows.map(row => `ROW ${row}\r\n`).join('')}COMPLETE ${instance.id}.${++signatureCount}\r\n`;

	const runData = async (instance, session, {id, text, word, item, data}) => {
		const isPlain = session.state === 'T' && !session.isReadOnly;
		if ((word === 'WRITE' && session.isReadOnly && session.state === 'T') || ((word === 'WRITE' || isPlain) && !mayWrite(instance, session))) {
			return fail(instance, session, 'READONLY');
		}

		const arrivedAt = performance.now();
		record({
			event: 'arrived', id, text, instance: instance.id, tenant: session.tenant, values: Object.fromEntries(session.values),
		});
		await occupySlot(instance, workMs);
		record({
			event: 'ran', id, instance: instance.id, workedMs: Math.round(performance.now() - arrivedAt),
		});
		if ((word === 'WRITE' || isPlain) && !mayWrite(instance, session)) {
			return fail(instance, session, 'READONLY');
		}

		if (word === 'READ') {
			const applied = getApplied(instance);
			onRead?.(id, new Set(instance.log.filter(({position}) => isAtOrAfter(applied, position))));
			return succeed(instance, instance.log.filter(({position}) => isAtOrAfter(applied, position)).flatMap(({writes}) => writes).filter(write => write.item === item).slice(-1).map(write => write.data));
		}

		if (session.state === 'T') {
			session.writes.push({item, data, id});
			return succeed(instance);
		}

		const entry = await commit(instance, [{item, data, id}]);
		return entry && succeed(instance);
	};

	const runCommit = async (instance, session, id) => {
		const {writes, state} = session;
		const isAllowed = () => state === 'T' && (writes.length === 0 || (instance.role === 'primary' && session.term === instance.term));
		session.state = 'I';
		session.writes = [];
		if (!isAllowed()) {
			return `ERROR READONLY ${instance.id}\r\n`;
		}

		record({
			event: 'arrived', id, text: 'COMMIT', instance: instance.id, tenant: session.tenant, values: Object.fromEntries(session.values),
		});
		await occupySlot(instance, workMs);
		if (!isAllowed()) {
			return `ERROR READONLY ${instance.id}\r\n`;
		}

		const entry = writes.length === 0 || await commit(instance, writes);
		return entry ? succeed(instance) : undefined;
	};

	const runControl = (instance, word, argument) => {
		if (word === 'PAUSE' && instance.role === 'replica') {
			instance.pausedTerm = Number(argument);
		} else if (word === 'RESUME') {
			instance.pausedTerm = 0;
		} else if (word === 'STEPDOWN' && instance.role === 'primary' && instance.term < Number(argument)) {
			instance.role = 'replica';
		}

		const received = format(getPosition(instance));
		return `ROW ${instance.role} ${instance.term} ${received} ${Math.max(instance.term, instance.pausedTerm)} ${instance.lagMs} ${instance.busy} ${instance.sockets.size}\r\nCOMPLETE -\r\n`;
	};

	const changeSession = (session, word, name, argument) => {
		switch (word) {
			case 'SET': {
				session.values.set(name, argument);

				break;
			}

			case 'PREPARE': {
				session.prepared.set(name, argument);

				break;
			}

			case 'DEALLOC': {
				session.prepared.delete(name);

				break;
			}

			default: {
				session.values.clear();
				session.prepared.clear();
			}
		}

		return 'COMPLETE -\r\n';
	};

	const begin = (instance, session, isReadOnly) => {
		if (!isReadOnly && instance.role !== 'primary') {
			return fail(instance, session, 'READONLY');
		}

		Object.assign(session, {
			state: 'T', isReadOnly, term: instance.term, writes: [],
		});
		return 'COMPLETE -\r\n';
	};

	const run = async (instance, session, id, text) => {
		const [word, argument = '', rest = ''] = splitWords(text, 3);
		if (session.state === 'E' && word !== 'ROLLBACK' && word !== 'COMMIT') {
			return `ERROR MALFORMED ${instance.id}\r\n`;
		}

		const refusal = instance.refuses?.(word);
		if (refusal) {
			record({
				event: 'refused', id, text, instance: instance.id, tenant: session.tenant, code: refusal,
			});
			return fail(instance, session, refusal);
		}

		switch (word) {
			case 'AFTER': {
				const [term, number] = argument.split('.').map(Number);
				return isAtOrAfter(getApplied(instance), {term, number}) ? run(instance, session, id, rest) : fail(instance, session, 'LAGGING');
			}

			case 'BEGIN': {
				return begin(instance, session, argument === 'READ');
			}

			case 'COMMIT': {
				return runCommit(instance, session, id);
			}

			case 'ROLLBACK': {
				Object.assign(session, {state: 'I', writes: []});
				return 'COMPLETE -\r\n';
			}

			case 'READ':
			case 'WRITE': {
				return runData(instance, session, {
					id, text, word, item: argument, data: rest,
				});
			}

			case 'EXECUTE': {
				const prepared = session.prepared.get(argument);
				const [item, data = ''] = splitWords(rest, 2);
				return prepared === undefined
					? fail(instance, session, 'NOSTMT')
					: runData(instance, session, {
						id, text, word: prepared.split(' ', 1)[0], item, data,
					});
			}

			case 'SET':
			case 'PREPARE':
			case 'DEALLOC':
			case 'RESET': {
				return changeSession(session, word, argument, rest);
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				return runControl(instance, word, argument);
			}

			default: {
				return fail(instance, session, 'MALFORMED');
			}
		}
	};

	const serve = (instance, socket) => {
		let session;
		let previous = Promise.resolve();
		const serveLine = async line => {
			if (session === undefined) {
				const [word, service, tenant, id = instance.id] = line.split(' ');
				if (word !== 'START' || service !== name || id !== instance.id || instance.sockets.size > maxConnections) {
					socket.end(`ERROR ${instance.sockets.size > maxConnections ? 'TOOMANY' : 'MISROUTED'} ${instance.id}\r\n`);
					return;
				}

				await occupySlot(instance, handshakeMs);
				session = createSession(tenant);
				socket.write(`READY I ${format(getPosition(instance))}\r\n`);
				return;
			}

			const [word, id, text = ''] = splitWords(line, 3);
			const answer = word === 'QUERY' ? await run(instance, session, id, text) : undefined;
			if (answer === undefined) {
				socket.destroy();
			} else if (!socket.destroyed) {
				socket.write(`${answer}READY ${session.state} ${format(getApplied(instance))}\r\n`);
			}
		};

		readLines(socket, line => {
			previous = previous.then(async () => serveLine(line));
		});
	};

	for (const member of members) {
		const instance = {
			...member, role: member === members[0] ? 'primary' : 'replica', term: FIRST_TERM, log: [], pausedTerm: 0, busy: 0, sockets: new Set(), refuses: undefined,
		};
		const server = createServer({noDelay: true}, socket => {
			instance.sockets.add(socket);
			socket.once('close', () => {
				instance.sockets.delete(socket);
			});
			socket.on('error', () => {
				socket.destroy();
			});
			serve(instance, socket);
		});
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		instance.server = server;
		instance.address = `127.0.0.1:${server.address().port}`;
		instances.set(instance.id, instance);
	}

	return {
		name,
		instances,
		promotions,
		getPrimary,
		promote,
		close() {
			clearInterval(replication);
			for (const {server, sockets} of instances.values()) {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		},
	};
};
