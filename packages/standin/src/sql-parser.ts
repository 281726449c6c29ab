/** Parser of the SQL subset that the database stand-in supports. */

import {
	Err, Ok, getErrorMessage, type Result,
} from '@guavapitch/core';
import type {
	Column, Expression, OutputColumn, TableSource, Statement,
} from './sql-ast.js';
import {SqlError, type SqlFailure} from './sql-errors.js';
import {splitTokens, type Token} from './sql-tokens.js';

/** Read position in a list of tokens. */
type Cursor = Readonly<{
	/** Returns the token at a distance from the read position, without consuming it. */
	peek: (ahead?: number) => Token;
	/** Consumes the next token. */
	next: () => Token;
	/** Consumes the given words or symbols if they come next, and returns whether they did. */
	takeIf: (...values: readonly string[]) => boolean;
	/** Consumes the given word or symbol; throws a syntax error if another token comes next. */
	expect: (value: string) => void;
	/** Consumes a name; throws a syntax error if another token comes next. */
	takeName: () => string;
}>;

const END: Token = {kind: 'end', value: ''};

const createCursor = (tokens: readonly Token[]): Cursor => {
	let offset = 0;
	const peek = (ahead = 0): Token => tokens[offset + ahead] ?? END;
	const next = (): Token => {
		const token = peek();
		offset++;
		return token;
	};

	const matches = (token: Token, value: string) => token.value === value && token.kind !== 'text';
	const throwSyntaxError = (): never => {
		throw new SqlError('42601', `syntax error at or near "${peek().value}"`);
	};

	const takeIf = (...values: readonly string[]): boolean => {
		if (!values.every((value, index) => matches(peek(index), value))) {
			return false;
		}

		offset += values.length;
		return true;
	};

	return {
		peek,
		next,
		takeIf,
		expect(value) {
			if (!takeIf(value)) {
				throwSyntaxError();
			}
		},
		takeName() {
			const token = next();
			return token.kind === 'word' ? token.value : throwSyntaxError();
		},
	};
};

const parseList = <Item>(cursor: Cursor, parseItem: () => Item): readonly Item[] => {
	const items = [parseItem()];
	while (cursor.takeIf(',')) {
		items.push(parseItem());
	}

	return items;
};

const LITERAL_WORDS: ReadonlyMap<string, boolean | null> = new Map([['null', null], ['true', true], ['false', false]]);

const parsePrimary = (cursor: Cursor): Expression => {
	if (cursor.takeIf('(')) {
		const inner = parseExpression(cursor);
		cursor.expect(')');
		return inner;
	}

	if (cursor.takeIf('-')) {
		return {
			kind: 'binary', operator: '-', left: {kind: 'literal', value: 0}, right: parsePrimary(cursor),
		};
	}

	const token = cursor.next();
	if (token.kind === 'number') {
		return {kind: 'literal', value: Number(token.value)};
	}

	if (token.kind === 'text') {
		return {kind: 'literal', value: token.value};
	}

	if (token.kind === 'parameter') {
		return {kind: 'parameter', index: Number(token.value.slice(1)) - 1};
	}

	if (token.kind !== 'word') {
		throw new SqlError('42601', `syntax error at or near "${token.value}"`);
	}

	const literal = LITERAL_WORDS.get(token.value);
	if (literal !== undefined) {
		return {kind: 'literal', value: literal};
	}

	return cursor.takeIf('(') ? {kind: 'call', name: token.value, args: parseArguments(cursor)} : {kind: 'column', name: token.value};
};

const parseArguments = (cursor: Cursor): readonly Expression[] => {
	if (cursor.takeIf(')')) {
		return [];
	}

	if (cursor.takeIf('*', ')')) {
		return [];
	}

	const args = parseList(cursor, () => parseExpression(cursor));
	cursor.expect(')');
	return args;
};

/** Parses an expression with casts, which are ignored. */
const parseCast = (cursor: Cursor): Expression => {
	const expression = parsePrimary(cursor);
	while (cursor.takeIf('::')) {
		cursor.takeName();
	}

	return expression;
};

/** Operators by precedence, lowest first. */
const OPERATORS_BY_PRECEDENCE: ReadonlyArray<readonly string[]> = [['or'], ['and'], ['=', '<>', '!=', '<', '>', '<=', '>='], ['+', '-', '||'], ['*', '/']];

const parseBinary = (cursor: Cursor, level: number): Expression => {
	const operators = OPERATORS_BY_PRECEDENCE[level];
	if (!operators) {
		return parseCast(cursor);
	}

	let left = parseBinary(cursor, level + 1);
	while (operators.includes(cursor.peek().value) && cursor.peek().kind !== 'text') {
		const operator = cursor.next().value;
		left = {
			kind: 'binary', operator, left, right: parseBinary(cursor, level + 1),
		};
	}

	return left;
};

const parseExpression = (cursor: Cursor): Expression => parseBinary(cursor, 0);

const getOutputName = (expression: Expression): string => {
	if (expression.kind === 'column') {
		return expression.name;
	}

	return expression.kind === 'call' ? expression.name : '?column?';
};

const parseOutputs = (cursor: Cursor): readonly OutputColumn[] => parseList(cursor, () => {
	if (cursor.takeIf('*')) {
		return '*';
	}

	const expression = parseExpression(cursor);
	const name = cursor.takeIf('as') ? cursor.takeName() : getOutputName(expression);
	return {name, expression};
});

const parseReturning = (cursor: Cursor): readonly OutputColumn[] => cursor.takeIf('returning') ? parseOutputs(cursor) : [];

const parseWhere = (cursor: Cursor): Readonly<{where?: Expression}> => cursor.takeIf('where') ? {where: parseExpression(cursor)} : {};

/** Parses a column definition; all constraints but `PRIMARY KEY` are ignored. */
const parseColumn = (cursor: Cursor): Column => {
	const name = cursor.takeName();
	const type = cursor.takeName();
	let isPrimaryKey = false;
	while (![',', ')'].includes(cursor.peek().value) && cursor.peek().kind !== 'end') {
		isPrimaryKey ||= cursor.peek().value === 'primary';
		cursor.next();
	}

	return {name, type, primaryKey: isPrimaryKey};
};

const parseCreate = (cursor: Cursor): Statement => {
	cursor.expect('table');
	const hasIfNotExists = cursor.takeIf('if', 'not', 'exists');
	const table = cursor.takeName();
	cursor.expect('(');
	const columns = parseList(cursor, () => parseColumn(cursor));
	cursor.expect(')');
	return {
		kind: 'create', table, columns, ifNotExists: hasIfNotExists,
	};
};

const parseInsert = (cursor: Cursor): Statement => {
	cursor.expect('into');
	const table = cursor.takeName();
	const columns = cursor.takeIf('(') ? parseList(cursor, () => cursor.takeName()) : [];
	if (columns.length > 0) {
		cursor.expect(')');
	}

	cursor.expect('values');
	const rows = parseList(cursor, () => {
		cursor.expect('(');
		return parseArguments(cursor);
	});
	const isConflictIgnored = cursor.takeIf('on', 'conflict', 'do', 'nothing');
	return {
		kind: 'insert', table, columns, rows, ignoreConflict: isConflictIgnored, returning: parseReturning(cursor),
	};
};

const parseUpdate = (cursor: Cursor): Statement => {
	const table = cursor.takeName();
	cursor.expect('set');
	const assignments = parseList(cursor, () => {
		const name = cursor.takeName();
		cursor.expect('=');
		return [name, parseExpression(cursor)] as const;
	});
	return {
		kind: 'update', table, assignments, ...parseWhere(cursor), returning: parseReturning(cursor),
	};
};

const parseDelete = (cursor: Cursor): Statement => {
	cursor.expect('from');
	const table = cursor.takeName();
	return {
		kind: 'delete', table, ...parseWhere(cursor), returning: parseReturning(cursor),
	};
};

const parseSource = (cursor: Cursor): TableSource => {
	const name = cursor.takeName();
	return cursor.takeIf('(') ? {name, args: parseArguments(cursor)} : {name};
};

const parseSelect = (cursor: Cursor): Statement => {
	const outputs = parseOutputs(cursor);
	const from = cursor.takeIf('from') ? {from: parseSource(cursor)} : {};
	const where = parseWhere(cursor);
	const order = cursor.takeIf('order', 'by') ? {orderBy: cursor.takeName()} : {};
	const isDescending = cursor.takeIf('desc');
	cursor.takeIf('asc');
	const limit = cursor.takeIf('limit') ? {limit: parseExpression(cursor)} : {};
	const isForUpdate = cursor.takeIf('for', 'update');
	return {
		kind: 'select', outputs, ...from, ...where, ...order, descending: isDescending, ...limit, forUpdate: isForUpdate,
	};
};

const takeRestOfStatement = (cursor: Cursor): readonly string[] => {
	const words: string[] = [];
	while (cursor.peek().kind !== 'end' && cursor.peek().value !== ';') {
		words.push(cursor.next().value);
	}

	return words;
};

const parseTransaction = (cursor: Cursor, action: 'begin' | 'commit' | 'rollback'): Statement => {
	const words = takeRestOfStatement(cursor).join(' ');
	return {kind: 'transaction', action, readOnly: words.includes('read only')};
};

const parseSet = (cursor: Cursor): Statement => {
	const isLocal = cursor.takeIf('local');
	cursor.takeIf('session');
	const name = cursor.takeName();
	if (!cursor.takeIf('=')) {
		cursor.expect('to');
	}

	return {
		kind: 'set', name, value: takeRestOfStatement(cursor).join(' '), local: isLocal,
	};
};

const parseAlterSystem = (cursor: Cursor): Statement => {
	cursor.expect('system');
	cursor.expect('set');
	const name = cursor.takeName();
	cursor.expect('=');
	return {kind: 'alterSystem', name, value: cursor.next().value};
};

const STATEMENT_PARSERS: ReadonlyMap<string, (cursor: Cursor) => Statement> = new Map<string, (cursor: Cursor) => Statement>([
	['create', parseCreate],
	['insert', parseInsert],
	['update', parseUpdate],
	['delete', parseDelete],
	['select', parseSelect],
	['begin', cursor => parseTransaction(cursor, 'begin')],
	['start', cursor => parseTransaction(cursor, 'begin')],
	['commit', cursor => parseTransaction(cursor, 'commit')],
	['end', cursor => parseTransaction(cursor, 'commit')],
	['rollback', cursor => parseTransaction(cursor, 'rollback')],
	['abort', cursor => parseTransaction(cursor, 'rollback')],
	['set', parseSet],
	['show', cursor => ({kind: 'show', name: cursor.takeName()})],
	['discard', cursor => {
		takeRestOfStatement(cursor);
		return {kind: 'discard'};
	}],
	['alter', parseAlterSystem],
]);

const parseStatement = (cursor: Cursor): Statement => {
	if (cursor.peek().kind === 'end' || cursor.peek().value === ';') {
		return {kind: 'empty'};
	}

	const keyword = cursor.next().value;
	const parser = STATEMENT_PARSERS.get(keyword);
	if (!parser) {
		throw new SqlError('42601', `syntax error at or near "${keyword}"`);
	}

	const statement = parser(cursor);
	if (cursor.peek().kind !== 'end' && cursor.peek().value !== ';') {
		throw new SqlError('42601', `syntax error at or near "${cursor.peek().value}"`);
	}

	return statement;
};

/** Parses all statements of an SQL text; returns a failure with the SQLSTATE at the first syntax error. */
export const parseSql = (text: string): Result<readonly Statement[], SqlFailure> => {
	const tokens = splitTokens(text);
	if (tokens.err) {
		return tokens;
	}

	const cursor = createCursor(tokens.val);
	const statements: Statement[] = [];
	try {
		while (cursor.peek().kind !== 'end') {
			const statement = parseStatement(cursor);
			if (statement.kind !== 'empty') {
				statements.push(statement);
			}

			cursor.takeIf(';');
		}

		return Ok(statements);
	} catch (error) {
		return Err({code: error instanceof SqlError ? error.code : 'XX000', message: getErrorMessage(error)});
	}
};
