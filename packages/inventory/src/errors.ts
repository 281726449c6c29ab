/** Failures of parsing an inventory. */

import type {Failure} from '@guavapitch/core';

/** One error in an inventory. */
export type InventoryIssue = Readonly<{
	/** Path of the value, such as `customers.klub-a.rate`. */
	path: string;
	/** Line number in the file, starting at 1. */
	line: number;
	/** Description of the error, such as the expected value. */
	message: string;
}>;

/** Failure of parsing an inventory, with all errors that were found. */
export type InventoryFailure = Failure<'inventoryInvalid'> & Readonly<{issues: readonly InventoryIssue[]}>;

/** Creates the failure for a list of errors; its message has one line for each. */
export const createInventoryFailure = (issues: readonly InventoryIssue[]): InventoryFailure => ({
	code: 'inventoryInvalid',
	message: issues.map(issue => `line ${issue.line}: ${issue.path}: ${issue.message}`).join('\n'),
	issues,
});
