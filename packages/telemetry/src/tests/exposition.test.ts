/** Guards against metrics that Prometheus cannot read: missing labels or histogram buckets that are not cumulative. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatMetrics} from '../exposition.js';
import {openMetrics} from '../metrics.js';

describe('metrics in the Prometheus format', () => {
	it('carry their labels, with cumulative histogram buckets', async () => {
		await using metrics = openMetrics();
		metrics.count('outcomes', {kind: 'busy'}, 3);
		metrics.time('statement', 7, {outcome: 'done'});
		metrics.time('statement', 9000, {outcome: 'done'});
		const lines = new Set(formatMetrics(metrics).split('\n'));
		assert.ok(lines.has('guavapitch_outcomes{kind="busy"} 3'));
		assert.ok(lines.has('guavapitch_statement_ms_bucket{outcome="done",le="5"} 0'));
		assert.ok(lines.has('guavapitch_statement_ms_bucket{outcome="done",le="10"} 1'));
		assert.ok(lines.has('guavapitch_statement_ms_bucket{outcome="done",le="+Inf"} 2'));
		assert.ok(lines.has('guavapitch_statement_ms_count{outcome="done"} 2'));
	});
});
