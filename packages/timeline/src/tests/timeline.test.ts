/** Parsing, merging, filtering and formatting of events. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createHybridLogicalClock, formatEvent, type EventRecord} from '@guavapitch/telemetry';
import {filterEvents, mergeEvents, parseEvents} from '../merge.js';
import {drawTimeline} from '../svg.js';

const createEvent = (vm: string, hlc: readonly [number, number], fields: EventRecord['fields'] = {}): EventRecord => ({
	program: 'p', vm, incarnation: 'i', id: 1601, level: 'warn', title: 'failover started', hlc, at: new Date(hlc[0]).toISOString(), fields,
});

describe('time line', () => {
	describe('hybrid clocks', () => {
		it('order an effect after its cause when the wall clocks are skewed', () => {
			const ahead = createHybridLogicalClock(() => 5000);
			const behind = createHybridLogicalClock(() => 1000);
			const cause = ahead.read();
			behind.observe(cause);
			const effect = behind.read();
			const merged = mergeEvents([[createEvent('b', effect)], [createEvent('a', cause)]]);
			assert.deepEqual(merged.map(event => event.vm), ['a', 'b']);
		});
	});

	describe('filters', () => {
		it('keep only the events that meet every condition', () => {
			const events = [createEvent('a', [1, 0], {database: 'x', term: 2}), createEvent('b', [2, 0], {database: 'y'})];
			assert.equal(filterEvents(events, {database: 'x', term: 2}).length, 1);
			assert.equal(filterEvents(events, {ids: [1605]}).length, 0);
			assert.equal(filterEvents(events, {}).length, 2);
		});
	});

	describe('parsing and formatting', () => {
		it('include every event with its fields, which are escaped in SVG', () => {
			const event = createEvent('a', [1, 0], {reason: '<b>'});
			assert.match(formatEvent(event), /1601 failover started reason=<b>/v);
			assert.match(drawTimeline([event]), /&lt;b&gt;/v);
		});

		it('report the number of a line that cannot be parsed', () => {
			const parsed = parseEvents(`${JSON.stringify(createEvent('a', [1, 0]))}\nnot json\n`);
			assert.ok(parsed.err && parsed.val.message.startsWith('line 2'));
		});

		it('report a line of JSON that is not an event', () => {
			for (const line of ['{}', '[]', 'null', '5', JSON.stringify({...createEvent('a', [1, 0]), hlc: ['1', 0]})]) {
				const parsed = parseEvents(line);
				assert.equal(parsed.err && parsed.val.message, 'line 1: not an event');
			}
		});
	});
});
