/** Classifies SQL statements, mostly by their first word. A statement that is wrongly classified as a read is refused by the replica itself when it writes. */

/** How a statement must be run. */
export type StatementClass
	/** May run on a replica. */
	= | 'read'
	/** Must run on the primary. */
		| 'write'
	/** Starts a transaction. */
		| 'begin'
	/** Changes connection state that outlives a transaction. */
		| 'session'
	/** Copies data into or out of the database over the connection. */
		| 'copy'
	/** Contains nothing to run. */
		| 'empty';

const READ_WORDS: ReadonlySet<string> = new Set(['select', 'values', 'table', 'show', 'with']);
const BEGIN_WORDS: ReadonlySet<string> = new Set(['begin', 'start']);
const SESSION_WORDS: ReadonlySet<string> = new Set(['set', 'reset', 'listen', 'unlisten', 'prepare', 'deallocate', 'load', 'discard', 'declare']);
/** What may precede a statement: white space, empty statements and comments. */
const LEADING_PATTERNS = [/^\s+/v, /^;/v, /^--[^\n]*/v, /^\/\*[\s\S]*?\*\//v] as const;
const FIRST_WORD_PATTERN = /^[a-z]+/iv;
/** A semicolon that another statement follows. */
const LATER_STATEMENT_PATTERN = /;(?=[\s\S]*\S)/v;
/** Words of statements whose effects on the connection may outlive a transaction. */
const STATEFUL_PATTERN = /\b(?:set_config|temp|temporary|pg_advisory\w*|prepare|listen|declare|set)\b/iv;
/** Calls of the functions that take advisory locks. */
const LOCK_PATTERN = /\bpg_(?:try_)?advisory\w*/iv;

const matchLeading = (text: string): string | undefined => LEADING_PATTERNS.map(pattern => pattern.exec(text)?.[0]).find(match => match !== undefined);

const skipLeading = (text: string): string => {
	let remainingText = text;
	let leadingText = matchLeading(remainingText);
	while (leadingText !== undefined) {
		remainingText = remainingText.slice(leadingText.length);
		leadingText = matchLeading(remainingText);
	}

	return remainingText;
};

/** Classifies the text of a simple query or of one prepared statement. Text with several statements, and text that takes advisory locks, is a write. */
export const classifyStatement = (text: string): StatementClass => {
	const body = skipLeading(text);
	const firstWord = FIRST_WORD_PATTERN.exec(body)?.[0].toLowerCase();
	if (body.trim() === '') {
		return 'empty';
	}

	if (firstWord === 'copy') {
		return 'copy';
	}

	if (firstWord !== undefined && BEGIN_WORDS.has(firstWord)) {
		return 'begin';
	}

	if (firstWord !== undefined && SESSION_WORDS.has(firstWord)) {
		return /^set\s+(?:local|transaction|constraints)\b/iv.test(body) ? 'write' : 'session';
	}

	if (LATER_STATEMENT_PATTERN.test(body) || LOCK_PATTERN.test(body)) {
		return 'write';
	}

	return firstWord !== undefined && READ_WORDS.has(firstWord) ? 'read' : 'write';
};

/** Tells whether a statement may leave state on its connection; the connection must then be reset before reuse. */
export const isStateful = (text: string): boolean => STATEFUL_PATTERN.test(text);
