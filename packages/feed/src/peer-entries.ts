/** Asks other vms for entries when the store turns this vm away and none of its relays has fresh ones. */

import {
	chooseEarliest, createDeadline, createNotifier, isPast, type Instant, type Result,
} from '@guavapitch/core';
import type {FeedContext} from './context.js';
import type {FeedResponse} from './relay-messages.js';

/** What is asked for, and the dependencies of asking. */
export type PeerEntriesContext = Pick<FeedContext, 'runtime' | 'readSuspensionClock' | 'listVms' | 'callRelay'> & Readonly<{
	prefix: string;
	/** Maximum age of entries that are of use, in milliseconds. */
	maxAgeMs: number;
	/** Time after which no more responses are waited for, in milliseconds; later ones are applied nevertheless. */
	timeoutMs: number;
	/** Called with a response whose entries are fresh enough, and the instant of the suspension clock at which they were certainly complete. */
	onEntries: (response: FeedResponse, completeAt: Instant) => void;
}>;

/** Fraction of the time limit after which the next vm is asked as well, if none has sent fresh entries yet. */
const NEXT_VM_FRACTION = 1 / 6;

/**
 * Asks vms, whatever their order in the fleet, one more at a time until one of them sends fresh entries. This cannot make vms confirm
 * each other's entries in a circle: the age of entries counts from the read of the store, whoever passed them on.
 */
export const requestPeerEntries = async ({
	runtime, readSuspensionClock, listVms, callRelay, prefix, maxAgeMs, timeoutMs, onEntries,
}: PeerEntriesContext): Promise<void> => {
	const deadline = createDeadline(runtime.now(), timeoutMs);
	const answered = createNotifier(runtime);
	let answerCount = 0;
	const hasAnswer = () => answerCount > 0;

	const ask = async (vm: string): Promise<void> => {
		const askedAt = readSuspensionClock();
		const response: Result<FeedResponse, unknown> = await callRelay(vm, {
			run: '', after: 0, waitMs: 0, only: {prefix, maxAgeMs},
		});
		const ageMs = response.ok ? response.val.prefixAgesMs?.[prefix] : undefined;
		if (response.ok && ageMs !== undefined && ageMs <= maxAgeMs) {
			onEntries(response.val, (askedAt - ageMs) as Instant);
			answerCount++;
			answered.notify();
		}
	};

	const vms = listVms().map(vm => ({vm, order: runtime.random()})).toSorted((a, b) => a.order - b.order);
	for (const {vm} of vms) {
		if (isPast(deadline, runtime.now())) {
			return;
		}

		void ask(vm);
		const nextAt = createDeadline(runtime.now(), timeoutMs * NEXT_VM_FRACTION);
		if ((await answered.waitUntil(hasAnswer, chooseEarliest([nextAt, deadline]))).ok) {
			return;
		}
	}
};
