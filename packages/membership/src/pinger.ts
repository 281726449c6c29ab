/** The task that pings members: one at random each period, through others before suspicion. */

import type {
	Failure, Result, VmId, World,
} from '@guavapitch/core';
import type {Member, MemberNews, Members} from './members.js';

/** A ping and its answer carry news both ways. */
export type Ping = Readonly<{news: readonly MemberNews[]; through?: VmId}>;

/** Answer to a ping. */
export type Pong = Readonly<{incarnation: string; news: readonly MemberNews[]}>;

/** What the task needs. */
export type PingerContext = Readonly<{
	world: World;
	members: Members;
	self: VmId;
	/** Pings a vm. */
	ping: (vm: VmId, ping: Ping, timeoutMs: number) => Promise<Result<Pong, Failure>>;
}>;

const PERIOD_MS = 200;
const PING_TIMEOUT_MS = 250;
const INDIRECT_TIMEOUT_MS = 400;
const HELPERS = 2;

const chooseTarget = (members: readonly Member[], random: () => number): Member | undefined => members[Math.floor(random() * members.length)];

const takePong = (context: PingerContext, vm: VmId, pong: Result<Pong, Failure>): boolean => {
	if (pong.err) {
		return false;
	}

	context.members.noteAnswer(vm, pong.val.incarnation);
	context.members.accept(pong.val.news);
	return true;
};

const pingThroughOthers = async (context: PingerContext, target: VmId): Promise<boolean> => {
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
export const pingOnce = async (context: PingerContext, target: VmId): Promise<void> => {
	const {members} = context;
	const pong = await context.ping(target, {news: members.chooseNews()}, PING_TIMEOUT_MS);
	if (!takePong(context, target, pong) && !await pingThroughOthers(context, target)) {
		members.noteSilence(target);
	}
};

/** Pings members until the signal aborts. */
export const runPinger = async (context: PingerContext, signal: AbortSignal): Promise<void> => {
	const {members, world, self} = context;
	while (!signal.aborted) {
		await world.sleep(PERIOD_MS * (0.75 + (world.random() / 2)), signal);
		const others = members.getAll().filter(member => member.vm !== self && member.state !== 'gone');
		const target = chooseTarget(others, world.random);
		if (target) {
			await pingOnce(context, target.vm);
		}

		members.expire();
	}
};
