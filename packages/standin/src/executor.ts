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

/** Returns the expression that the primary key must equal, if that is the whole condition; the row is then looked up instead of scanning the table. */
const findKeyExpression = (columns: readonly Column[], where: Expression | undefined): Expression | undefined => {
	if (where?.kind !== 'binary' || where.operator !== '=' || where.left.kind !== 'column' || where.right.kind === 'column') {
		return undefined;
	}

	const {name} = where.left;
	return columns.some(column => column.primaryKey && column.name === name) ? where.right : undefined;
};

const createRowIdFromKey = (value: Value): string => `k:${String(value)}`;

const selectRows = (context: ExecutionContext, source: RowSet, where: Expression | undefined): ReadonlyArray<readonly [string, Row]> => {
	const keyExpression = findKeyExpression(source.columns, where);
	if (keyExpression) {
		const rowId = createRowIdFromKey(evaluateWithoutRow(context, keyExpression));
		const row = source.rows.get(rowId);
		return row ? [[rowId, row]] : [];
	}

	const selected: Array<readonly [string, Row]> = [];
	for (const [id, row] of source.rows) {
		if (!where || evaluateExpression(where, createEvaluationContext(context, source.columns, row)) === true) {
			selected.push([id, row]);
		}
	}

	return selected;
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
	const expandedOutputs = expandOutputs(outputs, columns);
	return expandedOutputs.map(({name, expression}) => ({name, type: inferType(expression, columns)}));
};

const projectRows = (context: ExecutionContext, outputs: readonly OutputColumn[], columns: readonly Column[], rows: readonly Row[]): readonly Row[] => {
	const expandedOutputs = expandOutputs(outputs, columns);
	return rows.map(row => {
		const evaluationContext = createEvaluationContext(context, columns, row);
		return expandedOutputs.map(({expression}) => evaluateExpression(expression, evaluationContext));
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

const sortRows = (columns: readonly Column[], rows: readonly Row[], orderBy: string | undefined, isDescending: boolean): readonly Row[] => {
	const index = columns.findIndex(column => column.name === orderBy);
	if (index === -1) {
		return rows;
	}

	const sign = isDescending ? -1 : 1;
	return rows.toSorted((a, b) => {
		const left = a[index] ?? null;
		const right = b[index] ?? null;
		if (left === right) {
			return 0;
		}

		return (left ?? '') < (right ?? '') ? -sign : sign;
	});
};

const checkWritable = (context: ExecutionContext, command: string) => {
	if (context.transaction.readOnly) {
		throw new SqlError('25006', `cannot execute ${command} in a read-only transaction`);
	}
};

const runSelect = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'select'}>): Promise<ResultSet> => {
	if (statement.forUpdate) {
		checkWritable(context, 'SELECT FOR UPDATE');
	}

	const source = getSource(context, statement);
	const selected = selectRows(context, source, statement.where);
	if (statement.forUpdate && statement.from) {
		for (const [id] of selected) {
			await context.engine.lock(context.transaction, `${statement.from.name}/${id}`);
		}
	}

	const columns = describeOutputs(statement.outputs, source.columns);
	if (hasAggregate(statement.outputs)) {
		const selectedRows = selected.map(([, row]) => row);
		const row = statement.outputs.map(output => output === '*' ? null : computeAggregate(context, output.expression, source.columns, selectedRows));
		return {tag: 'SELECT 1', columns, rows: [row]};
	}

	const limit = statement.limit ? Number(evaluateWithoutRow(context, statement.limit)) : Number.POSITIVE_INFINITY;
	const sortedRows = sortRows(source.columns, selected.map(([, row]) => row), statement.orderBy, statement.descending);
	const rows = projectRows(context, statement.outputs, source.columns, sortedRows.slice(0, limit));
	return {tag: `SELECT ${rows.length}`, columns, rows};
};

const createRow = (context: ExecutionContext, columns: readonly Column[], columnNames: readonly string[], values: readonly Expression[]): Row => {
	const columnOrder = columnNames.length > 0 ? columnNames : columns.map(column => column.name);
	return columns.map(column => {
		const index = columnOrder.indexOf(column.name);
		const expression = index === -1 ? undefined : values[index];
		return expression ? evaluateWithoutRow(context, expression) : null;
	});
};

const runInsert = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'insert'}>): Promise<ResultSet> => {
	checkWritable(context, 'INSERT');
	const {engine, transaction} = context;
	const {columns} = engine.getTable(transaction, statement.table);
	const keyIndex = columns.findIndex(column => column.primaryKey);
	const insertedRows: Row[] = [];
	for (const values of statement.rows) {
		const row = createRow(context, columns, statement.columns, values);
		const id = keyIndex === -1 ? engine.createRowId() : createRowIdFromKey(row[keyIndex] ?? null);
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
		insertedRows.push(row);
	}

	return {
		tag: `INSERT 0 ${insertedRows.length}`,
		columns: describeOutputs(statement.returning, columns),
		rows: statement.returning.length > 0 ? projectRows(context, statement.returning, columns, insertedRows) : [],
	};
};

type LockedRows = Readonly<{columns: readonly Column[]; rows: ReadonlyArray<readonly [string, Row]>}>;

/** Locks the matching rows, then selects again, because rows may have changed while it waited for the locks. */
const lockRows = async (context: ExecutionContext, table: string, where: Expression | undefined): Promise<LockedRows> => {
	const initialTable = context.engine.getTable(context.transaction, table);
	for (const [id] of selectRows(context, initialTable, where)) {
		await context.engine.lock(context.transaction, `${table}/${id}`);
	}

	const currentTable = context.engine.getTable(context.transaction, table);
	return {columns: currentTable.columns, rows: selectRows(context, currentTable, where)};
};

const runUpdate = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'update'}>): Promise<ResultSet> => {
	checkWritable(context, 'UPDATE');
	const {columns, rows: lockedRows} = await lockRows(context, statement.table, statement.where);
	const assignments = new Map(statement.assignments);
	const updatedRows = lockedRows.map(([id, row]) => {
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
		tag: `UPDATE ${updatedRows.length}`,
		columns: describeOutputs(statement.returning, columns),
		rows: statement.returning.length > 0 ? projectRows(context, statement.returning, columns, updatedRows) : [],
	};
};

const runDelete = async (context: ExecutionContext, statement: Extract<Statement, {kind: 'delete'}>): Promise<ResultSet> => {
	checkWritable(context, 'DELETE');
	const {columns, rows: lockedRows} = await lockRows(context, statement.table, statement.where);
	for (const [id] of lockedRows) {
		context.transaction.changes.push({kind: 'remove', table: statement.table, id});
	}

	return {
		tag: `DELETE ${lockedRows.length}`,
		columns: describeOutputs(statement.returning, columns),
		rows: statement.returning.length > 0 ? projectRows(context, statement.returning, columns, lockedRows.map(([, row]) => row)) : [],
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
			throw new SqlError('0A000', `statements of kind ${statement.kind} are not supported`);
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
