/** Failures as values, distinguished by a literal `code`. */

/** Base of the failure types of every package. */
export type Failure<Code extends string = string> = Readonly<{
	/** Identifies the kind of failure. */
	code: Code;
	/** One sentence for a human reader. */
	message: string;
}>;

/** Failure of a wait: the deadline passed or the wait was aborted. */
export type WaitFailure = Failure<'timeout' | 'aborted'>;

/** Exception that carries a failure through code that can only throw. */
export class FailureError extends Error {
	override readonly name = 'FailureError';

	constructor(readonly failure: Failure) {
		super(failure.message);
	}
}

/** Returns the message of a thrown error, or another thrown value as JSON text. */
export const getErrorMessage = (thrown: unknown): string => thrown instanceof Error ? thrown.message : JSON.stringify(thrown) ?? 'unknown';

/** Tells whether a thrown value is an `AbortError`. */
export const isAbortError = (thrown: unknown): boolean => thrown instanceof Error && thrown.name === 'AbortError';
