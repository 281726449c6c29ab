/** Statements of the SQL subset. */

/** A stored value. */
export type Value = string | number | boolean | null;

/** An expression. */
export type Expression
	= | Readonly<{kind: 'literal'; value: Value}>
		| Readonly<{kind: 'parameter'; index: number}>
		| Readonly<{kind: 'column'; name: string}>
		| Readonly<{kind: 'call'; name: string; args: readonly Expression[]}>
		| Readonly<{kind: 'binary'; operator: string; left: Expression; right: Expression}>;

/** A column of a table. */
export type Column = Readonly<{name: string; type: string; primaryKey: boolean}>;

/** An output column of a query. */
export type OutputColumn = Readonly<{name: string; expression: Expression}> | '*';

/** One statement. */
export type Statement
	= | Readonly<{kind: 'create'; table: string; columns: readonly Column[]; ifNotExists: boolean}>
		| Readonly<{kind: 'insert'; table: string; columns: readonly string[]; rows: ReadonlyArray<readonly Expression[]>; ignoreConflict: boolean; returning: readonly OutputColumn[]}>
		| Readonly<{kind: 'update'; table: string; assignments: ReadonlyArray<readonly [string, Expression]>; where?: Expression; returning: readonly OutputColumn[]}>
		| Readonly<{kind: 'delete'; table: string; where?: Expression; returning: readonly OutputColumn[]}>
		| Readonly<{kind: 'select'; outputs: readonly OutputColumn[]; from?: TableSource; where?: Expression; orderBy?: string; descending: boolean; limit?: Expression; forUpdate: boolean}>
		| Readonly<{kind: 'transaction'; action: 'begin' | 'commit' | 'rollback'; readOnly: boolean}>
		| Readonly<{kind: 'set'; name: string; value: string; local: boolean}>
		| Readonly<{kind: 'show'; name: string}>
		| Readonly<{kind: 'discard'}>
		| Readonly<{kind: 'alterSystem'; name: string; value: string}>
		| Readonly<{kind: 'empty'}>;

/** Where a query reads from. */
export type TableSource = Readonly<{name: string; args?: readonly Expression[]}>;
