/** Replays a load against a home on the virtual clock. */

import {
	createDeadline, createVirtualWorld, Err, NEVER, Ok, type CustomerId, type Deadline, type Result, type World,
} from '@guavapitch/core';
import {createDatabaseOwner, type DatabaseOwner} from '@guavapitch/homes';
import {createQuotaClient, createQuotaAllocator, type QuotaClient} from '@guavapitch/limits';
import {runCallers, type OperationResult} from './callers.js';
import type {Load, LoadEvent} from './loads.js';
import {createEmulatedTargets, EMULATED_DATABASE, type EmulatedTargets} from './targets.js';

/** What came of a load. */
export type ReplayResult = Readonly<{
	load: string;
	seed: number;
	operations: readonly OperationResult[];
	dialCount: number;
}>;

const KEEPER_ANSWER_MS = 2;
const IDLE_TRANSACTION_MS = 1500;
/** Time after the end of a load in which the last operations end, in milliseconds. */
const TAIL_MS = 8000;
/** Step of the virtual clock between looks whether all operations have ended, in milliseconds. */
const STEP_MS = 500;

const createShares = (load: Load, world: World): QuotaClient => {
	const keeper = createQuotaAllocator({
		world,
		epoch: 1,
		getAuthorityDeadline: () => NEVER,
		getQuota: customer => load.customers.find(({name}) => name === customer),
	});
	return createQuotaClient(async request => {
		await world.sleep(KEEPER_ANSWER_MS);
		const allotment = keeper.grantTokens(request);
		return allotment ? Ok(allotment) : Err({code: 'noKeeper', message: 'The customer has no share'});
	}, world, () => ({rate: 0, burst: 0}));
};

const createHome = (load: Load, targets: EmulatedTargets, world: World): DatabaseOwner => {
	const allowances = createShares(load, world);
	const home = createDatabaseOwner({
		world,
		readClock: world.now,
		database: EMULATED_DATABASE,
		dial: targets.dial,
		readStatus: () => undefined,
		getConnectionLimit: () => load.connections,
		getAnyCustomer: () => 'emulated' as CustomerId,
		getIdleTransactionMs: () => IDLE_TRANSACTION_MS,
		async acquireToken(customer, deadline: Deadline): Promise<Result<undefined, Readonly<{code: string; message: string; retryAfterMs: number}>>> {
			return allowances.acquire(customer, deadline);
		},
		onDecision: () => undefined,
	});
	home.setTargets(targets.describeTargets());
	return home;
};

/** Replays a load; the seed decides its chance. */
export const runReplay = async (load: Load, seed: number): Promise<ReplayResult> => {
	const {world, advance} = createVirtualWorld(seed);
	const targets = createEmulatedTargets(load, world);
	let home: DatabaseOwner | undefined = createHome(load, targets, world);
	const schedule = (event: LoadEvent) => {
		if (event.kind === 'restart') {
			world.schedule(event.atMs, () => {
				home = undefined;
			});
			world.schedule(event.untilMs, () => {
				home = createHome(load, targets, world);
			});
		} else if (event.kind === 'failover') {
			world.schedule(event.untilMs, () => {
				targets.promote(load.targets.find(({id}) => id !== event.target)?.id ?? event.target);
				home?.setTargets(targets.describeTargets());
			});
		}
	};

	for (const event of load.events) {
		schedule(event);
	}

	let operations: readonly OperationResult[] | undefined;
	const running = runCallers(load, world, async request => {
		const asked = home;
		const answer = await asked?.serve(request);
		// A vm that went away meanwhile answers nothing.
		return asked === home ? answer : undefined;
	}).then(seen => {
		operations = seen;
	});
	const end = createDeadline(world.now(), load.durationMs + TAIL_MS);
	while (operations === undefined && world.now() < end) {
		await advance(STEP_MS);
	}

	await Promise.race([running, advance(STEP_MS)]);
	return {
		load: load.name, seed, operations: operations ?? [], dialCount: targets.getDialCount(),
	};
};
