/** @type {import('xo').FlatXoConfig} */
export default [
	{ignores: ['**/dist/**', 'out/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// The house writes one task for each connection straight down, so tasks await inside loops
			// and wait for flags that other tasks set.
			'no-await-in-loop': 'off',
			'no-constant-condition': 'off',
			'no-unmodified-loop-condition': 'off',
			'@typescript-eslint/no-unnecessary-condition': 'off',
			// The house keeps the customary short names of the language.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// Wire formats and libraries choose these names; `Ok` and `Err` are functions of ts-results.
			'@typescript-eslint/naming-convention': 'off',
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err'], properties: false}],
			'unicorn/text-encoding-identifier-case': 'off',
			// Results are read where they are awaited.
			'unicorn/no-await-expression-member': 'off',
			// Brands are made by assertion, in the functions that check the value.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Objects held with `using` act when they are disposed.
			'@typescript-eslint/no-unused-vars': ['error', {ignoreUsingDeclarations: true, args: 'after-used', argsIgnorePattern: '^_'}],
			// A default branch covers the rest of a union.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// Hashes and wire formats work on bits.
			'no-bitwise': 'off',
			// Wire formats are read and written with the accessors of Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['**/tests/**/*.ts'],
		rules: {
			// Nested `describe` blocks are the house's arrangement of tests.
			'max-nested-callbacks': 'off',
			// The runner keeps the promises of `describe` and `it`.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];
