/** Difference between two inventories. */

import type {Inventory} from './schemas.js';

/** One changed value. */
export type Difference = Readonly<{path: string; before: string | undefined; after: string | undefined}>;

const flatten = (value: unknown, path: string, into: Map<string, string>): ReadonlyMap<string, string> => {
	if (typeof value === 'object' && value !== null) {
		for (const [key, inner] of Object.entries(value)) {
			flatten(inner, path === '' ? key : `${path}.${key}`, into);
		}
	} else if (value !== undefined) {
		into.set(path, JSON.stringify(value));
	}

	return into;
};

const hideSecret = (path: string, text: string | undefined): string | undefined => path.endsWith('.verifier') && text !== undefined ? '(verifier)' : text;

/** Compares two inventories value by value; verifiers are not shown. */
export const compareInventories = (before: Inventory | undefined, after: Inventory): readonly Difference[] => {
	const old = flatten(before ?? {}, '', new Map());
	const next = flatten(after, '', new Map());
	const paths = [...new Set([...old.keys(), ...next.keys()])].toSorted((a, b) => a < b ? -1 : 1);
	return paths
		.filter(path => old.get(path) !== next.get(path))
		.map(path => ({path, before: hideSecret(path, old.get(path)), after: hideSecret(path, next.get(path))}));
};
