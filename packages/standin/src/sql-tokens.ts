/** Tokenizer of the SQL subset that the database stand-in supports. */

import {Err, Ok, type Result} from '@guavapitch/core';
import type {SqlFailure} from './sql-errors.js';

/** Token of an SQL text. */
export type Token = Readonly<{
	kind: 'word' | 'number' | 'text' | 'parameter' | 'symbol' | 'end';
	/** Text of the token; words are in lower case, and string literals and quoted identifiers have no quotes. */
	value: string;
}>;

const TOKEN_PATTERNS: ReadonlyArray<readonly [Token['kind'] | 'skip', RegExp]> = [
	['skip', /\s+|--[^\n]*/vy],
	['word', /[A-Z_a-z][\w.]*/vy],
	['number', /\d+(?:\.\d+)?/vy],
	['text', /'(?:[^']|'')*'/vy],
	['word', /"[^"]+"/vy],
	['parameter', /\$\d+/vy],
	['symbol', /::|<=|>=|<>|!=|\|\||[\(\)*+,\-\/;<=>]/vy],
];

const END: Token = {kind: 'end', value: ''};

const normalizeValue = (kind: Token['kind'], raw: string): string => {
	if (kind === 'text') {
		return raw.slice(1, -1).replaceAll('\'\'', '\'');
	}

	if (raw.startsWith('"')) {
		return raw.slice(1, -1);
	}

	return kind === 'word' ? raw.toLowerCase() : raw;
};

const matchAt = (text: string, offset: number) => {
	for (const [kind, pattern] of TOKEN_PATTERNS) {
		pattern.lastIndex = offset;
		const raw = pattern.exec(text)?.[0];
		if (raw !== undefined) {
			return {kind, raw};
		}
	}

	return undefined;
};

/** Splits SQL text into tokens, the last of kind `end`; comments are skipped. Fails with the SQLSTATE of a syntax error at a character that starts no token. */
export const splitTokens = (text: string): Result<readonly Token[], SqlFailure> => {
	const tokens: Token[] = [];
	let offset = 0;
	while (offset < text.length) {
		const match = matchAt(text, offset);
		if (!match) {
			return Err({code: '42601', message: `syntax error at or near "${text.slice(offset, offset + 10)}"`});
		}

		if (match.kind !== 'skip') {
			tokens.push({kind: match.kind, value: normalizeValue(match.kind, match.raw)});
		}

		offset += match.raw.length;
	}

	return Ok([...tokens, END]);
};
