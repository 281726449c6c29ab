/** Events of the running proxies, and what they say of a request. */

import {match} from 'ts-pattern';
import type {VmId} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import {EVENTS, type EventRecord} from '@guavapitch/telemetry';
import {readVms, type FleetClient} from './fleet.js';

/** Events gathered from the fleet. */
export type FleetEvents = Readonly<{
	/** A list for each vm that answered. */
	lists: ReadonlyArray<readonly EventRecord[]>;
	/** The vms that did not answer; their events are missing. */
	missing: readonly VmId[];
}>;

/** Which events to ask for; an absent field asks for all. */
export type EventQuery = Readonly<{request?: string | undefined}>;

/** Asks every vm of the list for the last events that it keeps. */
export const requestEvents = async (store: Store, client: FleetClient, query: EventQuery = {}): Promise<FleetEvents> => {
	const vms = await readVms(store);
	const answers = await Promise.all(vms.map(async vm => ({vm: vm.vm, events: await client.call<readonly EventRecord[]>(vm, 'events', query)})));
	return {
		lists: answers.filter(({events}) => events.ok).map(({events}) => events.unwrap()),
		missing: answers.filter(({events}) => events.err).map(({vm}) => vm),
	};
};

/** Describes what refused a request, and what to do, in one sentence. */
export const describeRefusalReason = (reason: string): string => match(reason)
	.with('limitExceeded', () => 'the customer had used its rate and burst over the whole fleet: the caller waits for retry_after_ms, or its share is raised in the inventory')
	.with('queueFull', () => 'too many requests of this customer waited for the target: the caller sends less at a time, or the target gets more slots')
	.with('keyWithdrawn', () => 'the key was withdrawn, or may not use the service: issue another key')
	.with('keyUnconfirmed', () => 'the proxy could not confirm that its configuration is fresh: see whether it reaches the platform or a relay')
	.with('noRoute', () => 'no target could serve it: see whether the database has a primary, and whether its homes live')
	.with('deadlinePassed', () => 'it was not served before its deadline: see the time line of the database for a failover or an overloaded target')
	.with('connectionsExhausted', () => 'no connection to the target became free: see its limit in the inventory')
	.with('unsupported', () => 'guavapitch does not carry this statement; it would leave state behind on a shared connection')
	.with('canceled', () => 'the caller cancelled it before it ran')
	.with('rolledBack', () => 'its transaction was open for too long, or its home was lost; nothing was kept')
	.otherwise(() => 'the target or its home could not take it, and no other could before the deadline');

const getField = (event: EventRecord, name: string, otherwise: string): string => String(event.fields[name] ?? otherwise);

/** Describes what became of a request from one event that names it. */
export const describeRequest = (event: EventRecord): string => {
	const customer = getField(event, 'customer', 'a caller without a key');
	const message = getField(event, 'message', event.title);
	const reason = getField(event, 'reason', '');
	const who = `${event.at} at ${event.vm}: request of ${customer} for ${getField(event, 'service', 'a service')}`;
	return match(event.id)
		.with(EVENTS.requestRefused.id, () => `${who} was refused and has not run (${reason}: ${message}); ${describeRefusalReason(reason)}`)
		.with(EVENTS.requestUnknown.id, () => `${who} may or may not have run (${message}); look for its effect before sending it again`)
		.otherwise(() => `${who}: ${event.title}`);
};
