/** Failure detector: pings one random member in each period. A member that does not respond is pinged through other vms before it is suspected. */

import type {
	Failure, Result, VmId, Runtime,
} from '@guavapitch/core';
import type {Member, MemberUpdate, Members} from './members.js';

/** Request of a ping. Requests and responses both carry updates, in `news`. With `through`, the receiver pings that vm on behalf of the sender. */
export type PingRequest = Readonly<{news: readonly MemberUpdate[]; through?: VmId}>;

/** Response to a ping. */
export type PingResponse = Readonly<{incarnation: string; news: readonly MemberUpdate[]}>;

/** Dependencies of the failure detector. */
export type FailureDetectorContext = Readonly<{
	runtime: Runtime;
	members: Members;
	self: VmId;
	/** Sends a ping to a vm and waits at most `timeoutMs` for the response. */
	ping: (vm: VmId, request: PingRequest, timeoutMs: number) => Promise<Result<PingResponse, Failure>>;
}>;

const PING_INTERVAL_MS = 200;
const PING_TIMEOUT_MS = 250;
const INDIRECT_PING_TIMEOUT_MS = 400;
/** Maximum number of other vms through which a vm that did not respond is pinged. */
const MAX_INTERMEDIARIES = 2;

const chooseMember = (members: readonly Member[], random: () => number): Member | undefined => members[Math.floor(random() * members.length)];

const handleResponse = (context: FailureDetectorContext, vm: VmId, response: Result<PingResponse, Failure>): boolean => {
	if (response.err) {
		return false;
	}

	context.members.recordResponse(vm, response.val.incarnation);
	context.members.applyUpdates(response.val.news);
	return true;
};

const pingIndirectly = async (context: FailureDetectorContext, vm: VmId): Promise<boolean> => {
	const {members, runtime, self} = context;
	const intermediaries = members.getLive()
		.filter(member => member.vm !== vm && member.vm !== self)
		.map(member => ({member, sortKey: runtime.random()}))
		.toSorted((a, b) => a.sortKey - b.sortKey)
		.slice(0, MAX_INTERMEDIARIES);
	const responses = await Promise.all(intermediaries.map(async ({member}) => context.ping(member.vm, {news: [], through: vm}, INDIRECT_PING_TIMEOUT_MS)));
	return responses.some(response => handleResponse(context, vm, response));
};

/** Pings one member, first directly and then through other vms, and records whether it responded. */
export const pingMember = async (context: FailureDetectorContext, vm: VmId): Promise<void> => {
	const {members} = context;
	const response = await context.ping(vm, {news: members.chooseUpdates()}, PING_TIMEOUT_MS);
	if (!handleResponse(context, vm, response) && !await pingIndirectly(context, vm)) {
		members.recordTimeout(vm);
	}
};

/** Runs the failure detector until the signal aborts. */
export const runFailureDetector = async (context: FailureDetectorContext, signal: AbortSignal): Promise<void> => {
	const {members, runtime, self} = context;
	while (!signal.aborted) {
		await runtime.sleep(PING_INTERVAL_MS * (0.75 + (runtime.random() / 2)), signal);
		const candidates = members.getAll().filter(member => member.vm !== self && member.state !== 'gone');
		const member = chooseMember(candidates, runtime.random);
		if (member) {
			await pingMember(context, member.vm);
		}

		members.expireSuspects();
	}
};
