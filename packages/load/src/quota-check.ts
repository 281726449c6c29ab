/** Checks recorded requests against a rate and a burst, independently of the clocks of the proxies. */

/** Admitted request as seen by its caller; wall-clock times in milliseconds, read in one process for all requests. */
export type AdmittedRequest = Readonly<{startedAt: number; endedAt: number}>;

/** Time window, in milliseconds of wall-clock time, in which more requests were admitted (`count`) than the quota allows (`allowed`). */
export type ExcessWindow = Readonly<{from: number; to: number; count: number; allowed: number}>;

const MS_PER_SECOND = 1000;

/** Finds the time window with the largest excess over rate × t + burst, with the rate in requests per second; `undefined` if there is none. A request counts only in windows that contain it from start to end. */
export const findExcessWindow = (requests: readonly AdmittedRequest[], quota: Readonly<{rate: number; burst: number}>): ExcessWindow | undefined => {
	const byEnd = requests.toSorted((a, b) => a.endedAt - b.endedAt);
	let worst: ExcessWindow | undefined;
	for (const {startedAt: from} of requests) {
		let count = 0;
		for (const {startedAt, endedAt: to} of byEnd) {
			if (startedAt < from) {
				continue;
			}

			count++;
			const allowed = quota.burst + (quota.rate * (to - from) / MS_PER_SECOND);
			if (count > allowed && (!worst || count - allowed > worst.count - worst.allowed)) {
				worst = {
					from, to, count, allowed,
				};
			}
		}
	}

	return worst;
};
