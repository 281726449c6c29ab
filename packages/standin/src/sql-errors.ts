/** Failures of the database stand-in; the code is the SQLSTATE. */

import type {Failure} from '@guavapitch/core';

/** Failure of a statement. */
export type SqlFailure = Failure;

/** Exception inside the stand-in's engine. */
export class SqlError extends Error {
	override readonly name = 'SqlError';

	constructor(readonly code: string, message: string) {
		super(message);
	}
}
