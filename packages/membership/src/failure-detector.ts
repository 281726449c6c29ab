/** The task that pings members: one at random each period, through others before suspicion. */

import type {
	Failure, Result, VmId, World,
} from '@guavapitch/core';
import type {Member, MemberUpdate, Members} from './members.js';

/** A ping and its answer carry news both ways. */
export type PingRequest = Readonly<{news: readonly MemberUpdate[]; through?: VmId}>;

/** Answer to a ping. */
export type PingResponse = Readonly<{incarnation: string; news: readonly MemberUpdate[]}>;

/** What the task needs. */
export type FailureDetectorContext = Readonly<{
	world: World;
	members: Members;
	self: VmId;
	/** Pings a vm. */
	ping: (vm: VmId, ping: PingRequest, timeoutMs: number) => Promise<Result<PingResponse, Failure>>;
}>;

const PERIOD_MS = 200;
const PING_TIMEOUT_MS = 250;
const INDIRECT_TIMEOUT_MS = 400;
const HELPERS = 2;

const chooseTarget = (members: readonly Member[], random: () => number): Member | undefined => members[Math.floor(random() * members.length)];

const takePong = (context: FailureDetectorContext, vm: VmId, pong: Result<PingResponse, Failure>): boolean => {
	if (pong.err) {
		return false;
	}

	context.members.recordResponse(vm, pong.val.incarnation);
	context.members.applyUpdates(pong.val.news);
	return true;
};

const pingThroughOthers = async (context: FailureDetectorContext, target: VmId): Promise<boolean> => {
	const {members, world, self} = context;
	const helpers = members.getLive()
		.filter(member => member.vm !== target && member.vm !== self)
		.map(member => ({member, order: world.random()}))
		.toSorted((a, b) => a.order - b.order)
		.slice(0, HELPERS);
	const answers = await Promise.all(helpers.map(async ({member}) => context.ping(member.vm, {news: [], through: target}, INDIRECT_TIMEOUT_MS)));
	return answers.some(answer => takePong(context, target, answer));
};

/** Pings one member and draws the conclusion. */
export const pingMember = async (context: FailureDetectorContext, target: VmId): Promise<void> => {
	const {members} = context;
	const pong = await context.ping(target, {news: members.chooseUpdates()}, PING_TIMEOUT_MS);
	if (!takePong(context, target, pong) && !await pingThroughOthers(context, target)) {
		members.recordTimeout(target);
	}
};

/** Pings members until the signal aborts. */
export const runFailureDetector = async (context: FailureDetectorContext, signal: AbortSignal): Promise<void> => {
	const {members, world, self} = context;
	while (!signal.aborted) {
		await world.sleep(PERIOD_MS * (0.75 + (world.random() / 2)), signal);
		const others = members.getAll().filter(member => member.vm !== self && member.state !== 'gone');
		const target = chooseTarget(others, world.random);
		if (target) {
			await pingMember(context, target.vm);
		}

		members.expireSuspects();
	}
};
