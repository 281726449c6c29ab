/** Syntax tree of the SQL subset that the database stand-in supports. */

/** Value of a column, a parameter or an expression; `null` stands for NULL. */
export type Value = string | number | boolean | null;

/** Expression; the index of a parameter starts at 0. */
export type Expression
	= | Readonly<{kind: 'literal'; value: Value}>
		| Readonly<{kind: 'parameter'; index: number}>
		| Readonly<{kind: 'column'; name: string}>
		| Readonly<{kind: 'call'; name: string; args: readonly Expression[]}>
		| Readonly<{kind: 'binary'; operator: string; left: Expression; right: Expression}>;

/** Column of a table. */
export type Column = Readonly<{name: string; type: string; primaryKey: boolean}>;

/** Output column of a query; `*` stands for all columns. */
export type OutputColumn = Readonly<{name: string; expression: Expression}> | '*';

/** Parsed statement. */
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

/** Table or table function in the `FROM` clause of a query; `args` is absent for a table. */
export type TableSource = Readonly<{name: string; args?: readonly Expression[]}>;
