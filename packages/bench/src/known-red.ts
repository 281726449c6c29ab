/** Evaluates the output of the tests for CI: a run may fail only in tests that KNOWN-RED.txt lists. */

import {readFileSync} from 'node:fs';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

/** Verdict on a test run. */
export type Verdict = Readonly<{
	passes: boolean;
	/** Failed tests that are listed as known failures. */
	known: readonly string[];
	/** Failed tests that are not listed. */
	unknown: readonly string[];
}>;

const LINE_PATTERN = /^(?<indent> *)(?:# Subtest: (?<subtest>.+)|(?<failed>not )?ok \d+ - (?<name>.+))$/v;
const ENTRY_PATTERN = /^(?<suite>[^#"]*)"(?<name>[^"]+)"/v;
const INDENT_WIDTH = 4;

/** Parses a list of known failures and returns the names of its tests; lines that begin with # are comments. */
export const parseKnownFailures = (text: string): readonly string[] => text
	.split('\n')
	.flatMap(line => ENTRY_PATTERN.exec(line)?.groups?.name ?? []);

/** Finds the failed tests in TAP output; each is the names of its suites followed by its own name. Suites are left out, as they fail only because of their tests. */
export const findFailures = (output: string): ReadonlyArray<readonly string[]> => {
	const lines = output.split('\n');
	const openSuites: string[] = [];
	return lines.flatMap((line, index): ReadonlyArray<readonly string[]> => {
		const groups = LINE_PATTERN.exec(line)?.groups;
		if (!groups) {
			return [];
		}

		const depth = (groups.indent?.length ?? 0) / INDENT_WIDTH;
		if (groups.subtest !== undefined) {
			openSuites.length = depth;
			openSuites.push(groups.subtest);
			return [];
		}

		const details = lines.slice(index + 1);
		const isSuite = details.slice(0, details.findIndex(one => one.trim() === '...')).some(one => one.includes('failureType: \'subtestsFailed\''));
		return groups.failed !== undefined && !isSuite ? [[...openSuites.slice(0, depth), groups.name ?? '']] : [];
	});
};

/** Evaluates a test run by its exit code and TAP output. */
export const evaluateTestRun = (exitCode: number, output: string, knownRed: string): Verdict => {
	const knownNames = new Set(parseKnownFailures(knownRed));
	const failures = findFailures(output).map(names => ({name: names.at(-1) ?? '', path: names.join(' > ')}));
	const known = failures.filter(({name}) => knownNames.has(name)).map(one => one.path);
	const unknown = failures.filter(({name}) => !knownNames.has(name)).map(one => one.path);
	// A non-zero exit code without a failed test means that the run ended before the tests, for example in the build.
	return {passes: unknown.length === 0 && (exitCode === 0 || known.length > 0), known, unknown};
};

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
	const [exitCode = '1', outputFile = '', knownRedFile = ''] = process.argv.slice(2);
	const knownRed = readFileSync(knownRedFile, 'utf8');
	const verdict = evaluateTestRun(Number(exitCode), readFileSync(outputFile, 'utf8'), knownRed);
	const entries = knownRed.split('\n').filter(line => ENTRY_PATTERN.test(line));
	process.stdout.write(`Known red, listed (${entries.length}):\n${entries.map(line => `  ${line}\n`).join('')}`);
	process.stdout.write(`Failed in this run and listed: ${verdict.known.join('; ') || 'none'}\nFailed and not listed: ${verdict.unknown.join('; ') || 'none'}\n`);
	process.exitCode = verdict.passes ? 0 : 1;
}
