/** Judges the output of the tests: only failures that KNOWN-RED.txt lists may pass. */

import {readFileSync} from 'node:fs';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

/** Verdict on a run of the tests. */
export type Verdict = Readonly<{
	passes: boolean;
	/** Failures that are listed. */
	known: readonly string[];
	/** Failures that are not. */
	unknown: readonly string[];
}>;

const LINE_PATTERN = /^(?<indent> *)(?:# Subtest: (?<subtest>.+)|(?<failed>not )?ok \d+ - (?<name>.+))$/v;
const ENTRY_PATTERN = /^(?<suite>[^#"]*)"(?<name>[^"]+)"/v;
const INDENT = 4;

/** Parses the names of the tests that a list of known failures gives; comments begin with #. */
export const parseKnownFailures = (text: string): readonly string[] => text
	.split('\n')
	.flatMap(line => ENTRY_PATTERN.exec(line)?.groups?.name ?? []);

/** Finds the innermost tests that failed, with the names of their suites; a suite fails only because of its tests. */
export const findFailures = (output: string): ReadonlyArray<readonly string[]> => {
	const lines = output.split('\n');
	const open: string[] = [];
	return lines.flatMap((line, index): ReadonlyArray<readonly string[]> => {
		const groups = LINE_PATTERN.exec(line)?.groups;
		if (!groups) {
			return [];
		}

		const depth = (groups.indent?.length ?? 0) / INDENT;
		if (groups.subtest !== undefined) {
			open.length = depth;
			open.push(groups.subtest);
			return [];
		}

		const details = lines.slice(index + 1);
		const isSuite = details.slice(0, details.findIndex(one => one.trim() === '...')).some(one => one.includes('failureType: \'subtestsFailed\''));
		return groups.failed !== undefined && !isSuite ? [[...open.slice(0, depth), groups.name ?? '']] : [];
	});
};

/** Judges a run by its exit code and output. */
export const evaluateTestRun = (exitCode: number, output: string, knownRed: string): Verdict => {
	const listed = new Set(parseKnownFailures(knownRed));
	const failures = findFailures(output).map(names => ({name: names.at(-1) ?? '', path: names.join(' > ')}));
	const known = failures.filter(({name}) => listed.has(name)).map(one => one.path);
	const unknown = failures.filter(({name}) => !listed.has(name)).map(one => one.path);
	// A run that failed without a failed test did not come as far as the tests.
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
