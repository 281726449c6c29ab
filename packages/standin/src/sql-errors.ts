/** Errors of the database stand-in; their code is the SQLSTATE. */

import type {Failure} from '@guavapitch/core';

/** Failure of a statement; the code is the SQLSTATE. */
export type SqlFailure = Failure;

/** Error thrown while a statement is parsed or executed; the code is the SQLSTATE. */
export class SqlError extends Error {
	override readonly name = 'SqlError';

	constructor(readonly code: string, message: string) {
		super(message);
	}
}
