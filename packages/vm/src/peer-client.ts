/** Calls between vms. */

import {
	Err, Ok, type Failure, type Result, type VmId,
} from '@guavapitch/core';
import {
	LIVENESS_METHOD, createDial, createPeerConnections, startPeerListener, type PeerListener, type PeerContext, type PeerFailure, type PeerHandlers, type PeerConnections,
} from '@guavapitch/peer-protocol';
import {createHybridLogicalClock, EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import type {Member} from './members.js';
import {createPeerMemory} from './work-memory.js';

/** Failure of a call: `notSent` did not reach the other vm, after `lost` the other vm may have executed it. */
export type CallFailure = Failure<'notSent' | 'lost'>;

/** Client for calls to other vms. */
export type PeerClient = AsyncDisposable & Readonly<{
	/** Calls a method of a vm. If the vm cannot be reached or the connection is lost, it is excluded; if there is no connection within the call's time limit, it is excluded unless it answers a probe. A timeout, a refusal by the vm or a body that is too large does not exclude it. */
	call: (member: Member, method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, CallFailure>>;
	/** Sends a liveness probe to a vm; resolves to whether it answered in time. */
	ping: (member: Member, timeoutMs: number) => Promise<boolean>;
	/** Tells whether a vm may be called. A vm that could not be reached is excluded until a probe succeeds or the vm is no longer a member. */
	isUsable: (vm: VmId) => boolean;
	/** Starts to accept calls from other vms; rejects if the address of this vm cannot be bound. */
	listen: () => Promise<PeerListener>;
}>;

/** Mean pause between probes of an excluded vm, in milliseconds. */
const PROBE_INTERVAL_MS = 300;
const PROBE_TIMEOUT_MS = 500;

/** Time in which a vm without an open connection must answer a probe, in milliseconds, before it is excluded. */
const CONNECT_TIMEOUT_MS = 1000;
/** Failures that do not show that a vm cannot be reached, and failures after which it has not received the call. */
const HARMLESS_FAILURES: ReadonlySet<PeerFailure['code']> = new Set(['peerTimeout', 'peerRefused', 'frameTooLarge']);
const NOT_SENT_FAILURES: ReadonlySet<PeerFailure['code']> = new Set(['peerUnreachable', 'connectTimeout', 'frameTooLarge']);

/** Functions with which the peer client checks membership and reports unreachable vms. */
export type MembershipHooks = Readonly<{
	/** Tells whether a vm is still a member. */
	isMember: (member: Member) => boolean;
	/** Called when a vm could not be reached. */
	onUnreachable: (member: Member) => void;
	/** Called when a vm has been silent for a while although a reply from it is pending. */
	onSilence: (vm: string) => void;
}>;

/** Creates the peer client of a vm; `handlers` serve the calls of other vms. */
export const createPeerClient = (context: VmContext, handlers: PeerHandlers, {isMember, onUnreachable, onSilence}: MembershipHooks): PeerClient => {
	const {runtime, settings, emit} = context;
	const clock = createHybridLogicalClock(runtime.readWallClock);
	const excludedVms = new Set<VmId>();
	/** Vms that are probed because a connection was not open in time. */
	const connectingVms = new Set<VmId>();
	let isClosed = false;
	const peerContext: PeerContext = {
		runtime,
		identity: {vm: settings.vm, incarnation: settings.run},
		handlers,
		readTime: () => clock.read(),
		observeTime(time) {
			clock.observe(time);
		},
		onSilence({vm}) {
			onSilence(vm);
		},
		onMalformedFrame(failure) {
			emit(EVENTS.frameRefused, {message: failure.message});
		},
		memory: createPeerMemory(context.workBudget),
	};
	const peers: PeerConnections = createPeerConnections(peerContext, createDial());

	const isUsable = (vm: VmId) => !excludedVms.has(vm);

	/** Probes a vm until it answers or is no longer a member, then includes it again; no request waits for this. */
	const probe = async (member: Member): Promise<void> => {
		const address = {host: member.host, port: member.port};
		while (!isClosed && isMember(member)) {
			await runtime.sleep(PROBE_INTERVAL_MS * (0.5 + runtime.random()));
			const response = await peers.call(address, LIVENESS_METHOD, undefined, PROBE_TIMEOUT_MS);
			if (response.ok) {
				break;
			}
		}

		excludedVms.delete(member.vm);
	};

	const exclude = (member: Member, message: string) => {
		if (isUsable(member.vm)) {
			emit(EVENTS.peerLost, {peer: member.vm, message});
			excludedVms.add(member.vm);
			onUnreachable(member);
			void probe(member);
		}
	};

	/** Excludes a vm unless it answers a probe: a call with a short time limit may end before a sound vm has accepted the connection. */
	const checkConnecting = async (member: Member, message: string): Promise<void> => {
		if (connectingVms.has(member.vm) || !isUsable(member.vm)) {
			return;
		}

		connectingVms.add(member.vm);
		const response = await peers.call({host: member.host, port: member.port}, LIVENESS_METHOD, undefined, CONNECT_TIMEOUT_MS);
		connectingVms.delete(member.vm);
		if (response.err && !isClosed) {
			exclude(member, message);
		}
	};

	const handleFailure = (member: Member, code: PeerFailure['code'], message: string) => {
		if (code === 'connectTimeout') {
			void checkConnecting(member, message);
		} else if (!HARMLESS_FAILURES.has(code)) {
			exclude(member, message);
		}
	};

	return {
		async call(member, method, body, timeoutMs) {
			const response = await peers.call({host: member.host, port: member.port}, method, body, timeoutMs);
			if (response.ok) {
				return Ok(response.val);
			}

			const {code, message} = response.val;
			handleFailure(member, code, message);
			return Err({code: NOT_SENT_FAILURES.has(code) ? 'notSent' : 'lost', message});
		},
		async ping({host, port}, timeoutMs) {
			const response = await peers.call({host, port}, LIVENESS_METHOD, undefined, timeoutMs);
			return response.ok;
		},
		isUsable,
		listen: async () => startPeerListener({host: settings.host, port: settings.port}, peerContext),
		async [Symbol.asyncDispose]() {
			isClosed = true;
			await peers[Symbol.asyncDispose]();
		},
	};
};
