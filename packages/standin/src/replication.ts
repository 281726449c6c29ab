/** Asynchronous replication between targets of the database stand-in. */

import {Buffer} from 'node:buffer';
import {createConnection} from 'node:net';
import type {Runtime} from '@guavapitch/core';
import {
	createMessage, createStartupPacket, getBody, openWireConnection, type WireConnection,
} from '@guavapitch/postgres-wire';
import type {LogRecord, TimelineStart} from './engine.js';
import type {Target, ReplicaState} from './target.js';

/** First message of a replica: its log position and timeline. */
type Hello = Readonly<{position: number; timeline: number}>;
/** Message of the primary; `diverged` means that the log of the replica has records that the primary does not have. */
type Batch = Readonly<{history: readonly TimelineStart[]; records: readonly LogRecord[]; diverged: boolean}>;
/** Message of a replica: the log position that it has replayed. */
type Feedback = Readonly<{replayed: number}>;

/** Peer name with which a fault partitions a replica from its primary. */
const UPSTREAM_PEER = 'upstream';
const RETRY_DELAY_MS = 100;
/** Maximum number of log records in one message to a replica. */
const MAX_BATCH_RECORDS = 500;

const encodeJson = (value: unknown): Buffer => createMessage('d', Buffer.from(JSON.stringify(value))).bytes;

/** Returns whether a replica has records beyond the start of a timeline that it does not know. */
const isDiverged = (hello: Hello, history: readonly TimelineStart[]): boolean => history.some(({timeline, position}) => timeline > hello.timeline && hello.position > position);

/** Sends the log to a connected replica and records the position that it has replayed, until it disconnects; a replica with a diverged log is rejected. */
export const serveReplica = async (target: Target, wire: WireConnection, name: string): Promise<void> => {
	const {engine} = target;
	const replicaState: ReplicaState = {name, replayedPosition: 0};
	const disconnected = new AbortController();
	const firstMessages = await wire.readMessages();
	if (firstMessages.err || !firstMessages.val[0]) {
		return;
	}

	const hello = JSON.parse(getBody(firstMessages.val[0]).toString()) as Hello;
	if (isDiverged(hello, engine.getTimelineHistory())) {
		await wire.write(encodeJson({history: engine.getTimelineHistory(), records: [], diverged: true} satisfies Batch));
		return;
	}

	replicaState.replayedPosition = hello.position;
	target.replicas.add(replicaState);
	const readFeedback = async () => {
		while (true) {
			const messages = await wire.readMessages();
			if (messages.err) {
				disconnected.abort();
				return;
			}

			await target.waitWhilePartitioned(name);
			for (const message of messages.val) {
				replicaState.replayedPosition = (JSON.parse(getBody(message).toString()) as Feedback).replayed;
			}
		}
	};

	const feedbackTask = readFeedback();
	let sentPosition = hello.position;
	let sentHistoryLength = 0;
	while (!disconnected.signal.aborted) {
		const records = engine.getRecordsAfter(sentPosition).slice(0, MAX_BATCH_RECORDS);
		const history = engine.getTimelineHistory();
		if (records.length > 0 || history.length !== sentHistoryLength) {
			await target.waitWhilePartitioned(name);
			await wire.write(encodeJson({history, records, diverged: false} satisfies Batch));
			sentPosition = records.at(-1)?.position ?? sentPosition;
			sentHistoryLength = history.length;
		} else {
			await engine.waitForRecords(disconnected.signal);
		}
	}

	target.replicas.delete(replicaState);
	await feedbackTask;
};

const parseConninfo = (conninfo: string): Readonly<{host: string; port: number}> => {
	const fields = new Map(conninfo.split(/\s+/v).map(part => part.split('=') as [string, string]));
	return {host: fields.get('host') ?? '127.0.0.1', port: Number(fields.get('port'))};
};

/** Replicates from a primary until the connection ends, the upstream changes, the target is promoted or its log has diverged. */
const followOnce = async (target: Target, conninfo: string, runtime: Runtime): Promise<void> => {
	const {engine, settings} = target;
	const socket = createConnection(parseConninfo(conninfo));
	await using wire = openWireConnection(socket);
	let isFollowing = true;
	const watchUpstream = async () => {
		while (isFollowing && target.getUpstream() === conninfo) {
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
		await runtime.sleep(target.getLagMs());
		for (const message of messages.val) {
			const batch = JSON.parse(getBody(message).toString()) as Batch;
			if (batch.diverged) {
				await runtime.sleep(RETRY_DELAY_MS);
				return;
			}

			for (const record of batch.records) {
				engine.replay(record);
			}

			engine.setTimelineHistory(batch.history);
		}

		await wire.write(encodeJson({replayed: engine.getPosition()} satisfies Feedback));
	}

	isFollowing = false;
};

/** Replicates from the configured upstream of the target while the target is a replica; reconnects after failures. */
export const followUpstream = async (target: Target, runtime: Runtime, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		const conninfo = target.getUpstream();
		if (conninfo && target.engine.isReplica()) {
			await followOnce(target, conninfo, runtime);
		}

		await runtime.sleep(RETRY_DELAY_MS, signal);
	}
};
