/** Emulated targets: slots, times with tails, dials that take a slot, logs and lag. */

import {
	Err, getRemainingMs, Ok, parseId, type DatabaseId, type DataCentreId, type Deadline, type Result, type TargetId, type World,
} from '@guavapitch/core';
import type {
	Command, DialFailure, Execution, Reply, Target, TargetConnection, TargetErrorCode,
} from '@guavapitch/homes';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import type {Load, LoadEvent, TargetSpec} from './loads.js';

/** The emulated database. */
export const EMULATED_DATABASE = parseId<DatabaseId>('emulated');

/** Targets of one load. */
export type EmulatedTargets = Readonly<{
	/** Describes them as the registry would. */
	describeTargets: () => readonly Target[];
	dial: (target: Target, customer: string, deadline: Deadline) => Promise<Result<TargetConnection, DialFailure>>;
	/** Makes another target lead the next term. */
	promote: (id: string) => void;
	getLeader: () => string;
	getDialCount: () => number;
}>;

type Emulated = {readonly load: TargetSpec; busy: number; readonly waiting: Array<() => void>};

/** Spread of the times of statements: standard deviation of their logarithm. */
const TIME_SPREAD = 0.35;

/** Draws a time around a mean, with a long tail. */
export const drawTimeMs = (meanMs: number, random: () => number): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return meanMs * Math.exp((TIME_SPREAD * normal) - ((TIME_SPREAD ** 2) / 2));
};

/** Reads the class and the access out of an emulated statement: `READ swaps`. */
const readStatement = (text: string): Readonly<{isWrite: boolean; className: string}> => {
	const [word = '', className = ''] = text.split(' ');
	return {isWrite: word === 'WRITE', className};
};

/** Creates the targets of a load. */
export const createEmulatedTargets = (load: Load, world: World): EmulatedTargets => {
	const targets = new Map(load.targets.map(one => [one.id, {load: one, busy: 0, waiting: []}]));
	let leader = load.targets[0]?.id ?? '';
	let term = 1;
	/** When each number of the log was written, in the present term. */
	let writtenAt: number[] = [];
	let base = 0;
	let dials = 0;

	const isDuring = ({atMs, untilMs}: LoadEvent) => world.now() >= atMs && world.now() < untilMs;
	const getEvent = (kind: 'slow' | 'dark' | 'failover', id: string) => load.events.find(event => event.kind === kind && event.target === id && isDuring(event));
	const isDark = (id: string) => getEvent('dark', id) !== undefined || getEvent('failover', id) !== undefined;

	const getPosition = (id: string): LogPosition => {
		const lagMs = id === leader ? 0 : targets.get(id)?.load.lagMs ?? 0;
		const seen = writtenAt.findLastIndex(at => at <= world.now() - lagMs) + 1;
		return {term, number: base + seen};
	};

	const holdSlot = async (target: Emulated, ms: number) => {
		while (target.busy >= target.load.slots) {
			await new Promise<void>(resolve => {
				target.waiting.push(resolve);
			});
		}

		target.busy++;
		await world.sleep(ms);
		target.busy--;
		target.waiting.shift()?.();
	};

	const work = async (target: Emulated, className: string) => {
		const meanMs = load.classes.find(({name}) => name === className)?.meanStatementMs ?? 1;
		const slow = getEvent('slow', target.load.id);
		await holdSlot(target, drawTimeMs(meanMs, world.random) * (slow?.kind === 'slow' ? slow.factor : 1));
	};

	const connect = (target: Emulated): TargetConnection => {
		const {id} = target.load;
		let ended = false;
		let inTransaction = false;
		let isReadOnly = false;
		let begunIn = 0;

		const reply = (result: Reply['result']): Reply => ({result, status: inTransaction ? 'open' : 'idle', position: getPosition(id)});
		const finish = () => reply({kind: 'done', rows: [], signature: `${id}.1`});
		const fail = (code: TargetErrorCode) => reply({kind: 'error', code, text: code});
		const lacks = (after: LogPosition | undefined) => after !== undefined && comparePositions(getPosition(id), after) < 0;

		const runStatement = async ({statement, after}: Extract<Command, {kind: 'statement'}>): Promise<Reply> => {
			const {isWrite, className} = readStatement(statement.kind === 'text' ? statement.text : '');
			const needsLead = isWrite || (inTransaction && !isReadOnly);
			if (lacks(after)) {
				return fail('lagging');
			}

			if (needsLead && (id !== leader || (inTransaction && begunIn !== term))) {
				return fail('readOnly');
			}

			await work(target, className);
			if (isWrite || statement.kind === 'commit') {
				writtenAt.push(world.now());
			}

			inTransaction &&= statement.kind !== 'commit';
			return finish();
		};

		const run = async (command: Command): Promise<Reply> => {
			if (command.kind === 'statement') {
				return runStatement(command);
			}

			if (command.kind === 'begin') {
				if (lacks(command.after) || (!command.readOnly && id !== leader)) {
					return fail(lacks(command.after) ? 'lagging' : 'readOnly');
				}

				inTransaction = true;
				isReadOnly = command.readOnly;
				begunIn = term;
			} else if (command.kind === 'rollback') {
				inTransaction = false;
			}

			return finish();
		};

		return {
			async execute(commands, deadline): Promise<Execution> {
				const replies: Reply[] = [];
				for (const command of commands) {
					if (ended) {
						return {replies, ended: 'lost'};
					}

					if (isDark(id)) {
						await world.sleep(Math.max(0, getRemainingMs(deadline, world.now())));
						ended = true;
						return {replies, ended: 'timeout'};
					}

					replies.push(await run(command));
				}

				return {replies, ended: 'no'};
			},
			isEnded: () => ended,
			close() {
				ended = true;
			},
		};
	};

	return {
		describeTargets: () => load.targets.map(({id, dataCentre, slots}) => ({
			id: parseId<TargetId>(id),
			database: EMULATED_DATABASE,
			host: id,
			port: 1,
			dataCentre: parseId<DataCentreId>(dataCentre),
			slots,
			isDraining: false,
			role: id === leader ? 'primary' : 'replica',
			startedAtMs: 1,
		})),
		async dial({id}, _customer, deadline) {
			const target = targets.get(id);
			if (!target || isDark(id)) {
				await world.sleep(Math.max(0, getRemainingMs(deadline, world.now())));
				return Err({code: 'silent', message: 'the target is silent'});
			}

			dials++;
			await holdSlot(target, load.dialMs);
			return Ok(connect(target));
		},
		promote(id) {
			base = getPosition(id).number;
			writtenAt = [];
			leader = id;
			term++;
		},
		getLeader: () => leader,
		getDialCount: () => dials,
	};
};
