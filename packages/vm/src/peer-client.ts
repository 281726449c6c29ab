/** Calls between vms. */

import {
	Err, Ok, type Failure, type Result, type VmId,
} from '@guavapitch/core';
import {
	ALIVE_METHOD, createDial, createPeers, startPeerListener, type Listener, type PeerContext, type PeerHandlers, type Peers,
} from '@guavapitch/peer-protocol';
import {createHybridLogicalClock, EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import type {Member} from './members.js';

/** Failure of a call: whether the other vm may have acted on it. */
export type CallFailure = Failure<'notSent' | 'lost'>;

/** Calls to other vms. */
export type PeerClient = AsyncDisposable & Readonly<{
	call: (member: Member, method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, CallFailure>>;
	/** Asks a vm for a sign of life. */
	ping: (member: Member) => Promise<boolean>;
	/** Tells whether a vm may be tried: it did not just refuse or stay silent. */
	isUsable: (vm: VmId) => boolean;
	listen: () => Promise<Listener>;
}>;

/** Pause between attempts to reach a vm that is passed over, in milliseconds. */
const PROBE_PAUSE_MS = 300;
const PROBE_TIMEOUT_MS = 500;

/** What the calls need to know and say of members. */
export type MembershipHooks = Readonly<{
	/** Tells whether a vm is still a member. */
	isMember: (member: Member) => boolean;
	/** Hears that a vm could not be reached. */
	onUnreachable: (member: Member) => void;
}>;

/** Creates the calls of a vm. */
export const createPeerClient = (context: VmContext, handlers: PeerHandlers, {isMember, onUnreachable}: MembershipHooks): PeerClient => {
	const {world, settings, emit} = context;
	const clock = createHybridLogicalClock(world.readWallClock);
	const passedOver = new Set<VmId>();
	let closed = false;
	const peerContext: PeerContext = {
		world,
		identity: {vm: settings.vm, incarnation: settings.run},
		handlers,
		readTime: () => clock.read(),
		witnessTime(time) {
			clock.observe(time);
		},
		onMalformed(failure) {
			emit(EVENTS.frameRefused, {message: failure.message});
		},
	};
	const peers: Peers = createPeers(peerContext, createDial());

	const isUsable = (vm: VmId) => !passedOver.has(vm);

	/** Tries to reach a vm again until it answers or is no member; no request waits for that. */
	const probe = async (member: Member): Promise<void> => {
		const address = {host: member.host, port: member.port};
		while (!closed && isMember(member)) {
			await world.sleep(PROBE_PAUSE_MS * (0.5 + world.random()));
			const answer = await peers.call(address, ALIVE_METHOD, undefined, PROBE_TIMEOUT_MS);
			if (answer.ok) {
				break;
			}
		}

		passedOver.delete(member.vm);
	};

	const passOver = (member: Member, message: string) => {
		if (isUsable(member.vm)) {
			emit(EVENTS.peerLost, {peer: member.vm, message});
			passedOver.add(member.vm);
			onUnreachable(member);
			void probe(member);
		}
	};

	return {
		async call(member, method, body, timeoutMs) {
			const answer = await peers.call({host: member.host, port: member.port}, method, body, timeoutMs);
			if (answer.ok) {
				return Ok(answer.val);
			}

			const {code, message} = answer.val;
			if (code !== 'peerTimeout' && code !== 'peerRefused') {
				passOver(member, message);
			}

			return Err({code: code === 'peerUnreachable' ? 'notSent' : 'lost', message});
		},
		async ping({host, port}) {
			const answer = await peers.call({host, port}, ALIVE_METHOD, undefined, PROBE_TIMEOUT_MS);
			return answer.ok;
		},
		isUsable,
		listen: async () => startPeerListener({host: settings.host, port: settings.port}, peerContext),
		async [Symbol.asyncDispose]() {
			closed = true;
			await peers[Symbol.asyncDispose]();
		},
	};
};
