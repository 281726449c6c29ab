/** Prepared statements of one caller, by name; homes know them by hash. */

import {createHash} from 'node:crypto';
import type {PreparedStatement} from './requests.js';

/** Names of one caller. */
export type PreparedStatementMap = Readonly<{
	get: (name: string) => PreparedStatement | undefined;
	set: (name: string, statement: PreparedStatement) => void;
	remove: (name: string) => void;
}>;

const HASH_LENGTH = 24;

/** Creates the statement of a text and its parameter types. */
export const createPreparedStatement = (text: string, types: Uint8Array): PreparedStatement => ({
	hash: `g${createHash('sha256').update(text).update('\u0000').update(types).digest('hex').slice(0, HASH_LENGTH)}`, text, types,
});

/** Creates the names of a caller that has prepared nothing. */
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
