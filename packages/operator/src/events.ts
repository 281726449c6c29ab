/** Collects events from the running proxies and describes the outcome of a request from them. */

import {match} from 'ts-pattern';
import {Ok, type Result, type VmId} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import {EVENTS, type EventRecord} from '@guavapitch/telemetry';
import {readVms, type FleetClient, type VmListFailure} from './fleet.js';

/** Events collected from the fleet. */
export type FleetEvents = Readonly<{
	/** One list for each vm that responded. */
	eventLists: ReadonlyArray<readonly EventRecord[]>;
	/** Vms that did not respond, whose events are missing. */
	unresponsiveVms: readonly VmId[];
}>;

/** Selects events by the identifier of their request; without one, all events. */
export type EventQuery = Readonly<{request?: string | undefined}>;

/** Requests the recent events that each listed vm holds in memory. */
export const requestEvents = async (store: Store, client: FleetClient, query: EventQuery = {}): Promise<Result<FleetEvents, VmListFailure>> => {
	const vms = await readVms(store);
	if (vms.err) {
		return vms;
	}

	const responses = await Promise.all(vms.val.map(async listedVm => ({vm: listedVm.vm, events: await client.call<readonly EventRecord[]>(listedVm, 'events', query)})));
	return Ok({
		eventLists: responses.filter(({events}) => events.ok).map(({events}) => events.unwrap()),
		unresponsiveVms: responses.filter(({events}) => events.err).map(({vm}) => vm),
	});
};

/** Describes why a request was refused and what to do about it, in one sentence. */
export const describeRefusalReason = (reason: string): string => match(reason)
	.with('limitExceeded', () => 'the customer had exceeded its quota over the whole fleet: wait for retry_after_ms, or raise its rate or burst in the inventory')
	.with('queueFull', () => 'too many requests of this customer were queued for the target: send fewer at a time, or give the target more slots')
	.with('keyWithdrawn', () => 'the key was withdrawn, or its customer may not use the service: issue another key')
	.with('keyUnconfirmed', () => 'the proxy could not confirm that its configuration is up to date: check whether it can reach the platform or a relay')
	.with('noRoute', () => 'no target could serve it: check whether the database has a primary and whether the owners of its targets are alive')
	.with('deadlinePassed', () => 'it was not served before its deadline: check the time line of the database for a failover or an overloaded target')
	.with('connectionsExhausted', () => 'no connection to the target became free: check its connection limit in the inventory')
	.with('unsupported', () => 'guavapitch does not support this statement; it would leave state on a shared connection')
	.with('canceled', () => 'the caller cancelled it before it ran')
	.with('rolledBack', () => 'its transaction was open for too long, or the connection to the owner of the target was lost; all its changes were rolled back')
	.otherwise(() => 'the target or its owner could not accept it, and no other could before the deadline');

const getField = (event: EventRecord, name: string, fallback: string): string => String(event.fields[name] ?? fallback);

/** Describes the outcome of a request from one event that names it. */
export const describeRequest = (event: EventRecord): string => {
	const customer = getField(event, 'customer', 'a caller without a key');
	const message = getField(event, 'message', event.title);
	const reason = getField(event, 'reason', '');
	const summary = `${event.at} at ${event.vm}: request of ${customer} for ${getField(event, 'service', 'a service')}`;
	return match(event.id)
		.with(EVENTS.requestRefused.id, () => `${summary} was refused and has not run (${reason}: ${message}); ${describeRefusalReason(reason)}`)
		.with(EVENTS.requestUnknown.id, () => `${summary} may or may not have run (${message}); check for its effect before sending it again`)
		.otherwise(() => `${summary}: ${event.title}`);
};
