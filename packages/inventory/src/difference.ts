/** Differences between two inventories. */

import type {Inventory} from './schemas.js';

/** One changed value, as JSON; `undefined` where the value does not exist. */
export type Difference = Readonly<{path: string; before: string | undefined; after: string | undefined}>;

const flatten = (value: unknown, path: string, values: Map<string, string>): ReadonlyMap<string, string> => {
	if (typeof value === 'object' && value !== null) {
		for (const [key, child] of Object.entries(value)) {
			flatten(child, path === '' ? key : `${path}.${key}`, values);
		}
	} else if (value !== undefined) {
		values.set(path, JSON.stringify(value));
	}

	return values;
};

const maskVerifier = (path: string, value: string | undefined): string | undefined => path.endsWith('.verifier') && value !== undefined ? '(verifier)' : value;

/** Compares two inventories value by value; returns the differences ordered by path, without the text of verifiers. */
export const compareInventories = (before: Inventory | undefined, after: Inventory): readonly Difference[] => {
	const oldValues = flatten(before ?? {}, '', new Map());
	const newValues = flatten(after, '', new Map());
	const paths = [...new Set([...oldValues.keys(), ...newValues.keys()])].toSorted((a, b) => a < b ? -1 : 1);
	return paths
		.filter(path => oldValues.get(path) !== newValues.get(path))
		.map(path => ({path, before: maskVerifier(path, oldValues.get(path)), after: maskVerifier(path, newValues.get(path))}));
};
