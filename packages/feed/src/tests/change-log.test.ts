/** Log of changes for followers. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createChangeLog} from '../change-log.js';
import {createChange} from '../entries.js';

const createPut = (key: string, revision: number, value = 'v') => createChange({
	key, value, era: 1, revision, createdRevision: revision,
});

describe('change log', () => {
	// Every version of a large configuration was kept until all processes ran out of memory.
	it('holds only the last change of a key, however often it changes', () => {
		const log = createChangeLog(10);
		for (let revision = 1; revision <= 1000; revision++) {
			log.add([createPut('config', revision)]);
		}

		assert.equal(log.getLastNumber(), 1000);
		assert.equal(log.isCompleteAfter(0), true);
		assert.deepEqual(log.listAfter(0).map(({revision}) => revision), [1000]);
		assert.deepEqual(log.listAfter(1000), []);
	});

	it('lists what has changed after a number, in the order of the changes', () => {
		const log = createChangeLog(10);
		log.add([createPut('a', 1), createPut('b', 2), createPut('c', 3), createPut('a', 4)]);
		assert.deepEqual(log.listAfter(1).map(({key}) => key), ['b', 'c', 'a']);
		assert.deepEqual(log.listAfter(3).map(({key}) => key), ['a']);
	});

	it('is incomplete for followers that lack a change which was dropped', () => {
		const log = createChangeLog(2);
		log.add([createPut('a', 1), createPut('b', 2), createPut('c', 3)]);
		assert.equal(log.isCompleteAfter(0), false);
		assert.equal(log.isCompleteAfter(1), true);
		assert.deepEqual(log.listAfter(1).map(({key}) => key), ['b', 'c']);
	});

	it('is incomplete for a number that it has not reached', () => {
		assert.equal(createChangeLog(2).isCompleteAfter(1), false);
		assert.equal(createChangeLog(2).isCompleteAfter(0), true);
	});
});
