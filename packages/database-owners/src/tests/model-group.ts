/** Model of a group with synchronous replication on a virtual clock: a commit is confirmed once one replica has received it, and acknowledged if the owner passes that on. Tests cause the faults. */

import {
	createDeadline, Err, getRemainingMs, NEVER, Ok, brandId, type DataCentreId, type Result, type Runtime, type TargetId,
} from '@guavapitch/core';
import type {LogPosition} from '@guavapitch/sessions';
import type {CommitProof} from '../commit-proofs.js';
import type {
	Command, DialFailure, DialTarget, Reply, Target, TargetConnection, TargetErrorCode, TargetStatus,
} from '../targets.js';
import {DATABASE} from './fake-targets.js';

type Commit = Readonly<{id: string; term: number; at: number}>;

/** A target of the model; `description` is that of its present run. */
export type ModelMember = {
	description: Target;
	role: 'primary' | 'replica';
	term: number;
	log: Commit[];
	heldTerm: number;
	isUp: boolean;
	/** Whether no vm reaches it, although the other targets do. */
	isDark: boolean;
	/** Whether the registry lists it. */
	isRegistered: boolean;
	/** Delay with which it receives commits, in milliseconds. */
	receiveMs: number;
	/** How long commands wait at it, in milliseconds. */
	commandMs: number;
};

/** The group of a model. */
export type ModelGroup = Readonly<{
	members: ModelMember[];
	getPrimary: () => ModelMember;
	dial: DialTarget;
	readStatus: (reply: Reply) => TargetStatus | undefined;
	/** Makes a member the primary of the next term; `false` if it is not running. */
	promote: (id: TargetId) => boolean;
	/** Ends the process of a member; it starts again as another run, without its log if it `losesLog`. */
	restart: (member: ModelMember, forMs: number, losesLog: boolean) => Promise<void>;
	/** Replaces a member that has left by a new target at its address, which has its log. */
	replace: (member: ModelMember) => void;
	acknowledged: ReadonlyMap<string, number>;
	/** Acknowledged commits that a promotion removed, before or after they were acknowledged. */
	lost: readonly string[];
	promotionCount: () => number;
}>;

const TICK_MS = 4;
const WRITE_INTERVAL_MS = 20;
/** Number of writes that wait for their acknowledgement at a time. */
const MAX_WAITING_WRITES = 5;
const LINK_MS = 1;

const getPosition = ({term, log}: ModelMember): LogPosition => ({term: log.at(-1)?.term ?? term, number: log.length});

/** Time that a write waits for its proof, in milliseconds. */
const PROOF_TIMEOUT_MS = 1000;

/** Creates a primary and two replicas, and a writer that writes until the signal aborts. Each commit is acknowledged only if the proof that was started for it holds. */
export const createModelGroup = (runtime: Runtime, signal: AbortSignal, startProof: (target: TargetId) => CommitProof): ModelGroup => {
	const acknowledged = new Map<string, number>();
	const lost: string[] = [];
	let commitCount = 0;
	let waitingCount = 0;
	let targetCount = 0;
	let runCount = 0;
	let promotionCount = 0;

	const createMember = (role: ModelMember['role'], port: number): ModelMember => ({
		description: {
			id: brandId<TargetId>(`t${++targetCount}`),
			database: DATABASE,
			host: 'host',
			port,
			dataCentre: brandId<DataCentreId>('here'),
			slots: 3,
			isDraining: false,
			acceptsUntil: NEVER,
			role,
			startedAtMs: ++runCount,
		},
		role,
		term: 1,
		log: [],
		heldTerm: 0,
		isUp: true,
		isDark: false,
		isRegistered: true,
		receiveMs: 2 + (runtime.random() * 15),
		commandMs: 0,
	});
	const members: ModelMember[] = [createMember('primary', 1), createMember('replica', 2), createMember('replica', 3)];
	let [primary] = members as [ModelMember, ...ModelMember[]];

	/** Lets a replica receive what the primary has committed; what the primary lacks is rolled back. */
	const replicate = (member: ModelMember) => {
		if (member === primary || !member.isUp || !primary.isUp || member.heldTerm > primary.term) {
			return;
		}

		member.term = primary.term;
		// Up to its last commit in common with the primary, a log is the same as the primary's.
		while (member.log.length > 0 && member.log.at(-1) !== primary.log[member.log.length - 1]) {
			member.log.pop();
		}

		for (let next = primary.log[member.log.length]; next && next.at + member.receiveMs <= runtime.now(); next = primary.log[member.log.length]) {
			member.log.push(next);
		}
	};

	const runReplication = async () => {
		while (!signal.aborted) {
			await runtime.sleep(TICK_MS);
			for (const member of members) {
				replicate(member);
			}
		}
	};

	const write = async (writer: ModelMember) => {
		const {term} = writer;
		const commit: Commit = {id: `c${++commitCount}`, term, at: runtime.now()};
		const proof = startProof(writer.description.id);
		const index = writer.log.push(commit) - 1;
		waitingCount++;
		while (writer === primary && writer.isUp && writer.term === term && !signal.aborted) {
			if (members.some(member => member !== writer && member.isUp && member.log[index] === commit)) {
				if (await proof.confirm({term, number: index + 1}, createDeadline(runtime.now(), PROOF_TIMEOUT_MS))) {
					acknowledged.set(commit.id, runtime.now());
					if (primary.log[index] !== commit) {
						lost.push(commit.id);
					}
				}

				break;
			}

			await runtime.sleep(TICK_MS);
		}

		waitingCount--;
	};

	const runWriter = async () => {
		while (!signal.aborted) {
			await runtime.sleep(WRITE_INTERVAL_MS);
			if (primary.isUp && waitingCount < MAX_WAITING_WRITES) {
				void write(primary);
			}
		}
	};

	void runReplication();
	void runWriter();

	const createConnection = (member: ModelMember): TargetConnection => {
		const run = member.description.startedAtMs;
		let isInTransaction = false;
		let hasEnded = false;
		const createReply = (result: Reply['result']): Reply => ({result, status: isInTransaction ? 'open' : 'idle', position: getPosition(member)});
		const createDone = (rows: readonly string[] = []): Reply => createReply({kind: 'done', rows, signature: '-'});
		const createError = (code: TargetErrorCode): Reply => createReply({kind: 'error', code, text: code});

		const execute = (command: Command): Reply => {
			switch (command.kind) {
				case 'begin': {
					isInTransaction = member.role === 'primary';
					return isInTransaction ? createDone() : createError('readOnly');
				}

				case 'rollback': {
					isInTransaction = false;
					return createDone();
				}

				case 'pause': {
					member.heldTerm = member.role === 'replica' ? command.term : 0;
					return createDone();
				}

				case 'resume': {
					member.heldTerm = 0;
					return createDone();
				}

				case 'status': {
					const {role, term, heldTerm} = member;
					return createDone([JSON.stringify({
						role, term, heldTerm, received: getPosition(member), lagMs: 0,
					})]);
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
					await runtime.sleep(LINK_MS + member.commandMs);
					const isReached = member.isUp && member.description.startedAtMs === run && !member.isDark;
					// A command that arrives is executed even if its reply comes too late.
					const reply = isReached ? execute(command) : undefined;
					if (!reply || runtime.now() >= deadline || hasEnded) {
						hasEnded = true;
						await runtime.sleep(getRemainingMs(deadline, runtime.now()));
						return {replies, ended: 'timeout'};
					}

					replies.push(reply);
				}

				return {replies, ended: 'no'};
			},
			isEnded: () => hasEnded || !member.isUp || member.description.startedAtMs !== run,
			close() {
				hasEnded = true;
			},
		};
	};

	return {
		members,
		acknowledged,
		lost,
		promotionCount: () => promotionCount,
		getPrimary: () => primary,
		async dial(description, _customer, deadline): Promise<Result<TargetConnection, DialFailure>> {
			await runtime.sleep(LINK_MS);
			const member = members.find(candidate => candidate.description.port === description.port);
			if (member?.isDark) {
				await runtime.sleep(getRemainingMs(deadline, runtime.now()));
				return Err({code: 'silent', message: 'silent'});
			}

			if (!member?.isUp) {
				return Err({code: 'refused', message: 'refused'});
			}

			return member.description.id === description.id ? Ok(createConnection(member)) : Err({code: 'misrouted', message: 'another target'});
		},
		readStatus(reply) {
			const [row] = reply.result.kind === 'done' ? reply.result.rows : [];
			return row === undefined ? undefined : JSON.parse(row) as TargetStatus;
		},
		promote(id) {
			const promoted = members.find(({description, isUp}) => description.id === id && isUp);
			if (!promoted || promoted === primary) {
				return promoted !== undefined;
			}

			const kept = new Set(promoted.log.map(commit => commit.id));
			const removed = primary.log.map(commit => commit.id).filter(commit => acknowledged.has(commit) && !kept.has(commit));
			lost.push(...removed);
			for (const commit of removed) {
				acknowledged.delete(commit);
			}

			const term = Math.max(...members.flatMap(member => [member.term, member.heldTerm])) + 1;
			primary.role = 'replica';
			primary = promoted;
			promoted.role = 'primary';
			promoted.term = term;
			promotionCount++;
			for (const member of members) {
				member.heldTerm = 0;
			}

			return true;
		},
		async restart(member, forMs, losesLog) {
			member.isUp = false;
			await runtime.sleep(forMs);
			member.isUp = true;
			member.heldTerm = 0;
			member.log = losesLog && member !== primary ? [] : member.log;
			member.description = {...member.description, startedAtMs: ++runCount};
		},
		replace(member) {
			const index = members.indexOf(member);
			if (index !== -1 && member !== primary) {
				members[index] = {...createMember('replica', member.description.port), log: [...member.log], term: member.term};
			}
		},
	};
};
