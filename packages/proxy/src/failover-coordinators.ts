/** The stewards that run in this process, one for each database of the slots it holds. */

import {
	createScope, Err, parseId, type DatabaseId, type TargetId, type Result, type Failure, type World,
} from '@guavapitch/core';
import {
	readTargetState, followPrimary, promoteReplica, rejoinReplica, createControlConnection, type ControlConnection,
} from '@guavapitch/back-postgres';
import {
	createFailoverCoordinator, MAX_GRANT_VALIDITY_MS, type GrantReply, type GroupView, type Holder, type TargetCommands, type FailoverCoordinator, type FailoverSettings, type FailoverEvent,
} from '@guavapitch/failover';
import type {Store} from '@guavapitch/store';
import {chooseSlot, type Authority} from '@guavapitch/roles';
import {EVENTS, type Emit} from '@guavapitch/telemetry';
import type {CallVm, ClusterView, ConfiguredTarget} from './cluster-view.js';
import {createTargetAddress} from './owned-targets.js';

/** Stewards of one process. */
export type FailoverCoordinators = AsyncDisposable & Readonly<{
	/** Works for the databases of a slot until the signal aborts. */
	runAsHolder: (authority: Authority, signal: AbortSignal) => Promise<void>;
	/** Answers a request for a grant; `undefined` if this process is not the steward. */
	grant: (database: DatabaseId, holder: Holder) => GrantReply | undefined;
}>;

/** What the stewards need. */
export type FailoverCoordinatorsContext = Readonly<{
	world: World;
	vm: string;
	clusterView: ClusterView;
	store: Store;
	callVm: CallVm;
	emit: Emit;
	onGroupView: (view: GroupView) => void;
}>;

const REVOKE_TIMEOUT_MS = 300;
const REFRESH_MS = 250;

const emitEvent = (emit: Emit, database: DatabaseId, event: FailoverEvent): void => {
	switch (event.kind) {
		case 'started': {
			emit(EVENTS.failoverStarted, {database, term: event.term, primary: event.primary});
			break;
		}

		case 'grantsEnded': {
			emit(EVENTS.grantsEnded, {database, term: event.term});
			break;
		}

		case 'recordChanged': {
			const {term, primary, synced, joining} = event.record;
			emit(EVENTS.recordChanged, {
				database, term, primary, synced, joining, revision: event.revision,
			});
			break;
		}

		case 'promoted': {
			emit(EVENTS.targetPromoted, {database, term: event.term, primary: event.primary});
			break;
		}

		case 'finished': {
			emit(EVENTS.failoverFinished, {database, term: event.term, primary: event.primary});
			break;
		}

		case 'blocked': {
			emit(EVENTS.failoverBlocked, {database, reason: event.reason});
			break;
		}

		case 'rejoined': {
			emit(EVENTS.targetRejoined, {database, target: event.target, primary: event.primary});
			break;
		}

		default: {
			emit(event.reachable ? EVENTS.targetReachable : EVENTS.targetUnreachable, {database, target: event.target});
		}
	}
};

/** Creates the stewards of a process. */
export const createFailoverCoordinators = (context: FailoverCoordinatorsContext): FailoverCoordinators => {
	const {world, clusterView: fleet, emit} = context;
	const running = new Map<DatabaseId, FailoverCoordinator>();
	const questions = new Map<string, ControlConnection>();

	const withQuestions = async <Answer>(target: TargetId, ask: (asked: ControlConnection, known: ConfiguredTarget) => Promise<Result<Answer, Failure>>): Promise<Result<Answer, Failure>> => {
		const known = fleet.findTarget(target);
		if (!known) {
			return Err({code: 'unknownTarget', message: `The target ${target} is not in the inventory`});
		}

		const existing = questions.get(known.target.address);
		const asked = existing ?? createControlConnection(createTargetAddress(known, context.vm), world);
		questions.set(known.target.address, asked);
		return ask(asked, known);
	};

	const formatConninfo = (primary: TargetId | undefined, follower: TargetId): string => {
		const known = primary ? fleet.findTarget(primary) : undefined;
		if (!known) {
			return '';
		}

		const address = createTargetAddress(known, context.vm);
		return `host=${address.host} port=${address.port} user=${address.user} application_name=${follower}`;
	};

	const commands: TargetCommands = {
		probe: async target => withQuestions(target, readTargetState),
		promote: async target => withQuestions(target, promoteReplica),
		follow: async (target, primary) => withQuestions(target, async asked => followPrimary(asked, formatConninfo(primary, target))),
		rejoin: async (target, primary) => withQuestions(target, async asked => rejoinReplica(asked, formatConninfo(primary, target))),
	};

	const getSettings = (database: DatabaseId): FailoverSettings | undefined => {
		const known = fleet.inForce.getInventory()?.databases[database];
		return known && {
			database,
			minimumSynced: Math.min(known.minimumSynced, known.targets.length - 1),
			replicated: known.acknowledge === 'replicated',
			targets: known.targets.map(target => parseId<TargetId>(target.name)),
			leaving: known.targets.filter(target => target.leaving).map(target => parseId<TargetId>(target.name)),
		};
	};

	const createOne = (database: DatabaseId, authority: Authority): FailoverCoordinator => createFailoverCoordinator({
		world,
		store: context.store,
		commands,
		getSettings: () => getSettings(database),
		getAuthorityDeadline: authority.getDeadline,
		async revoke(holder, id, permissions) {
			// A holder that keeps its acknowledgements answers when its writes have ended.
			const timeoutMs = permissions.acknowledgements ? REVOKE_TIMEOUT_MS : MAX_GRANT_VALIDITY_MS;
			return context.callVm(holder.vm, 'revoke', {database: id, permissions, incarnation: holder.incarnation}, timeoutMs);
		},
		publish: context.onGroupView,
		onEvent(event) {
			emitEvent(emit, database, event);
		},
	}, database);

	const getDatabases = (slot: string): readonly DatabaseId[] => {
		const inventory = fleet.inForce.getInventory();
		const slots = inventory?.fleet.stewardSlots ?? 1;
		return Object.keys(inventory?.databases ?? {})
			.filter(name => chooseSlot('steward', slots, name) === slot)
			.map(name => parseId<DatabaseId>(name));
	};

	return {
		async runAsHolder(authority, signal) {
			await using scope = createScope(error => {
				emit(EVENTS.taskFailed, {task: 'steward', reason: error instanceof Error ? error.stack : String(error)});
			}, signal);
			while (!signal.aborted) {
				for (const database of getDatabases(authority.slot)) {
					if (!running.has(database)) {
						const steward = createOne(database, authority);
						running.set(database, steward);
						scope.run(async own => {
							try {
								await steward.run(own);
							} finally {
								running.delete(database);
							}
						});
					}
				}

				await world.sleep(REFRESH_MS, signal).catch(() => undefined);
			}
		},
		grant: (database, holder) => running.get(database)?.grant(holder),
		async [Symbol.asyncDispose]() {
			await Promise.all([...questions.values()].map(async one => one[Symbol.asyncDispose]()));
		},
	};
};
