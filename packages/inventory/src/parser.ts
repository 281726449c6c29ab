/** Parses inventory files. */

import {
	isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import {Err, Ok, type Result} from '@guavapitch/core';
import {createInventoryFailure, type InventoryFailure, type InventoryIssue} from './errors.js';
import {findBrokenReferences} from './references.js';
import {inventorySchema, type Inventory} from './schemas.js';

type Path = ReadonlyArray<string | number>;

const findLine = (document: Document, lineCounter: LineCounter, path: Path): number => {
	for (let {length} = path; length > 0; length--) {
		const node: unknown = document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return lineCounter.linePos(node.range[0]).line;
		}
	}

	return 1;
};

/** Parses an inventory in YAML and validates it; each error has its line number, its path and a message, such as the expected value. */
export const parseInventory = (text: string): Result<Inventory, InventoryFailure> => {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, prettyErrors: false});
	const createIssue = (path: Path, message: string): InventoryIssue => ({path: path.join('.'), line: findLine(document, lineCounter, path), message});
	if (document.errors.length > 0) {
		return Err(createInventoryFailure(document.errors.map(error => ({path: '', line: lineCounter.linePos(error.pos[0]).line, message: error.message}))));
	}

	const parsed = inventorySchema.safeParse(document.toJS());
	if (!parsed.success) {
		return Err(createInventoryFailure(parsed.error.issues.map(issue => createIssue(issue.path.map(part => typeof part === 'number' ? part : String(part)), issue.message))));
	}

	const brokenReferences = findBrokenReferences(parsed.data);
	return brokenReferences.length > 0
		? Err(createInventoryFailure(brokenReferences.map(({path, message}) => createIssue(path, message))))
		: Ok(parsed.data);
};
