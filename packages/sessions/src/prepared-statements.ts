/** Prepared statements of one caller. The caller names them; owners identify them by hash, independent of the name. */

import {createHash} from 'node:crypto';
import type {PreparedStatement} from './requests.js';

/** Prepared statements of one caller, by name. */
export type PreparedStatementMap = Readonly<{
	get: (name: string) => PreparedStatement | undefined;
	set: (name: string, statement: PreparedStatement) => void;
	remove: (name: string) => void;
}>;

/** Number of hexadecimal digits of the SHA-256 hash that are used. */
const HASH_LENGTH = 24;

/** Creates a prepared statement; the hash is computed from its text and its encoded parameter types. */
export const createPreparedStatement = (text: string, types: Uint8Array): PreparedStatement => ({
	hash: `g${createHash('sha256').update(text).update('\u0000').update(types).digest('hex').slice(0, HASH_LENGTH)}`, text, types,
});

/** Creates an empty map of prepared statements. */
export const createPreparedStatementMap = (): PreparedStatementMap => {
	const statements = new Map<string, PreparedStatement>();
	return {
		get: name => statements.get(name),
		set(name, statement) {
			statements.set(name, statement);
		},
		remove(name) {
			statements.delete(name);
		},
	};
};
