/** Execution of SQL statements on an engine. */

import type {Engine, Row, Transaction} from './engine.js';
import {evaluateExpression, type EvaluationContext} from './expressions.js';
import type {
	Column, Expression, OutputColumn, Statement, Value,
} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** Column of a result. */
export type ResultColumn = Readonly<{name: string; type: string}>;

/** Result of a statement, with its command tag. */
export type ResultSet = Readonly<{tag: string; columns: readonly ResultColumn[]; rows: readonly Row[]}>;

/** Dependencies of the execution of a statement. */
export type ExecutionContext = Readonly<{
	engine: Engine;
	transaction: Transaction;
	parameters: readonly Value[];
	callFunction: (name: string, args: readonly Value[]) => Value;
	/** Returns a system view or the rows of a table function; `undefined` if there is none of that name. */
	getVirtualTable: (name: string, args: readonly Value[]) => Readonly<{columns: readonly Column[]; rows: ReadonlyMap<string, Row>}> | undefined;
}>;

type RowSet = Readonly<{columns: readonly Column[]; rows: ReadonlyMap<string, Row>}>;

const NO_ROWS: RowSet = {columns: [], rows: new Map()};
const ONE_EMPTY_ROW: RowSet = {columns: [], rows: new Map([['', []]])};
const AGGREGATES: ReadonlySet<string> = new Set(['count', 'max', 'min', 'sum']);

const createEvaluationContext = (context: ExecutionContext, columns: readonly Column[], row: Row): EvaluationContext => ({
	parameters: context.parameters,
	callFunction: context.callFunction,
	getColumn(name) {
		const index = columns.findIndex(column => column.name === name.split('.').at(-1));
		if (index === -1) {
			throw new SqlError('42703', `column "${name}" does not exist`);
		}

		return row[index] ?? null;
	},
});

const evaluateWithoutRow = (context: ExecutionContext, expression: Expression): Value => evaluateExpression(expression, createEvaluationContext(context, [], []));

const findKeyExpression = (columns: readonly Column[], where: Expression | undefined): Expression | undefined => {
	if (where?.kind !== 'binary' || where.operator !== '=' || where.left.kind !== 'column' || where.right.kind === 'column') {
		return undefined;
	}

	const {name} = where.left;
	return columns.some(column => column.primaryKey && column.name === name) ? where.right : undefined;
};

const createKey = (value: Value): string => `k:${String(value)}`;

const selectRows = (context: ExecutionContext, source: RowSet, where: Expression | undefined): ReadonlyArray<readonly [string, Row]> => {
	const keyExpression = findKeyExpression(source.columns, where);
	if (keyExpression) {
		const key = createKey(evaluateWithoutRow(context, keyExpression));
		const row = source.rows.get(key);
		return row ? [[key, row]] : [];
	}

	const found: Array<readonly [string, Row]> = [];
	for (const [id, row] of source.rows) {
		if (!where || evaluateExpression(where, createEvaluationContext(context, source.columns, row)) === true) {
			found.push([id, row]);
		}
	}

	return found;
};

const inferType = (expression: Expression, columns: readonly Column[]): string => {
	if (expression.kind === 'column') {
		return columns.find(column => column.name === expression.name)?.type ?? 'text';
	}

	if (expression.kind === 'literal') {
		return typeof expression.value === 'number' ? 'int' : 'text';
	}

	if (expression.kind === 'call') {
		return expression.name === 'count' ? 'bigint' : 'text';
	}

	return expression.kind === 'binary' && ['+', '-', '*', '/'].includes(expression.operator) ? 'int' : 'text';
};

const expandOutputs = (outputs: readonly OutputColumn[], columns: readonly Column[]): ReadonlyArray<Exclude<OutputColumn, '*'>> => outputs.flatMap(output => output === '*'
	? columns.map(column => ({name: column.name, expression: {kind: 'column', name: column.name} as const}))
	: [output]);

const describeOutputs = (outputs: readonly OutputColumn[], columns: readonly Column[]): readonly ResultColumn[] => {
	const expanded = expandOutputs(outputs, columns);
	return expanded.map(({name, expression}) => ({name, type: inferType(expression, columns)}));
};

const projectRows = (context: ExecutionContext, outputs: readonly OutputColumn[], columns: readonly Column[], rows: readonly Row[]): readonly Row[] => {
	const expanded = expandOutputs(outputs, columns);
	return rows.map(row => {
		const evaluationContext = createEvaluationContext(context, columns, row);
		return expanded.map(({expression}) => evaluateExpression(expression, evaluationContext));
	});
};

const computeAggregate = (context: ExecutionContext, expression: Expression, columns: readonly Column[], rows: readonly Row[]): Value => {
	if (expression.kind !== 'call') {
		throw new SqlError('42803', 'a query with an aggregate may select only aggregates');
	}

	const [argument] = expression.args;
	if (expression.name === 'count') {
		return rows.length;
	}

	if (!argument) {
		throw new SqlError('42883', `${expression.name} requires an argument`);
	}

	const values = rows.map(row => Number(evaluateExpression(argument, createEvaluationContext(context, columns, row))));
	if (values.length === 0) {
		return null;
	}

	if (expression.name === 'sum') {
		return values.reduce((sum, value) => sum + value, 0);
	}

	return expression.name === 'max' ? Math.max(...values) : Math.min(...values);
};

const getSource = (context: ExecutionContext, statement: Extract<Statement, {kind: 'select'}>): RowSet => {
	const {from} = statement;
	if (!from) {
		return ONE_EMPTY_ROW;
	}

	const virtualTable = context.getVirtualTable(from.name, (from.args ?? []).map(argument => evaluateWithoutRow(context, argument)));
	return virtualTable ?? context.engine.getTable(context.transaction, from.name);
};

const hasAggregate = (outputs: readonly OutputColumn[]): boolean => outputs.some(output => output !== '*' && output.expression.kind === 'call' && AGGREGATES.has(output.expression.name));

const sortRows = (columns: readonly Column[], rows: readonly Row[], orderBy: string | undefined, descending: boolean): readonly Row[] => {
	const index = columns.findIndex(column => column.name === orderBy);
	if (index === -1) {
		return rows;
	}

	const sign = descending ? -1 : 1;
	return rows.toSorted((a, b) => {
		const left = a[index] ?? null;
		const right = b[index] ?? null;
		if (left === right) {
			return 0;
		}

		return (left ?? '') < (right ?? '') ? -sign : sign;
	});
};

const checkWritable = (context: ExecutionContext, verb: string) => {
	if (context.transaction.readOnly) {
		throw new SqlError('25006', `cannot execute ${verb} in a read-only transaction`);
	}
};

const runSelect = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'select'}>): Promise<ResultSet> => {
	if (statement.forUpdate) {
		checkWritable(context, 'SELECT FOR UPDATE');
	}

	const source = getSource(context, statement);
	const found = selectRows(context, source, statement.where);
	if (statement.forUpdate && statement.from) {
		for (const [id] of found) {
			await context.engine.lock(context.transaction, `${statement.from.name}/${id}`);
		}
	}

	const columns = describeOutputs(statement.outputs, source.columns);
	if (hasAggregate(statement.outputs)) {
		const all = found.map(([, row]) => row);
		const row = statement.outputs.map(output => output === '*' ? null : computeAggregate(context, output.expression, source.columns, all));
		return {tag: 'SELECT 1', columns, rows: [row]};
	}

	const limit = statement.limit ? Number(evaluateWithoutRow(context, statement.limit)) : Number.POSITIVE_INFINITY;
	const sorted = sortRows(source.columns, found.map(([, row]) => row), statement.orderBy, statement.descending);
	const rows = projectRows(context, statement.outputs, source.columns, sorted.slice(0, limit));
	return {tag: `SELECT ${rows.length}`, columns, rows};
};

const createRow = (context: ExecutionContext, columns: readonly Column[], names: readonly string[], values: readonly Expression[]): Row => {
	const order = names.length > 0 ? names : columns.map(column => column.name);
	return columns.map(column => {
		const index = order.indexOf(column.name);
		const expression = index === -1 ? undefined : values[index];
		return expression ? evaluateWithoutRow(context, expression) : null;
	});
};

const runInsert = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'insert'}>): Promise<ResultSet> => {
	checkWritable(context, 'INSERT');
	const {engine, transaction} = context;
	const {columns} = engine.getTable(transaction, statement.table);
	const keyIndex = columns.findIndex(column => column.primaryKey);
	const inserted: Row[] = [];
	for (const values of statement.rows) {
		const row = createRow(context, columns, statement.columns, values);
		const id = keyIndex === -1 ? engine.createRowId() : createKey(row[keyIndex] ?? null);
		await engine.lock(transaction, `${statement.table}/${id}`);
		if (engine.getTable(transaction, statement.table).rows.has(id)) {
			if (statement.ignoreConflict) {
				continue;
			}

			throw new SqlError('23505', `duplicate key value violates unique constraint "${statement.table}_pkey"`);
		}

		transaction.changes.push({
			kind: 'put', table: statement.table, id, row,
		});
		inserted.push(row);
	}

	return {
		tag: `INSERT 0 ${inserted.length}`,
		columns: describeOutputs(statement.returning, columns),
		rows: statement.returning.length > 0 ? projectRows(context, statement.returning, columns, inserted) : [],
	};
};

type LockedRows = Readonly<{columns: readonly Column[]; found: ReadonlyArray<readonly [string, Row]>}>;

const lockRows = async (context: ExecutionContext, table: string, where: Expression | undefined): Promise<LockedRows> => {
	const first = context.engine.getTable(context.transaction, table);
	for (const [id] of selectRows(context, first, where)) {
		await context.engine.lock(context.transaction, `${table}/${id}`);
	}

	const current = context.engine.getTable(context.transaction, table);
	return {columns: current.columns, found: selectRows(context, current, where)};
};

const runUpdate = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'update'}>): Promise<ResultSet> => {
	checkWritable(context, 'UPDATE');
	const {columns, found} = await lockRows(context, statement.table, statement.where);
	const assignments = new Map(statement.assignments);
	const updated = found.map(([id, row]) => {
		const evaluationContext = createEvaluationContext(context, columns, row);
		const updatedRow = columns.map((column, index) => {
			const expression = assignments.get(column.name);
			return expression ? evaluateExpression(expression, evaluationContext) : (row[index] ?? null);
		});
		context.transaction.changes.push({
			kind: 'put', table: statement.table, id, row: updatedRow,
		});
		return updatedRow;
	});
	return {
		tag: `UPDATE ${updated.length}`,
		columns: describeOutputs(statement.returning, columns),
		rows: statement.returning.length > 0 ? projectRows(context, statement.returning, columns, updated) : [],
	};
};

const runDelete = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'delete'}>): Promise<ResultSet> => {
	checkWritable(context, 'DELETE');
	const {columns, found} = await lockRows(context, statement.table, statement.where);
	for (const [id] of found) {
		context.transaction.changes.push({kind: 'remove', table: statement.table, id});
	}

	return {
		tag: `DELETE ${found.length}`,
		columns: describeOutputs(statement.returning, columns),
		rows: statement.returning.length > 0 ? projectRows(context, statement.returning, columns, found.map(([, row]) => row)) : [],
	};
};

const runCreate = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'create'}>): Promise<ResultSet> => {
	checkWritable(context, 'CREATE TABLE');
	await context.engine.lock(context.transaction, `table/${statement.table}`);
	if (!context.engine.hasTable(context.transaction, statement.table)) {
		context.transaction.changes.push({kind: 'create', table: statement.table, columns: statement.columns});
	} else if (!statement.ifNotExists) {
		throw new SqlError('42P07', `relation "${statement.table}" already exists`);
	}

	return {tag: 'CREATE TABLE', columns: [], rows: []};
};

/** Executes a statement that reads or changes data or creates a table; throws an `SqlError` if it fails. */
export const executeStatement = async (context: ExecutionContext, statement: Statement): Promise<ResultSet> => {
	switch (statement.kind) {
		case 'select': {
			return runSelect(context, statement);
		}

		case 'insert': {
			return runInsert(context, statement);
		}

		case 'update': {
			return runUpdate(context, statement);
		}

		case 'delete': {
			return runDelete(context, statement);
		}

		case 'create': {
			return runCreate(context, statement);
		}

		default: {
			throw new SqlError('0A000', `${statement.kind} is not supported here`);
		}
	}
};

/** Returns the columns of the result of a statement without executing it. */
export const describeStatement = (context: ExecutionContext, statement: Statement): readonly ResultColumn[] => {
	if (statement.kind === 'select') {
		return describeOutputs(statement.outputs, statement.from ? getSource(context, statement).columns : NO_ROWS.columns);
	}

	if (statement.kind === 'insert' || statement.kind === 'update' || statement.kind === 'delete') {
		return describeOutputs(statement.returning, context.engine.getTable(context.transaction, statement.table).columns);
	}

	return statement.kind === 'show' ? [{name: statement.name, type: 'text'}] : [];
};
