/** Asynchronous replication between targets of the database stand-in. */

import {Buffer} from 'node:buffer';
import {createConnection} from 'node:net';
import type {World} from '@guavapitch/core';
import {
	createMessage, createStartupPacket, getBody, openWireConnection, type WireConnection,
} from '@guavapitch/postgres-wire';
import type {LogRecord, TimelineStart} from './engine.js';
import type {Target, ReplicaState} from './target.js';

type Hello = Readonly<{position: number; timeline: number}>;
type Batch = Readonly<{history: readonly TimelineStart[]; records: readonly LogRecord[]; diverged: boolean}>;
type Feedback = Readonly<{replayed: number}>;

/** Name under which a replica cuts itself off from its primary. */
const UPSTREAM_PEER = 'upstream';
const RETRY_MS = 100;
const MAXIMUM_RECORDS = 500;

const encodeJson = (value: unknown): Buffer => createMessage('d', Buffer.from(JSON.stringify(value))).bytes;

const hasDiverged = (hello: Hello, history: readonly TimelineStart[]): boolean => history.some(({timeline, position}) => timeline > hello.timeline && hello.position > position);

/** Serves a replica that has connected to this target. */
export const serveReplica = async (target: Target, wire: WireConnection, name: string): Promise<void> => {
	const {engine} = target;
	const state: ReplicaState = {name, replayedPosition: 0};
	const gone = new AbortController();
	const first = await wire.readMessages();
	if (first.err || !first.val[0]) {
		return;
	}

	const hello = JSON.parse(getBody(first.val[0]).toString()) as Hello;
	if (hasDiverged(hello, engine.getTimelineHistory())) {
		await wire.write(encodeJson({history: engine.getTimelineHistory(), records: [], diverged: true} satisfies Batch));
		return;
	}

	state.replayedPosition = hello.position;
	target.replicas.add(state);
	const readFeedback = async () => {
		while (true) {
			const messages = await wire.readMessages();
			if (messages.err) {
				gone.abort();
				return;
			}

			await target.waitWhilePartitioned(name);
			for (const message of messages.val) {
				state.replayedPosition = (JSON.parse(getBody(message).toString()) as Feedback).replayed;
			}
		}
	};

	const reading = readFeedback();
	let sent = hello.position;
	let sentHistory = 0;
	while (!gone.signal.aborted) {
		const records = engine.getRecordsAfter(sent).slice(0, MAXIMUM_RECORDS);
		const history = engine.getTimelineHistory();
		if (records.length > 0 || history.length !== sentHistory) {
			await target.waitWhilePartitioned(name);
			await wire.write(encodeJson({history, records, diverged: false} satisfies Batch));
			sent = records.at(-1)?.position ?? sent;
			sentHistory = history.length;
		} else {
			await engine.waitForRecords(gone.signal);
		}
	}

	target.replicas.delete(state);
	await reading;
};

const parseConninfo = (conninfo: string): Readonly<{host: string; port: number}> => {
	const fields = new Map(conninfo.split(/\s+/v).map(part => part.split('=') as [string, string]));
	return {host: fields.get('host') ?? '127.0.0.1', port: Number(fields.get('port'))};
};

const followOnce = async (target: Target, conninfo: string, world: World): Promise<void> => {
	const {engine, settings} = target;
	const socket = createConnection(parseConninfo(conninfo));
	await using wire = openWireConnection(socket);
	let following = true;
	const watchUpstream = async () => {
		while (following && target.getUpstream() === conninfo) {
			await target.waitForUpstreamChange();
		}

		socket.destroy();
	};

	void watchUpstream();
	await wire.write(createStartupPacket({user: 'replication', replication: 'true', application_name: settings.name}));
	await wire.write(encodeJson({position: engine.getPosition(), timeline: engine.getTimeline()} satisfies Hello));
	while (engine.isReplica() && target.getUpstream() === conninfo) {
		const messages = await wire.readMessages();
		if (messages.err) {
			break;
		}

		await target.waitWhilePartitioned(UPSTREAM_PEER);
		await world.sleep(target.getLagMs());
		for (const message of messages.val) {
			const batch = JSON.parse(getBody(message).toString()) as Batch;
			if (batch.diverged) {
				await world.sleep(RETRY_MS);
				return;
			}

			for (const record of batch.records) {
				engine.replay(record);
			}

			engine.setTimelineHistory(batch.history);
		}

		await wire.write(encodeJson({replayed: engine.getPosition()} satisfies Feedback));
	}

	following = false;
};

/** Follows whatever upstream the target is set to, while it is a replica. */
export const followUpstream = async (target: Target, world: World, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		const conninfo = target.getUpstream();
		if (conninfo && target.engine.isReplica()) {
			await followOnce(target, conninfo, world);
		}

		await world.sleep(RETRY_MS, signal);
	}
};
