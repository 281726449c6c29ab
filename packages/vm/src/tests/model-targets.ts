/** Targets of one database for models of a fleet on a virtual clock: a replaced primary goes on leading until it is told to step down, or has been able to reach its successor for a second. */

import {
	Err, getRemainingMs, NEVER, PAST, Ok, brandId, type DatabaseId, type DataCentreId, type Result, type Runtime, type TargetId,
} from '@guavapitch/core';
import type {
	Command, DialFailure, DialTarget, Reply, Target, TargetConnection, TargetErrorCode, TargetStatus,
} from '@guavapitch/database-owners';

/** Database of the model. */
export const MODEL_DATABASE = brandId<DatabaseId>('ledger');

/** A target; `log` holds the identifiers of its commits. */
export type ModelTarget = {
	readonly description: Target;
	role: 'primary' | 'replica';
	term: number;
	log: readonly string[];
	/** Whether it cannot reach the other targets. */
	isIsolated: boolean;
	isDown: boolean;
	/** Vms that cannot reach it. */
	readonly cutFrom: Set<string>;
};

/** The targets of a model. */
export type ModelTargets = Readonly<{
	targets: readonly ModelTarget[];
	/** Returns the dial function of a vm. */
	createDial: (vm: string) => DialTarget;
	readStatus: (reply: Reply) => TargetStatus | undefined;
	/** Makes a target the primary of the next term; `false` if it is down. */
	promote: (id: TargetId) => boolean;
	/** Returns the primary of the highest term. */
	getPrimary: () => ModelTarget;
	/** Statements that the targets ran, by identifier: where, and whether that target was the primary of the highest term then. */
	executed: ReadonlyMap<string, Readonly<{target: string; wasPrimary: boolean; log: readonly string[]}>>;
	/** Commits that a promotion removed from the log. */
	discarded: ReadonlySet<string>;
}>;

const STATEMENT_MS = 3;
const LINK_MS = 1;
const REPLICATION_MS = 5;
const SELF_STEP_DOWN_MS = 1000;

/** Creates a primary and two replicas. */
export const createModelTargets = (runtime: Runtime): ModelTargets => {
	const executed = new Map<string, Readonly<{target: string; wasPrimary: boolean; log: readonly string[]}>>();
	const discarded = new Set<string>();
	const targets = ['a', 'b', 'c'].map((name, index): ModelTarget => ({
		description: {
			id: brandId<TargetId>(name),
			database: MODEL_DATABASE,
			host: name,
			port: 1,
			dataCentre: brandId<DataCentreId>('here'),
			slots: 3,
			isDraining: false,
			acceptsUntil: NEVER, isEvacuated: false, region: undefined, coldUntil: PAST,
			role: index === 0 ? 'primary' : 'replica',
			startedAtMs: 1,
		},
		role: index === 0 ? 'primary' : 'replica',
		term: 1,
		log: [],
		isIsolated: false,
		isDown: false,
		cutFrom: new Set(),
	}));

	const getPrimary = (): ModelTarget => {
		const [primary] = targets.filter(({role}) => role === 'primary').toSorted((a, b) => b.term - a.term);
		if (!primary) {
			throw new Error('No target is primary');
		}

		return primary;
	};

	const follow = (target: ModelTarget, primary: ModelTarget) => {
		target.role = 'replica';
		target.term = primary.term;
		target.log = primary.log;
	};

	const replicate = async (): Promise<void> => {
		await runtime.sleep(REPLICATION_MS);
		const primary = getPrimary();
		for (const target of targets) {
			if (target !== primary && target.role === 'replica' && !target.isDown && !target.isIsolated && !primary.isIsolated && !primary.isDown) {
				follow(target, primary);
			}
		}
	};

	/** Lets a replaced primary step down once it has been able to reach its successor for a while. */
	const stepDownLater = async (target: ModelTarget): Promise<void> => {
		let reachableMs = 0;
		while (target.role === 'primary' && getPrimary() !== target) {
			reachableMs = target.isIsolated || target.isDown ? 0 : reachableMs + REPLICATION_MS;
			if (reachableMs >= SELF_STEP_DOWN_MS) {
				follow(target, getPrimary());
			}

			await runtime.sleep(REPLICATION_MS);
		}
	};

	const isReachable = (target: ModelTarget, vm: string) => !target.isDown && !target.cutFrom.has(vm);

	const createConnection = (target: ModelTarget, vm: string): TargetConnection => {
		let isInTransaction = false;
		let hasEnded = false;
		const getPosition = () => ({term: target.term, number: target.log.length});
		const createReply = (result: Reply['result']): Reply => ({result, status: isInTransaction ? 'open' : 'idle', position: getPosition()});
		const createDone = (): Reply => createReply({kind: 'done', rows: [], signature: target.description.id});
		const createError = (code: TargetErrorCode): Reply => createReply({kind: 'error', code, text: code});

		const run = async (command: Command): Promise<Reply> => {
			switch (command.kind) {
				case 'begin': {
					if (target.role !== 'primary') {
						return createError('readOnly');
					}

					isInTransaction = true;
					return createDone();
				}

				case 'rollback': {
					isInTransaction = false;
					return createDone();
				}

				case 'stepDown': {
					if (target.role === 'primary' && target.term < command.term) {
						follow(target, getPrimary());
					}

					return createDone();
				}

				case 'statement': {
					await runtime.sleep(STATEMENT_MS);
					const isWrite = command.statement.kind === 'text' && command.statement.access === 'write';
					if (isWrite && target.role !== 'primary') {
						return createError('readOnly');
					}

					target.log = isWrite ? [...target.log, command.id] : target.log;
					executed.set(command.id, {target: target.description.id, wasPrimary: getPrimary() === target, log: target.log});
					if (isWrite) {
						void replicate();
					}

					return createDone();
				}

				default: {
					return createDone();
				}
			}
		};

		return {
			async execute(commands, deadline) {
				const replies: Reply[] = [];
				for (const command of commands) {
					await runtime.sleep(LINK_MS);
					const reply = isReachable(target, vm) && !hasEnded ? await run(command) : undefined;
					if (!reply || !isReachable(target, vm)) {
						hasEnded = true;
						await runtime.sleep(getRemainingMs(deadline, runtime.now()));
						return {replies, ended: 'timeout'};
					}

					replies.push(reply);
				}

				return {replies, ended: 'no'};
			},
			isEnded: () => hasEnded,
			close() {
				hasEnded = true;
			},
		};
	};

	return {
		targets,
		executed,
		discarded,
		getPrimary,
		createDial: vm => async (description, _customer, deadline): Promise<Result<TargetConnection, DialFailure>> => {
			const target = targets.find(candidate => candidate.description.id === description.id);
			if (!target || !isReachable(target, vm)) {
				await runtime.sleep(getRemainingMs(deadline, runtime.now()));
				return Err({code: 'silent', message: 'silent'});
			}

			await runtime.sleep(LINK_MS);
			return Ok(createConnection(target, vm));
		},
		readStatus(reply) {
			const target = targets.find(({description}) => reply.result.kind === 'done' && description.id === reply.result.signature);
			return target && {
				role: target.role, term: target.term, received: {term: target.term, number: target.log.length}, heldTerm: 0, lagMs: 0,
			};
		},
		promote(id) {
			const promoted = targets.find(({description}) => description.id === id);
			if (!promoted || promoted.isDown) {
				return false;
			}

			const replaced = getPrimary();
			if (replaced !== promoted) {
				for (const commit of replaced.log) {
					if (!promoted.log.includes(commit)) {
						discarded.add(commit);
					}
				}

				promoted.role = 'primary';
				promoted.term = Math.max(...targets.map(({term}) => term)) + 1;
				void stepDownLater(replaced);
			}

			return true;
		},
	};
};
