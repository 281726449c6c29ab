/** Calls between vms. */

import {
	Err, isPast, Ok, createDeadline, PAST, type Deadline, type Failure, type Result, type VmId, type World,
} from '@guavapitch/core';
import {
	createDial, createPeers, startPeerListener, type Listener, type PeerContext, type PeerHandlers, type Peers,
} from '@guavapitch/peer-protocol';
import {createCausalClock, EVENTS, type CausalTime} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import type {Member} from './members.js';

/** Failure of a call: whether the other vm may have acted on it. */
export type CallFailure = Failure<'notSent' | 'lost'>;

/** Calls to other vms. */
export type VmCalls = AsyncDisposable & Readonly<{
	call: (member: Member, method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, CallFailure>>;
	/** Tells whether a vm may be tried: it did not just refuse or stay silent. */
	isUsable: (vm: VmId) => boolean;
	listen: () => Promise<Listener>;
}>;

/** Time for which a vm is passed over after a failed connection, in milliseconds. */
const PASS_OVER_MS = 1000;

/** Creates the calls of a vm. */
export const createVmCalls = (context: VmContext, handlers: PeerHandlers): VmCalls => {
	const {world, settings, emit} = context;
	const clock = createCausalClock(world.readWallClock);
	const passedOver = new Map<VmId, Deadline>();
	const peerContext: PeerContext = {
		world,
		identity: {vm: settings.vm, incarnation: settings.run},
		handlers,
		readTime: () => clock.read() as CausalTime,
		witnessTime(time) {
			clock.witness(time);
		},
		onMalformed(failure) {
			emit(EVENTS.frameRefused, {message: failure.message});
		},
	};
	const peers: Peers = createPeers(peerContext, createDial());

	const isUsable = (vm: VmId) => isPast(passedOver.get(vm) ?? PAST, world.now());

	const passOver = (member: Member, message: string) => {
		if (isUsable(member.vm)) {
			emit(EVENTS.peerLost, {peer: member.vm, message});
		}

		passedOver.set(member.vm, createDeadline(world.now(), PASS_OVER_MS));
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
		isUsable,
		listen: async () => startPeerListener({host: settings.host, port: settings.port}, peerContext),
		async [Symbol.asyncDispose]() {
			await peers[Symbol.asyncDispose]();
		},
	};
};

/** Waits at most some time for a promise; `undefined` if it takes longer. */
export const waitAtMost = async <Value>(world: World, promise: Promise<Value>, ms: number): Promise<Value | undefined> => {
	let cancel: (() => void) | undefined;
	const late = new Promise<undefined>(resolve => {
		cancel = world.schedule(ms, () => {
			resolve(undefined);
		});
	});
	const first = await Promise.race([promise, late]);
	cancel?.();
	return first;
};
