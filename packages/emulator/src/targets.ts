/** Emulated targets with limited slots, long-tailed statement times, connections that occupy a slot while they are opened, and replication lag. */

import {
	Err, getRemainingMs, NEVER, Ok, brandId, type DatabaseId, type DataCentreId, type Deadline, type Result, type TargetId, type Runtime,
} from '@guavapitch/core';
import type {
	Command, DialFailure, Execution, Reply, Target, TargetConnection, TargetErrorCode,
} from '@guavapitch/database-owners';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import type {Load, LoadEvent, TargetSpec} from './loads.js';

/** Identifier of the emulated database. */
export const EMULATED_DATABASE = brandId<DatabaseId>('emulated');

/** A statement that a target received, with the identifier of its request and its time in milliseconds. */
export type SentStatement = Readonly<{requestId: string; target: string; atMs: number}>;

/** Emulated targets of one load. */
export type EmulatedTargets = Readonly<{
	/** Returns the targets in the form that the database owner gets in production. */
	describeTargets: () => readonly Target[];
	/** Opens a connection; fails at the deadline if the target is unresponsive. */
	dial: (target: Target, customer: string, deadline: Deadline) => Promise<Result<TargetConnection, DialFailure>>;
	/** Makes a target the leader of the next term. */
	promote: (id: string) => void;
	/** Returns the identifier of the leader. */
	getLeader: () => string;
	/** Returns the number of connections opened so far. */
	getDialCount: () => number;
	/** Returns the statements that the targets have received, in order. */
	listSentStatements: () => readonly SentStatement[];
}>;

/** Target with its occupied slots and the callbacks of the statements that wait for one. */
type EmulatedTarget = {readonly spec: TargetSpec; busySlots: number; readonly waiters: Array<() => void>};

/** Standard deviation of the logarithm of the statement times. */
const LOG_TIME_DEVIATION = 0.35;

/** Draws a time from a log-normal distribution with the given mean, in milliseconds. */
export const drawTimeMs = (meanMs: number, random: () => number): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return meanMs * Math.exp((LOG_TIME_DEVIATION * normal) - ((LOG_TIME_DEVIATION ** 2) / 2));
};

/** Reads the access mode and the operation class from an emulated statement such as `READ swaps`. */
const parseStatement = (text: string): Readonly<{isWrite: boolean; className: string}> => {
	const [accessWord = '', className = ''] = text.split(' ');
	return {isWrite: accessWord === 'WRITE', className};
};

/** Creates the emulated targets of a load. */
export const createEmulatedTargets = (load: Load, runtime: Runtime): EmulatedTargets => {
	const targets = new Map(load.targets.map(spec => [spec.id, {spec, busySlots: 0, waiters: []}]));
	let leader = load.targets[0]?.id ?? '';
	let term = 1;
	/** Commit times of the records of the current term; their numbers follow `startNumber`. */
	let commitTimes: number[] = [];
	let startNumber = 0;
	let dialCount = 0;
	const sentStatements: SentStatement[] = [];

	const isActive = ({atMs, untilMs}: LoadEvent) => runtime.now() >= atMs && runtime.now() < untilMs;
	const findActiveEvent = <Kind extends 'slow' | 'dark' | 'failover' | 'stopped' | 'failing'>(kind: Kind, id: string) => load.events
		.find((event): event is Extract<LoadEvent, {kind: Kind}> => event.kind === kind && event.target === id && isActive(event));
	const isUnresponsive = (id: string) => findActiveEvent('dark', id) !== undefined || findActiveEvent('failover', id) !== undefined;
	/** Returns when the current run of a target was started; each stop ends a run. */
	const getStartedAtMs = (id: string): number => Math.max(1, ...load.events
		.filter(event => event.kind === 'stopped' && event.target === id && runtime.now() >= event.atMs)
		.map(({untilMs}) => untilMs));

	const getPosition = (id: string): LogPosition => {
		const lagMs = id === leader ? 0 : targets.get(id)?.spec.lagMs ?? 0;
		const replayedCount = commitTimes.findLastIndex(committedAt => committedAt <= runtime.now() - lagMs) + 1;
		return {term, number: startNumber + replayedCount};
	};

	const occupySlot = async (target: EmulatedTarget, durationMs: number) => {
		while (target.busySlots >= target.spec.slots) {
			await new Promise<void>(resolve => {
				target.waiters.push(resolve);
			});
		}

		target.busySlots++;
		await runtime.sleep(durationMs);
		target.busySlots--;
		target.waiters.shift()?.();
	};

	const executeInSlot = async (target: EmulatedTarget, className: string) => {
		const meanMs = load.classes.find(({name}) => name === className)?.meanStatementMs ?? 1;
		const slowdown = findActiveEvent('slow', target.spec.id);
		await occupySlot(target, drawTimeMs(meanMs, runtime.random) * (slowdown?.factor ?? 1));
	};

	const createConnection = (target: EmulatedTarget): TargetConnection => {
		const {id} = target.spec;
		const startedAtMs = getStartedAtMs(id);
		let isConnectionEnded = false;
		let isInTransaction = false;
		let isReadOnly = false;
		let beginTerm = 0;

		/** Tells whether the connection has ended, with the run of its target or before. */
		const isEnded = () => isConnectionEnded || getStartedAtMs(id) !== startedAtMs;

		const createReply = (result: Reply['result']): Reply => ({result, status: isInTransaction ? 'open' : 'idle', position: getPosition(id)});
		const createDoneReply = () => createReply({kind: 'done', rows: [], signature: `${id}.1`});
		const createErrorReply = (code: TargetErrorCode) => createReply({kind: 'error', code, text: code});
		const isBehind = (after: LogPosition | undefined) => after !== undefined && comparePositions(getPosition(id), after) < 0;

		const runStatement = async ({id: requestId, statement, after}: Extract<Command, {kind: 'statement'}>): Promise<Reply> => {
			sentStatements.push({requestId, target: id, atMs: runtime.now()});
			const {isWrite, className} = parseStatement(statement.kind === 'text' ? statement.text : '');
			const requiresLeader = isWrite || (isInTransaction && !isReadOnly);
			if (isBehind(after)) {
				return createErrorReply('lagging');
			}

			if (requiresLeader && (id !== leader || (isInTransaction && beginTerm !== term))) {
				return createErrorReply('readOnly');
			}

			await executeInSlot(target, className);
			const failure = findActiveEvent('failing', id);
			isConnectionEnded ||= failure !== undefined && runtime.random() < failure.fraction;
			if (isWrite || statement.kind === 'commit') {
				commitTimes.push(runtime.now());
			}

			isInTransaction &&= statement.kind !== 'commit';
			return createDoneReply();
		};

		const run = async (command: Command): Promise<Reply> => {
			if (command.kind === 'statement') {
				return runStatement(command);
			}

			if (command.kind === 'begin') {
				if (isBehind(command.after) || (!command.readOnly && id !== leader)) {
					return createErrorReply(isBehind(command.after) ? 'lagging' : 'readOnly');
				}

				isInTransaction = true;
				isReadOnly = command.readOnly;
				beginTerm = term;
			} else if (command.kind === 'rollback') {
				isInTransaction = false;
			}

			return createDoneReply();
		};

		return {
			async execute(commands, deadline): Promise<Execution> {
				const replies: Reply[] = [];
				for (const command of commands) {
					if (isEnded()) {
						return {replies, ended: 'lost'};
					}

					if (isUnresponsive(id)) {
						await runtime.sleep(Math.max(0, getRemainingMs(deadline, runtime.now())));
						isConnectionEnded = true;
						return {replies, ended: 'timeout'};
					}

					const reply = await run(command);
					if (isEnded()) {
						return {replies, ended: 'lost'};
					}

					replies.push(reply);
				}

				return {replies, ended: 'no'};
			},
			isEnded,
			close() {
				isConnectionEnded = true;
			},
		};
	};

	return {
		describeTargets: () => load.targets.map(({id, dataCentre, slots}) => ({
			id: brandId<TargetId>(id),
			database: EMULATED_DATABASE,
			host: id,
			port: 1,
			dataCentre: brandId<DataCentreId>(dataCentre),
			slots,
			isDraining: false,
			acceptsUntil: NEVER,
			role: id === leader ? 'primary' : 'replica',
			startedAtMs: getStartedAtMs(id),
		})),
		async dial({id}, _customer, deadline) {
			const target = targets.get(id);
			if (!target || isUnresponsive(id)) {
				await runtime.sleep(Math.max(0, getRemainingMs(deadline, runtime.now())));
				return Err({code: 'silent', message: 'the target did not respond before the deadline'});
			}

			if (findActiveEvent('stopped', id)) {
				return Err({code: 'refused', message: 'the target is stopped'});
			}

			dialCount++;
			await occupySlot(target, load.dialMs * (findActiveEvent('slow', id)?.dialFactor ?? 1));
			return Ok(createConnection(target));
		},
		promote(id) {
			startNumber = getPosition(id).number;
			commitTimes = [];
			leader = id;
			term++;
		},
		getLeader: () => leader,
		getDialCount: () => dialCount,
		listSentStatements: () => sentStatements,
	};
};
