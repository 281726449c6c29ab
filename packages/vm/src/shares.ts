/** Shares of customers over the fleet: this vm's tokens, and the keeper that gives them. */

import {
	createDeadline, Err, Ok, PAST, type CustomerId, type Deadline, type Failure, type Result,
} from '@guavapitch/core';
import {
	createAllowances, createKeeper, type Allotment, type AllotmentRequest, type Allowances, type Keeper, type Share,
} from '@guavapitch/limits';
import type {Stewardships} from '@guavapitch/roles';
import type {VmContext} from './context.js';
import type {Member} from './members.js';
import type {VmCalls} from './peers.js';
import type {View} from './view.js';

/** Duty of the keeper of all customers. */
export const KEEPER_DUTY = 'shares';
/** Method by which vms ask the keeper. */
export const ALLOT_METHOD = 'allot';

/** What a vm asks the keeper, with what it knows of the store. */
export type AllotQuestion = Readonly<{request: AllotmentRequest; feedAgeMs: number}>;

/** Shares at one vm. */
export type Shares = Readonly<{
	allowances: Allowances;
	/** Answers as keeper; `undefined` if this vm is not the keeper. */
	allot: (question: AllotQuestion) => Allotment | undefined;
}>;

/** What the shares need of the vm. */
export type SharesParts = Readonly<{
	view: View;
	calls: () => VmCalls;
	duties: () => Stewardships;
	getFeedAgeMs: () => number;
}>;

const ALLOT_TIMEOUT_MS = 300;
/** Validity of the keeper's authority at each answer, in milliseconds; it is checked again at the next one. */
const AUTHORITY_MS = 1000;
/** Age of knowledge above which a vm cannot have heard of another keeper, in milliseconds. */
const BLIND_MS = 1500;

/** Part of a burst that may be spent without the keeper, which may have given the whole of it away just before. */
const OWN_BURST_PART = 0.3;

/** Creates the shares of a vm. */
export const createShares = (context: VmContext, parts: SharesParts): Shares => {
	const {world, settings} = context;
	const {view} = parts;
	let keeper: Keeper | undefined;
	let keeperEpoch = -1;
	/** When somebody that knows the store's present state last asked while this vm's lease had lapsed. */
	let contradictedAt = Number.NEGATIVE_INFINITY;

	/**
	 * A keeper whose lease cannot be renewed goes on while nobody who asks it is in touch with the store:
	 * then nobody can have taken its place.
	 */
	const getAuthority = (): Deadline => {
		const isSure = parts.duties().isHeld(KEEPER_DUTY);
		const isBlind = parts.getFeedAgeMs() > BLIND_MS && world.now() - contradictedAt > BLIND_MS;
		return isSure || isBlind ? createDeadline(world.now(), AUTHORITY_MS) : PAST;
	};

	const getKeeper = (): Keeper | undefined => {
		const holder = parts.duties().getHolder(KEEPER_DUTY);
		if (holder?.run !== settings.run) {
			keeper = undefined;
			return undefined;
		}

		if (!keeper || keeperEpoch !== holder.epoch) {
			keeperEpoch = holder.epoch;
			keeper = createKeeper({
				world, epoch: holder.epoch, getAuthority, getShare: customer => view.getRules()?.shares.get(customer),
			});
		}

		return keeper;
	};

	const allot = ({request, feedAgeMs}: AllotQuestion): Allotment | undefined => {
		if (feedAgeMs < BLIND_MS && !parts.duties().isHeld(KEEPER_DUTY)) {
			contradictedAt = world.now();
		}

		return getKeeper()?.allot(request);
	};

	const findKeeper = (): Member | undefined => {
		const holder = parts.duties().getHolder(KEEPER_DUTY);
		return holder && view.listMembers().find(({run}) => run === holder.run);
	};

	const ask = async (request: AllotmentRequest): Promise<Result<Allotment, Failure>> => {
		const question: AllotQuestion = {request, feedAgeMs: Math.round(Math.min(parts.getFeedAgeMs(), Number.MAX_SAFE_INTEGER))};
		const member = findKeeper();
		if (!member) {
			return Err({code: 'noKeeper', message: 'No keeper is known'});
		}

		if (member.run === settings.run) {
			const own = allot(question);
			return own ? Ok(own) : Err({code: 'noKeeper', message: 'This vm is no longer the keeper'});
		}

		const answer = await parts.calls().call(member, ALLOT_METHOD, question, ALLOT_TIMEOUT_MS);
		if (answer.err) {
			return answer;
		}

		return answer.val ? Ok(answer.val as Allotment) : Err({code: 'noKeeper', message: 'The vm is not the keeper'});
	};

	/** A database has one home, so that equal parts for each database add up to the share. */
	const getOwnPart = (customer: CustomerId): Share | undefined => {
		const rules = view.getRules();
		const share = rules?.shares.get(customer);
		const parts = Math.max(1, rules?.databases.size ?? 1);
		return share && {rate: share.rate / parts, burst: Math.max(1, share.burst * OWN_BURST_PART / parts)};
	};

	return {
		allowances: createAllowances(ask, world, getOwnPart),
		allot,
	};
};
