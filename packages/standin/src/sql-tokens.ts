/** Tokens of the SQL subset that the database stand-in understands. */

import {Err, Ok, type Result} from '@guavapitch/core';
import type {SqlFailure} from './sql-errors.js';

/** One token. */
export type Token = Readonly<{
	kind: 'word' | 'number' | 'text' | 'parameter' | 'symbol' | 'end';
	/** Words in lower case; texts without quotes. */
	value: string;
}>;

const PATTERNS: ReadonlyArray<readonly [Token['kind'] | 'skip', RegExp]> = [
	['skip', /\s+|--[^\n]*/vy],
	['word', /[A-Z_a-z][\w.]*/vy],
	['number', /\d+(?:\.\d+)?/vy],
	['text', /'(?:[^']|'')*'/vy],
	['word', /"[^"]+"/vy],
	['parameter', /\$\d+/vy],
	['symbol', /::|<=|>=|<>|!=|\|\||[\(\)*+,\-\/;<=>]/vy],
];

const END: Token = {kind: 'end', value: ''};

const cleanValue = (kind: Token['kind'], raw: string): string => {
	if (kind === 'text') {
		return raw.slice(1, -1).replaceAll('\'\'', '\'');
	}

	if (raw.startsWith('"')) {
		return raw.slice(1, -1);
	}

	return kind === 'word' ? raw.toLowerCase() : raw;
};

const matchAt = (text: string, offset: number) => {
	for (const [kind, pattern] of PATTERNS) {
		pattern.lastIndex = offset;
		const raw = pattern.exec(text)?.[0];
		if (raw !== undefined) {
			return {kind, raw};
		}
	}

	return undefined;
};

/** Splits SQL text into tokens. */
export const splitTokens = (text: string): Result<readonly Token[], SqlFailure> => {
	const tokens: Token[] = [];
	let offset = 0;
	while (offset < text.length) {
		const found = matchAt(text, offset);
		if (!found) {
			return Err({code: '42601', message: `syntax error at or near "${text.slice(offset, offset + 10)}"`});
		}

		if (found.kind !== 'skip') {
			tokens.push({kind: found.kind, value: cleanValue(found.kind, found.raw)});
		}

		offset += found.raw.length;
	}

	return Ok([...tokens, END]);
};
