/** Structure of the code: imports, names, file sizes and the catalogue of events. */

import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {EVENTS} from '@guavapitch/telemetry';

const ROOT = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..', '..', '..');
const MAX_LINES = 400;

/** Layers of packages, as in the table of docs/DESIGN.md; a package may import only packages of earlier layers. */
const LAYERS: ReadonlyArray<readonly string[]> = [
	['core'],
	['telemetry', 'inventory', 'store', 'peer-protocol', 'postgres-wire', 'membership', 'limits', 'pool', 'feed'],
	['configuration', 'roles', 'sessions'],
	['failover', 'requests', 'database-owners', 'callers'],
	['front-postgres', 'back-postgres'],
	['routing'],
	['proxy', 'vm', 'operator', 'timeline', 'standin', 'load', 'emulator'],
	['bench'],
];
/** Index of the layer of programs, which may also import each other's libraries. */
const PROGRAM_LAYER = 6;
/** Packages that make decisions, which must not depend on the encoding of messages. */
const DECISION_PACKAGES: readonly string[] = [
	'failover',
	'routing',
	'limits',
	'membership',
	'roles',
	'pool',
	'configuration',
	'sessions',
	'feed',
	'database-owners',
	'callers',
	'requests',
	'emulator',
];
/** Packages that encode and decode messages. */
const CODEC_PACKAGES: ReadonlySet<string> = new Set(['peer-protocol', 'postgres-wire']);

const listSources = (name: string): readonly string[] => readdirSync(path.join(ROOT, 'packages', name, 'src'))
	.filter(file => file.endsWith('.ts'))
	.map(file => path.join(ROOT, 'packages', name, 'src', file));

const listPackages = (): readonly string[] => readdirSync(path.join(ROOT, 'packages'));

const listImports = (file: string): readonly string[] => [...readFileSync(file, 'utf8').matchAll(/from '@guavapitch\/(?<name>[\-a-z]+)'/gv)].map(match => match.groups?.name ?? '');

const readVerbs = (): ReadonlySet<string> => {
	const glossary = readFileSync(path.join(ROOT, 'docs', 'GLOSSARY.md'), 'utf8');
	const list = glossary.split('## Verbs')[1] ?? '';
	return new Set([...list.matchAll(/`(?<verb>[a-z]+)`/gv)].map(match => match.groups?.verb ?? ''));
};

/** Names of the users' platform, which only its adapter may use. */
const PLATFORM_NAMES = /X-Fencing-Token|X-Lease-Holder|kv-(?:txn|range|watch|lease|keep)|op\/config|GUAVAPITCH_BOOT|target_latency_ms|bounded_staleness|read_your_writes|db_role|tx_idle_ms/v;

const listAdapterSources = (): readonly string[] => readdirSync(path.join(ROOT, 'platform', 'src'))
	.filter(file => file.endsWith('.ts'))
	.map(file => path.join(ROOT, 'platform', 'src', file));

describe('structure', () => {
	describe('the adapter of the platform', () => {
		it('is the only code that uses names of the platform', () => {
			const offenders = listPackages().flatMap(name => listSources(name)).filter(file => PLATFORM_NAMES.test(readFileSync(file, 'utf8')));
			assert.deepEqual(offenders, []);
		});

		it('is imported by no package, and follows the rules for files and names', () => {
			const verbs = readVerbs();
			for (const name of listPackages()) {
				assert.ok(listSources(name).every(file => !listImports(file).includes('platform-adapter')), name);
			}

			for (const file of listAdapterSources()) {
				const text = readFileSync(file, 'utf8');
				assert.ok(text.split('\n').length <= MAX_LINES, `${file} is too long`);
				assert.ok(file.endsWith('index.ts') || /^(?:#![^\n]*\n)?\/\*\*/v.test(text), `${file} has no doc comment`);
				for (const match of text.matchAll(/^export const (?<name>[a-z]\w*) = (?:async )?(?:<[^>]*>)?\(/gmv)) {
					assert.ok(verbs.has(/^[a-z]+/v.exec(match.groups?.name ?? '')?.[0] ?? ''), `${file}: ${match.groups?.name}`);
				}
			}
		});
	});

	describe('imports', () => {
		it('follow the table of docs/DESIGN.md', () => {
			assert.deepEqual(LAYERS.flat().toSorted(), [...listPackages()].toSorted());
			for (const [layer, names] of LAYERS.entries()) {
				const allowed = new Set([...LAYERS.slice(0, layer).flat(), ...(layer === PROGRAM_LAYER ? names : [])]);
				for (const name of names) {
					for (const file of listSources(name)) {
						for (const imported of listImports(file)) {
							assert.ok(allowed.has(imported), `${name} imports ${imported} in ${path.basename(file)}`);
						}
					}
				}
			}
		});

		it('of decision packages include no codec', () => {
			for (const name of DECISION_PACKAGES) {
				const imports = listSources(name).flatMap(file => listImports(file));
				assert.deepEqual(imports.filter(imported => CODEC_PACKAGES.has(imported)), [], name);
			}
		});
	});

	describe('names', () => {
		it('of exported functions begin with a verb of docs/GLOSSARY.md', () => {
			const verbs = readVerbs();
			const unlisted: string[] = [];
			for (const file of listPackages().flatMap(name => listSources(name))) {
				for (const match of readFileSync(file, 'utf8').matchAll(/^export const (?<name>[a-z]\w*) = (?:async )?(?:<[^>]*>)?\(/gmv)) {
					const name = match.groups?.name ?? '';
					const verb = /^[a-z]+/v.exec(name)?.[0] ?? '';
					if (!verbs.has(verb)) {
						unlisted.push(name);
					}
				}
			}

			assert.deepEqual(unlisted, []);
		});
	});

	describe('files', () => {
		it(`have at most ${MAX_LINES} lines and begin with a doc comment`, () => {
			for (const file of listPackages().flatMap(name => listSources(name))) {
				const text = readFileSync(file, 'utf8');
				assert.ok(text.split('\n').length <= MAX_LINES, `${file} is too long`);
				assert.ok(file.endsWith('index.ts') || /^(?:#![^\n]*\n)?\/\*\*/v.test(text), `${file} has no doc comment`);
			}
		});

		it('named index contain only re-exports', () => {
			const reExport = /^export (?:type )?\* from '.+';$/v;
			for (const name of listPackages()) {
				const text = readFileSync(path.join(ROOT, 'packages', name, 'src', 'index.ts'), 'utf8');
				assert.deepEqual(text.trim().split('\n').filter(line => !reExport.test(line)), [], name);
			}
		});
	});

	describe('events', () => {
		it('are listed in docs/EVENTS.md, each number once', () => {
			const page = readFileSync(path.join(ROOT, 'docs', 'EVENTS.md'), 'utf8');
			const rows = [...page.matchAll(/^\| (?<id>\d+) \| (?<level>\w+) \| (?<title>[^\|]+) \|$/gmv)].map(({groups}) => ({id: Number(groups?.id), level: groups?.level, title: groups?.title}));
			assert.deepEqual(rows, Object.values(EVENTS).map(({id, level, title}) => ({id, level, title})));
			assert.equal(new Set(rows.map(row => row.id)).size, rows.length);
		});
	});
});
