/** Memory of statements in progress and of frames between vms, taken from the budget of the process. */

import type {ByteBudget} from '@guavapitch/callers';
import type {PeerMemory} from '@guavapitch/peer-protocol';
import {
	computeRequestBytes, createRefusal, type StatementRequest, type StatementResponse,
} from '@guavapitch/sessions';

/** Time after which a caller should retry a statement for which there was no memory, in milliseconds: several times the usual duration of a statement. */
const NO_MEMORY_RETRY_MS = 300;

/** Runs a statement if there is memory for it while it is in progress; otherwise refuses it, and it has not run. A statement of a transaction that has begun always runs: their number is bounded by the connections to the targets. */
export const runWithinBudget = async (budget: ByteBudget, request: StatementRequest, run: (request: StatementRequest) => Promise<StatementResponse>): Promise<StatementResponse> => {
	const account = budget.openAccount();
	account.setCustomer(request.customer);
	const bytes = computeRequestBytes(request);
	if (request.transaction?.isFirst === false) {
		account.add(bytes);
	} else if (!account.tryAdd(bytes)) {
		account.close();
		return {
			outcome: createRefusal('busy', 'this vm has no memory for the statement now', NO_MEMORY_RETRY_MS),
			status: request.transaction ? 'failed' : 'idle',
			position: undefined,
			target: undefined,
			waitedMs: 0,
		};
	}

	try {
		return await run(request);
	} finally {
		account.close();
	}
};

/** Creates the memory of the connections to other vms. */
export const createPeerMemory = (budget: ByteBudget): PeerMemory => ({
	request(bytes, onGranted) {
		const account = budget.openAccount();
		account.reserve(bytes, onGranted);
		return account.close;
	},
	hold(bytes) {
		const account = budget.openAccount();
		account.add(bytes);
		return account.close;
	},
});
