/** Failures, told apart by a literal `code`. */

/** Shape that every failure of every package has. */
export type Failure<Code extends string = string> = Readonly<{
	/** Tells failures apart. */
	code: Code;
	/** One sentence for a person. */
	message: string;
}>;

/** Failure of waiting: the deadline passed or the owner was disposed. */
export type WaitFailure = Failure<'timeout' | 'aborted'>;

/** Exception that carries a failure across an edge where only throwing is possible. */
export class FailureError extends Error {
	override readonly name = 'FailureError';

	constructor(readonly failure: Failure) {
		super(failure.message);
	}
}

/** Gets the message of anything that was thrown. */
export const getMessage = (thrown: unknown): string => thrown instanceof Error ? thrown.message : JSON.stringify(thrown) ?? 'unknown';

/** Tells whether something thrown is an abort. */
export const isAbort = (thrown: unknown): boolean => thrown instanceof Error && thrown.name === 'AbortError';
