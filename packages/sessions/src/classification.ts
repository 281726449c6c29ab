/** Classification of statements by their first words; a replica itself refuses whatever turns out to write. */

/** What a statement needs. */
export type StatementClass
	/** May be tried on a replica. */
	= | 'read'
	/** Needs the primary. */
		| 'write'
	/** Opens a transaction. */
		| 'begin'
	/** Changes the state of a database connection for longer than a transaction. */
		| 'session'
	/** Copies data in or out of the connection. */
		| 'copy'
	/** Nothing to run. */
		| 'empty';

const READ_WORDS: ReadonlySet<string> = new Set(['select', 'values', 'table', 'show', 'with']);
const BEGIN_WORDS: ReadonlySet<string> = new Set(['begin', 'start']);
const SESSION_WORDS: ReadonlySet<string> = new Set(['set', 'reset', 'listen', 'unlisten', 'prepare', 'deallocate', 'load', 'discard', 'declare']);
/** What may stand before a statement: space, empty statements and comments. */
const LEADING_PATTERNS = [/^\s+/v, /^;/v, /^--[^\n]*/v, /^\/\*[\s\S]*?\*\//v] as const;
const FIRST_WORD_PATTERN = /^[a-z]+/iv;
const LATER_STATEMENT_PATTERN = /;(?=[\s\S]*\S)/v;
const STATE_PATTERN = /\b(?:set_config|temp|temporary|pg_advisory\w*|prepare|listen|declare|set)\b/iv;
const LOCK_PATTERN = /\bpg_(?:try_)?advisory\w*/iv;

const matchLeading = (text: string): string | undefined => LEADING_PATTERNS.map(pattern => pattern.exec(text)?.[0]).find(match => match !== undefined);

const skipLeading = (text: string): string => {
	let rest = text;
	let leading = matchLeading(rest);
	while (leading !== undefined) {
		rest = rest.slice(leading.length);
		leading = matchLeading(rest);
	}

	return rest;
};

/** Classifies the text of a simple query or of one prepared statement. */
export const classifyStatement = (text: string): StatementClass => {
	const start = skipLeading(text);
	const word = FIRST_WORD_PATTERN.exec(start)?.[0].toLowerCase();
	if (start.trim() === '') {
		return 'empty';
	}

	if (word === 'copy') {
		return 'copy';
	}

	if (word !== undefined && BEGIN_WORDS.has(word)) {
		return 'begin';
	}

	if (word !== undefined && SESSION_WORDS.has(word)) {
		return /^set\s+(?:local|transaction|constraints)\b/iv.test(start) ? 'write' : 'session';
	}

	if (LATER_STATEMENT_PATTERN.test(start) || LOCK_PATTERN.test(start)) {
		return 'write';
	}

	return word !== undefined && READ_WORDS.has(word) ? 'read' : 'write';
};

/** Tells whether a statement may leave state on its connection, which then is reset before reuse. */
export const isStateful = (text: string): boolean => STATE_PATTERN.test(text);
