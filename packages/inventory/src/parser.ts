/** Parsing of an inventory file. */

import {
	isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import {Err, Ok, type Result} from '@guavapitch/core';
import {createInventoryFailure, type InventoryFailure, type InventoryIssue} from './errors.js';
import {findBrokenReferences} from './references.js';
import {inventorySchema, type Inventory} from './schemas.js';

type Path = ReadonlyArray<string | number>;

const findLine = (document: Document, counter: LineCounter, path: Path): number => {
	for (let {length} = path; length > 0; length--) {
		const node: unknown = document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return counter.linePos(node.range[0]).line;
		}
	}

	return 1;
};

/** Parses and checks an inventory; every failure names its line, its path and what was expected. */
export const parseInventory = (text: string): Result<Inventory, InventoryFailure> => {
	const counter = new LineCounter();
	const document = parseDocument(text, {lineCounter: counter, prettyErrors: false});
	const createIssue = (path: Path, message: string): InventoryIssue => ({path: path.join('.'), line: findLine(document, counter, path), message});
	if (document.errors.length > 0) {
		return Err(createInventoryFailure(document.errors.map(error => ({path: '', line: counter.linePos(error.pos[0]).line, message: error.message}))));
	}

	const parsed = inventorySchema.safeParse(document.toJS());
	if (!parsed.success) {
		return Err(createInventoryFailure(parsed.error.issues.map(issue => createIssue(issue.path.map(part => typeof part === 'number' ? part : String(part)), issue.message))));
	}

	const broken = findBrokenReferences(parsed.data);
	return broken.length > 0
		? Err(createInventoryFailure(broken.map(({path, message}) => createIssue(path, message))))
		: Ok(parsed.data);
};
