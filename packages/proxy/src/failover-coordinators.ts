/** The failover coordinators that run in this process, one for each database of the slots that it holds. */

import {
	createScope, Err, brandId, type DatabaseId, type TargetId, type Result, type Failure, type Runtime,
} from '@guavapitch/core';
import {
	readTargetState, followPrimary, promoteReplica, rejoinReplica, createControlConnection, type ControlConnection,
} from '@guavapitch/back-postgres';
import {
	createFailoverCoordinator, MAX_GRANT_VALIDITY_MS, type GrantResponse, type GroupView, type GrantHolder, type TargetCommands, type FailoverCoordinator, type FailoverSettings, type FailoverEvent,
} from '@guavapitch/failover';
import type {Store} from '@guavapitch/store';
import {chooseSlot, type Authority} from '@guavapitch/roles';
import {EVENTS, type Emit} from '@guavapitch/telemetry';
import type {CallVm, ClusterView, ConfiguredTarget} from './cluster-view.js';
import {createTargetConnectionSettings} from './owned-targets.js';

/** Failover coordinators of one process. */
export type FailoverCoordinators = AsyncDisposable & Readonly<{
	/** Runs a coordinator for each database of a slot until the signal aborts. */
	runAsHolder: (authority: Authority, signal: AbortSignal) => Promise<void>;
	/** Issues a grant to a holder; `undefined` if this process is not the coordinator of the database, or the coordinator issues none. */
	grant: (database: DatabaseId, holder: GrantHolder) => GrantResponse | undefined;
}>;

/** Dependencies of the failover coordinators. */
export type FailoverCoordinatorsContext = Readonly<{
	runtime: Runtime;
	vm: string;
	clusterView: ClusterView;
	store: Store;
	callVm: CallVm;
	emit: Emit;
	/** Called with each group view that a coordinator publishes. */
	onGroupView: (view: GroupView) => void;
}>;

const REVOKE_TIMEOUT_MS = 300;
/** Interval between checks of the active inventory for new databases, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

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
			emit(event.isReachable ? EVENTS.targetReachable : EVENTS.targetUnreachable, {database, target: event.target});
		}
	}
};

/** Creates the failover coordinators of a process; none runs until a slot is gained. */
export const createFailoverCoordinators = (context: FailoverCoordinatorsContext): FailoverCoordinators => {
	const {runtime, clusterView, emit} = context;
	const coordinators = new Map<DatabaseId, FailoverCoordinator>();
	const controlConnections = new Map<string, ControlConnection>();

	const runCommand = async <Value>(target: TargetId, command: (connection: ControlConnection, configured: ConfiguredTarget) => Promise<Result<Value, Failure>>): Promise<Result<Value, Failure>> => {
		const configured = clusterView.findTarget(target);
		if (!configured) {
			return Err({code: 'unknownTarget', message: `The target ${target} is not in the inventory`});
		}

		const existing = controlConnections.get(configured.target.address);
		const connection = existing ?? createControlConnection(createTargetConnectionSettings(configured, context.vm), runtime);
		controlConnections.set(configured.target.address, connection);
		return command(connection, configured);
	};

	/** Formats the connection string with which a replica follows a primary; empty without a primary, which stops replication. */
	const formatConninfo = (primary: TargetId | undefined, follower: TargetId): string => {
		const configured = primary ? clusterView.findTarget(primary) : undefined;
		if (!configured) {
			return '';
		}

		const connectionSettings = createTargetConnectionSettings(configured, context.vm);
		return `host=${connectionSettings.host} port=${connectionSettings.port} user=${connectionSettings.user} application_name=${follower}`;
	};

	const commands: TargetCommands = {
		probe: async target => runCommand(target, readTargetState),
		promote: async target => runCommand(target, promoteReplica),
		follow: async (target, primary) => runCommand(target, async connection => followPrimary(connection, formatConninfo(primary, target))),
		rejoin: async (target, primary) => runCommand(target, async connection => rejoinReplica(connection, formatConninfo(primary, target))),
	};

	const getSettings = (database: DatabaseId): FailoverSettings | undefined => {
		const configuredDatabase = clusterView.activeConfiguration.getInventory()?.databases[database];
		return configuredDatabase && {
			database,
			minimumSynced: Math.min(configuredDatabase.minimumSynced, configuredDatabase.targets.length - 1),
			replicated: configuredDatabase.acknowledge === 'replicated',
			targets: configuredDatabase.targets.map(target => brandId<TargetId>(target.name)),
			leaving: configuredDatabase.targets.filter(target => target.leaving).map(target => brandId<TargetId>(target.name)),
		};
	};

	const createCoordinator = (database: DatabaseId, authority: Authority): FailoverCoordinator => createFailoverCoordinator({
		runtime,
		store: context.store,
		commands,
		getSettings: () => getSettings(database),
		getAuthorityDeadline: authority.getDeadline,
		async revoke(holder, databaseId, permissions) {
			// A holder that keeps the permission to acknowledge responds only after its running writes have ended, hence the longer timeout.
			const timeoutMs = permissions.acknowledgements ? REVOKE_TIMEOUT_MS : MAX_GRANT_VALIDITY_MS;
			return context.callVm(holder.vm, 'revoke', {database: databaseId, permissions, incarnation: holder.incarnation}, timeoutMs);
		},
		publish: context.onGroupView,
		onEvent(event) {
			emitEvent(emit, database, event);
		},
	}, database);

	const getDatabases = (slot: string): readonly DatabaseId[] => {
		const inventory = clusterView.activeConfiguration.getInventory();
		const slotCount = inventory?.fleet.stewardSlots ?? 1;
		return Object.keys(inventory?.databases ?? {})
			.filter(name => chooseSlot('steward', slotCount, name) === slot)
			.map(name => brandId<DatabaseId>(name));
	};

	return {
		async runAsHolder(authority, signal) {
			await using scope = createScope(error => {
				emit(EVENTS.taskFailed, {task: 'steward', reason: error instanceof Error ? error.stack : String(error)});
			}, signal);
			while (!signal.aborted) {
				for (const database of getDatabases(authority.slot)) {
					if (!coordinators.has(database)) {
						const coordinator = createCoordinator(database, authority);
						coordinators.set(database, coordinator);
						scope.run(async taskSignal => {
							try {
								await coordinator.run(taskSignal);
							} finally {
								coordinators.delete(database);
							}
						});
					}
				}

				await runtime.sleep(CHECK_INTERVAL_MS, signal).catch(() => undefined);
			}
		},
		grant: (database, holder) => coordinators.get(database)?.grant(holder),
		async [Symbol.asyncDispose]() {
			await Promise.all([...controlConnections.values()].map(async connection => connection[Symbol.asyncDispose]()));
		},
	};
};
