/** Evaluates the output of the tests for CI: a run may fail only in tests that KNOWN-RED.txt lists. */

import {readFileSync} from 'node:fs';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

/** Verdict on a test run. */
export type TestRunVerdict = Readonly<{
	/** Whether CI accepts the run: every failed test is listed, and a run with a non-zero exit code has at least one. */
	passes: boolean;
	/** Failed tests that are listed as known failures. */
	listedFailures: readonly string[];
	/** Failed tests that are not listed. */
	unlistedFailures: readonly string[];
}>;

const LINE_PATTERN = /^(?<indent> *)(?:# Subtest: (?<subtest>.+)|(?<failed>not )?ok \d+ - (?<name>.+))$/v;
const ENTRY_PATTERN = /^(?<suite>[^#"]*)"(?<name>[^"]+)"/v;
/** Number of spaces by which TAP output indents each level of subtests. */
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
		const isSuite = details.slice(0, details.findIndex(detail => detail.trim() === '...')).some(detail => detail.includes('failureType: \'subtestsFailed\''));
		return groups.failed !== undefined && !isSuite ? [[...openSuites.slice(0, depth), groups.name ?? '']] : [];
	});
};

/** Evaluates a test run by its exit code, its TAP output and the text of KNOWN-RED.txt. */
export const evaluateTestRun = (exitCode: number, output: string, knownRed: string): TestRunVerdict => {
	const knownNames = new Set(parseKnownFailures(knownRed));
	const failures = findFailures(output).map(names => ({name: names.at(-1) ?? '', path: names.join(' > ')}));
	const listedFailures = failures.filter(({name}) => knownNames.has(name)).map(failure => failure.path);
	const unlistedFailures = failures.filter(({name}) => !knownNames.has(name)).map(failure => failure.path);
	// A non-zero exit code without a failed test means that the run ended before the tests, for example in the build.
	return {passes: unlistedFailures.length === 0 && (exitCode === 0 || listedFailures.length > 0), listedFailures, unlistedFailures};
};

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
	const [exitCode = '1', outputFile = '', knownRedFile = ''] = process.argv.slice(2);
	const knownRed = readFileSync(knownRedFile, 'utf8');
	const verdict = evaluateTestRun(Number(exitCode), readFileSync(outputFile, 'utf8'), knownRed);
	const entries = knownRed.split('\n').filter(line => ENTRY_PATTERN.test(line));
	process.stdout.write(`Known failures, listed (${entries.length}):\n${entries.map(line => `  ${line}\n`).join('')}`);
	process.stdout.write(`Failed in this run and listed: ${verdict.listedFailures.join('; ') || 'none'}\nFailed and not listed: ${verdict.unlistedFailures.join('; ') || 'none'}\n`);
	process.exitCode = verdict.passes ? 0 : 1;
}
