/** Replays a load against a database owner on a virtual clock. */

import {
	createDeadline, createVirtualRuntime, Err, NEVER, Ok, type CustomerId, type Deadline, type Result, type Runtime,
} from '@guavapitch/core';
import {createDatabaseOwner, SELF_FENCING_APPOINTMENTS, type DatabaseOwner} from '@guavapitch/database-owners';
import {createQuotaClient, createQuotaAllocator, type QuotaClient} from '@guavapitch/limits';
import {runCallers, type OperationResult} from './callers.js';
import type {Load, LoadEvent} from './loads.js';
import {
	createEmulatedTargets, EMULATED_DATABASE, type EmulatedTargets, type SentStatement,
} from './targets.js';

/** Result of a replay. */
export type ReplayResult = Readonly<{
	/** Name of the load. */
	load: string;
	seed: number;
	operations: readonly OperationResult[];
	/** Number of connections opened to the targets. */
	dialCount: number;
	/** Statements that the targets received, in order. */
	sentStatements: readonly SentStatement[];
}>;

/** Response time of the quota allocator, in milliseconds. */
const ALLOCATOR_RESPONSE_MS = 2;
const IDLE_TRANSACTION_MS = 1500;
/** Time after the end of a load within which the last operations complete, in milliseconds. */
const COMPLETION_TIMEOUT_MS = 8000;
/** Step of the virtual clock between checks whether all operations have ended, in milliseconds. */
const CLOCK_STEP_MS = 500;

const createQuotas = (load: Load, runtime: Runtime): QuotaClient => {
	const allocator = createQuotaAllocator({
		runtime,
		epoch: 1,
		getAuthorityDeadline: () => NEVER,
		getQuota: customer => load.customers.find(({name}) => name === customer),
	});
	return createQuotaClient(async request => {
		await runtime.sleep(ALLOCATOR_RESPONSE_MS);
		const grant = allocator.grantTokens(request);
		return grant ? Ok(grant) : Err({code: 'noKeeper', message: 'The customer has no quota'});
	}, runtime);
};

const createOwner = (load: Load, targets: EmulatedTargets, runtime: Runtime): DatabaseOwner => {
	const quotaClient = createQuotas(load, runtime);
	const owner = createDatabaseOwner({
		runtime,
		readSuspensionClock: runtime.now,
		database: EMULATED_DATABASE,
		dial: targets.dial,
		readStatus: () => undefined,
		appointments: SELF_FENCING_APPOINTMENTS,
		getEvacuationDeadline: () => NEVER,
		getColdLimit: () => undefined,
		getTargetsCompleteAt: runtime.now,
		isDataCentreReachable: () => true,
		getKnownGroup: () => undefined,
		getConnectionLimit: () => load.connections,
		getAnyCustomer: () => 'emulated' as CustomerId,
		getIdleTransactionMs: () => IDLE_TRANSACTION_MS,
		async acquireToken(customer, deadline: Deadline): Promise<Result<undefined, Readonly<{code: string; message: string; retryAfterMs: number}>>> {
			return quotaClient.acquire(customer, deadline);
		},
		onDecision: () => undefined,
	});
	owner.setTargets(targets.describeTargets());
	return owner;
};

/** Replays a load; the seed determines all random choices. */
export const runReplay = async (load: Load, seed: number): Promise<ReplayResult> => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const targets = createEmulatedTargets(load, runtime);
	let owner: DatabaseOwner | undefined = createOwner(load, targets, runtime);
	const publishTargets = () => {
		owner?.setTargets(targets.describeTargets());
	};

	const scheduleEvent = (event: LoadEvent) => {
		switch (event.kind) {
			case 'restart': {
				runtime.schedule(event.atMs, () => {
					owner = undefined;
				});
				runtime.schedule(event.untilMs, () => {
					owner = createOwner(load, targets, runtime);
				});
				break;
			}

			case 'failover': {
				runtime.schedule(event.untilMs, () => {
					targets.promote(load.targets.find(({id}) => id !== event.target)?.id ?? event.target);
					publishTargets();
				});
				break;
			}

			case 'stopped': {
				runtime.schedule(event.untilMs, publishTargets);
				break;
			}

			default: {
				break;
			}
		}
	};

	for (const event of load.events) {
		scheduleEvent(event);
	}

	let operations: readonly OperationResult[] | undefined;
	const callersDone = runCallers(load, runtime, async request => {
		const requestedOwner = owner;
		const response = await requestedOwner?.serve(request);
		// A vm that was stopped meanwhile sends no response.
		return requestedOwner === owner ? response : undefined;
	}).then(results => {
		operations = results;
	});
	const endsAt = createDeadline(runtime.now(), load.durationMs + COMPLETION_TIMEOUT_MS);
	while (operations === undefined && runtime.now() < endsAt) {
		await advance(CLOCK_STEP_MS);
	}

	await Promise.race([callersDone, advance(CLOCK_STEP_MS)]);
	return {
		load: load.name, seed, operations: operations ?? [], dialCount: targets.getDialCount(), sentStatements: targets.listSentStatements(),
	};
};
