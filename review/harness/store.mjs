/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it: items, leases, transactions and watches over HTTP. */
/* eslint camelcase: off, no-await-in-loop: off, no-unmodified-loop-condition: off, unicorn/no-process-exit: off, unicorn/no-await-expression-member: off, @stylistic/max-len: off -- the cases are scripts written straight down, and the names of the wire are the platform's */

import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Most items and bytes of one page of a range. */
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
/** Time for which changes are kept, in milliseconds. */
const HISTORY_MS = 20_000;
const MIN_TTL_MS = 1000;
const ANSWER_MS = 4;
const SWEEP_MS = 50;

const readBody = async incoming => {
	const chunks = [];
	for await (const chunk of incoming) {
		chunks.push(chunk);
	}

	return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/** Starts an empty store. */
export const startStore = async () => {
	const items = new Map();
	const leases = new Map();
	const watchers = new Set();
	let history = [];
	let historyStart = 1;
	let revision = 1;
	let lastLease = 70_000;
	let isDown = false;

	const notify = () => {
		for (const wake of watchers) {
			wake();
		}
	};

	const write = (puts, removed) => {
		revision++;
		const at = performance.now();
		for (const {key, value, lease} of puts) {
			const item = {
				key, value, revision, created_at: items.get(key)?.created_at ?? revision, lease: lease ?? 0,
			};
			items.set(key, item);
			history.push({at, revision, event: item});
		}

		for (const key of removed) {
			if (items.delete(key)) {
				history.push({at, revision, event: {key, revision, deleted: true}});
			}
		}

		notify();
		return revision;
	};

	const endLease = id => {
		leases.delete(id);
		const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
		if (keys.length > 0) {
			write([], keys);
		}
	};

	const sweep = setInterval(() => {
		const now = performance.now();
		for (const [id, {endsAt}] of leases) {
			if (now >= endsAt) {
				endLease(id);
			}
		}

		const firstKept = history.findIndex(({at}) => at >= now - HISTORY_MS);
		const dropped = firstKept === -1 ? history : history.slice(0, firstKept);
		if (dropped.length > 0) {
			historyStart = dropped.at(-1).revision;
			history = history.slice(dropped.length);
		}
	}, SWEEP_MS);

	const readRange = query => {
		const prefix = query.get('path_prefix') ?? '';
		const after = query.get('after') ?? '';
		const matching = [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((a, b) => a.key < b.key ? -1 : 1);
		const page = [];
		let bytes = 0;
		for (const item of matching) {
			if (page.length > 0 && (page.length >= MAX_PAGE_ITEMS || bytes + item.value.length > MAX_PAGE_BYTES)) {
				break;
			}

			page.push(item);
			bytes += item.value.length;
		}

		return {status: 200, body: {items: page, truncated: page.length < matching.length, current_rev: revision}};
	};

	const watch = async query => {
		const prefix = query.get('path_prefix') ?? '';
		const after = Number(query.get('after'));
		const endsAt = performance.now() + Number(query.get('wait_ms'));
		while (true) {
			if (isDown) {
				return {status: 503};
			}

			if (after < historyStart) {
				return {status: 410};
			}

			const events = history.filter(entry => entry.revision > after && entry.event.key.startsWith(prefix)).map(({event}) => event);
			const leftMs = endsAt - performance.now();
			if (events.length > 0 || leftMs <= 0) {
				return {status: 200, body: {events, current_rev: revision}};
			}

			await new Promise(resolve => {
				const finish = () => {
					watchers.delete(finish);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(finish, leftMs);
				watchers.add(finish);
			});
		}
	};

	const transact = ({precondition = [], puts = [], remove = []}) => {
		if (precondition.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
			return {status: 412, body: {items: precondition.flatMap(({key}) => items.get(key) ?? [])}};
		}

		if (puts.some(({key}) => key.startsWith('op/') || key.startsWith('servers/'))) {
			return {status: 403};
		}

		return puts.some(({lease}) => lease && !leases.has(lease)) ? {status: 404} : {status: 200, body: {revision: write(puts, remove)}};
	};

	const execute = async (method, url, body) => {
		const [operation, id] = url.pathname.split('/').slice(2);
		switch (`${method} ${operation}`) {
			case 'GET kv-key': {
				const item = items.get(url.searchParams.get('key'));
				return item ? {status: 200, body: {...item, current_rev: revision}} : {status: 404};
			}

			case 'GET kv-range': {
				return readRange(url.searchParams);
			}

			case 'GET kv-watch': {
				return watch(url.searchParams);
			}

			case 'POST kv-txn': {
				return transact(body);
			}

			case 'POST kv-lease': {
				const ttlMs = Math.max(body.ttl_ms, MIN_TTL_MS);
				leases.set(++lastLease, {ttlMs, endsAt: performance.now() + ttlMs});
				return {status: 200, body: {lease: lastLease, ttl_ms: ttlMs}};
			}

			case 'POST kv-keep': {
				const lease = leases.get(Number(id));
				if (!lease) {
					return {status: 404};
				}

				lease.endsAt = performance.now() + lease.ttlMs;
				return {status: 200, body: {ttl_ms: lease.ttlMs}};
			}

			case 'DELETE kv-lease-end': {
				endLease(Number(id));
				return {status: 200, body: {}};
			}

			default: {
				return {status: 400};
			}
		}
	};

	const server = createServer(async (incoming, response) => {
		const body = await readBody(incoming);
		const result = isDown ? {status: 503} : await execute(incoming.method, new URL(incoming.url, 'http://store'), body);
		setTimeout(() => {
			response.statusCode = result.status;
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify(result.body ?? {}));
		}, ANSWER_MS);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes a value as the operator and the instances do. */
		put: (key, value) => write([{key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0}], []),
		remove(key) {
			write([], [key]);
		},
		/** Lets the store refuse every call with 503, or serve again; leases run out meanwhile. */
		setDown(isNowDown) {
			isDown = isNowDown;
			if (isDown) {
				notify();
			}
		},
		get(key) {
			const item = items.get(key);
			return item && Buffer.from(item.value, 'base64').toString('utf8');
		},
		close() {
			clearInterval(sweep);
			server.close();
			server.closeAllConnections();
		},
	};
};
