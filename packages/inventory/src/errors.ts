/** Failures of reading an inventory. */

import type {Failure} from '@guavapitch/core';

/** One thing wrong with an inventory. */
export type InventoryIssue = Readonly<{
	/** Path to the value, such as `customers.klub-a.rate`. */
	path: string;
	/** Line in the file, from 1. */
	line: number;
	/** What was expected. */
	message: string;
}>;

/** Failure of reading an inventory. */
export type InventoryFailure = Failure<'inventoryInvalid'> & Readonly<{issues: readonly InventoryIssue[]}>;

/** Creates the failure of an inventory. */
export const createInventoryFailure = (issues: readonly InventoryIssue[]): InventoryFailure => ({
	code: 'inventoryInvalid',
	message: issues.map(issue => `line ${issue.line}: ${issue.path}: ${issue.message}`).join('\n'),
	issues,
});
