/** The databases whose home or steward this vm is. */

import {
	createDeadline, Ok, parseId, type CustomerId, type DatabaseId, type TargetId, type VmId,
} from '@guavapitch/core';
import {
	createDatabaseHome, runSteward, type DatabaseHome,
} from '@guavapitch/homes';
import type {Stewardships} from '@guavapitch/roles';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import type {VmCalls} from './peers.js';
import type {Shares} from './shares.js';
import type {View} from './view.js';

/** Homes of databases at one vm. */
export type Databases = Readonly<{
	/** Gets the home of a database, opening it if needed. */
	get: (database: DatabaseId) => DatabaseHome;
	/** Passes changed targets on to the open homes. */
	refresh: () => void;
	/** Answers whether this vm reaches a target. */
	isReached: (target: TargetId) => Promise<boolean>;
	/** Closes idle connections of databases whose first home is another vm, until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
}>;

/** What the databases need of the vm. */
export type DatabasesParts = Readonly<{
	view: View;
	shares: Shares;
	calls: () => VmCalls;
	duties: () => Stewardships;
	getSignal: () => AbortSignal;
}>;

/** Method by which vms ask whether another reaches a target. */
export const REACH_METHOD = 'reach';

/** Part of a target's connections that one home may open; two homes with different views stay within the limit together. */
const HOME_PART = 0.5;
const REACH_TIMEOUT_MS = 500;
/** Vms asked whether they reach a target. */
const WITNESSES = 3;
/** Time after which the idle connections of a home that is no longer the first are closed, in milliseconds. */
const IDLE_MS = 3000;
const LOOK_MS = 1000;
const DEFAULT_IDLE_TRANSACTION_MS = 3000;
const DEFAULT_CONNECTIONS = 8;

/** Duty of the steward of a database. */
export const formatStewardDuty = (database: DatabaseId): string => `database/${database}`;

/** Creates the databases of a vm. */
export const createDatabases = (context: VmContext, parts: DatabasesParts): Databases => {
	const {world, settings, emit, metrics} = context;
	const {view} = parts;
	const homes = new Map<DatabaseId, DatabaseHome>();

	const askWitnesses = async (target: TargetId): Promise<boolean> => {
		const others = view.listMembers().filter(({vm}) => vm !== settings.vm && parts.calls().isUsable(vm));
		const start = Math.floor(world.random() * others.length);
		const asked = [...others.slice(start), ...others.slice(0, start)].slice(0, WITNESSES);
		const answers = await Promise.all(asked.map(async member => parts.calls().call(member, REACH_METHOD, {target}, REACH_TIMEOUT_MS)));
		return answers.some(answer => answer.ok && answer.val === true);
	};

	const open = (database: DatabaseId): DatabaseHome => {
		const home = createDatabaseHome({
			world,
			readClock: context.readClock,
			database,
			dial: context.dialTarget,
			readStatus: context.readStatus,
			getConnectionLimit: () => Math.max(1, Math.floor((view.getRules()?.databases.get(database)?.connections ?? DEFAULT_CONNECTIONS) * HOME_PART)),
			getAnyCustomer: () => [...view.getRules()?.shares.keys() ?? []][0] ?? parseId<CustomerId>('-'),
			getIdleTransactionMs: () => view.getRules()?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
			spend: async (customer, deadline) => view.getRules()?.shares.has(customer)
				? parts.shares.allowances.spend(customer, deadline)
				: Ok(undefined),
			onDecision({
				kind, requestId, customer, target, reason, ageMs,
			}) {
				metrics.count(`home.${kind}`, {database});
				emit(EVENTS.homeDecision, {
					kind, database, requestId, customer, target, reason, ageMs: Math.round(ageMs),
				});
			},
		});
		home.setTargets(view.listTargets(database));
		void runSteward({
			world,
			database,
			home,
			isSteward: () => parts.duties().isHeld(formatStewardDuty(database)),
			drawFence: async () => parts.duties().drawFence(formatStewardDuty(database)),
			async order(target, fence) {
				const known = view.findTarget(target);
				return known ? context.orderPromotion(known, settings.vm, fence) : 'refused';
			},
			isReachedByOthers: askWitnesses,
			isReplicated: () => view.getRules()?.databases.get(database)?.isReplicated ?? false,
			onEvent({kind, target, reason, ageMs}) {
				metrics.count(`steward.${kind}`, {database});
				emit(EVENTS.stewardDecision, {
					kind, database, target, reason, ageMs: Math.round(ageMs),
				});
			},
		}, parts.getSignal());
		return home;
	};

	const get = (database: DatabaseId): DatabaseHome => {
		const known = homes.get(database);
		if (known) {
			return known;
		}

		const opened = open(database);
		homes.set(database, opened);
		return opened;
	};

	return {
		get,
		refresh() {
			for (const [database, home] of homes) {
				home.setTargets(view.listTargets(database));
			}
		},
		async isReached(id) {
			const target = view.findTarget(id);
			const answer = target && await get(target.database).ping(id, createDeadline(world.now(), REACH_TIMEOUT_MS));
			return answer === 'leads' || answer === 'follows';
		},
		async run(signal) {
			while (!signal.aborted) {
				await world.sleep(LOOK_MS, signal).catch(() => undefined);
				for (const [database, home] of homes) {
					const first: VmId | undefined = view.rankHomes(database)[0]?.vm;
					if (first !== settings.vm) {
						home.closeIdle(IDLE_MS);
					}
				}
			}
		},
	};
};
