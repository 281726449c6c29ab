/** Timers of a real process. */

import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {createRuntime} from '../runtime.js';

/** Time in which a timer that fires at once would have fired, in milliseconds. */
const AT_ONCE_MS = 50;

describe('runtime', () => {
	describe('with a delay that is longer than a timer of Node can hold', () => {
		// An idle limit of transactions of more than 24.8 days ended each of them at its first pause, and a timeout of that length passed at once.
		for (const ms of [2 ** 31, 1e12, Number.POSITIVE_INFINITY]) {
			it(`does not fire at once: ${ms} ms`, async () => {
				const runtime = createRuntime();
				const ended: string[] = [];
				const controller = new AbortController();
				const cancel = runtime.schedule(ms, () => {
					ended.push('task');
				});
				const sleeping = runtime.sleep(ms, controller.signal).then(() => {
					ended.push('sleep');
				}, () => undefined);
				await delay(AT_ONCE_MS);
				assert.deepEqual(ended, []);
				cancel();
				controller.abort();
				await sleeping;
			});
		}
	});
});
