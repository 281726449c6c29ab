/** Classification of SQL statements. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {classifyStatement, isStateful} from '../classification.js';

describe('classifyStatement', () => {
	describe('reads', () => {
		it('are single statements that start with a reading keyword', () => {
			for (const text of ['SELECT 1', '  -- note\n select 1;', '/* a */ WITH x AS (SELECT 1) SELECT * FROM x', 'VALUES (1)', 'SHOW server_version']) {
				assert.equal(classifyStatement(text), 'read', text);
			}
		});
	});

	describe('writes', () => {
		it('are statements that may write, several statements at once and advisory locks', () => {
			for (const text of ['INSERT INTO a VALUES (1)', 'SELECT 1; DELETE FROM a', 'SELECT pg_advisory_lock(1)', 'CALL f()', 'SET LOCAL a = 1', 'COMMIT']) {
				assert.equal(classifyStatement(text), 'write', text);
			}
		});
	});

	describe('other classes', () => {
		it('are recognized by the first word', () => {
			assert.equal(classifyStatement('BEGIN'), 'begin');
			assert.equal(classifyStatement('start transaction'), 'begin');
			assert.equal(classifyStatement('SET a = 1'), 'session');
			assert.equal(classifyStatement('LISTEN c'), 'session');
			assert.equal(classifyStatement('COPY a FROM STDIN'), 'copy');
			assert.equal(classifyStatement(' ; -- nothing'), 'empty');
		});
	});
});

describe('isStateful', () => {
	it('recognizes statements whose effects may outlive a transaction', () => {
		assert.ok(isStateful('SELECT set_config(\'a\', \'b\', false)'));
		assert.ok(isStateful('CREATE TEMP TABLE t (a int)'));
		assert.ok(!isStateful('SELECT wording FROM motions'));
	});
});
