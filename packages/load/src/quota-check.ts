/** Checks a recorded history against rate and burst, whatever the clocks of the processes said. */

/** A request that was let through, as its caller saw it; wall times in milliseconds, all of one process. */
export type AdmittedRequest = Readonly<{startedAt: number; endedAt: number}>;

/** A window in which more was let through than the share allows. */
export type ExcessWindow = Readonly<{from: number; to: number; count: number; allowed: number}>;

const MILLISECONDS = 1000;

/** Finds the window with the largest excess over rate × t + burst; `undefined` if there is none. A request counts in a window that it certainly lay in. */
export const findExcessWindow = (requests: readonly AdmittedRequest[], share: Readonly<{rate: number; burst: number}>): ExcessWindow | undefined => {
	const byEnd = requests.toSorted((a, b) => a.endedAt - b.endedAt);
	let worst: ExcessWindow | undefined;
	for (const {startedAt: from} of requests) {
		let count = 0;
		for (const {startedAt, endedAt: to} of byEnd) {
			if (startedAt < from) {
				continue;
			}

			count++;
			const allowed = share.burst + (share.rate * (to - from) / MILLISECONDS);
			if (count > allowed && (!worst || count - allowed > worst.count - worst.allowed)) {
				worst = {
					from, to, count, allowed,
				};
			}
		}
	}

	return worst;
};
