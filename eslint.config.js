import js from '@eslint/js';
import { defineConfig } from 'eslint/config';
import { createNodeResolver, importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/**
 * Directories that still have the syntactic rules only. An entry goes away as soon as its directory is clean;
 * none may be added.
 */
const legacyFiles = ['src/controller/**', 'test/controller/**'];

export default defineConfig(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  // A directive that no longer disables anything would hide the next fault of its line.
  { linterOptions: { reportUnusedDisableDirectives: 'error' } },
  js.configs.recommended,
  tseslint.configs.strict,
  {
    plugins: { 'import-x': importX },
    settings: {
      // The plugin looks into `.js` files alone by default; imports here name their `.ts` file.
      'import-x/extensions': ['.ts'],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
      'import-x/resolver-next': [createNodeResolver({ extensions: ['.ts', '.js', '.json'] })],
    },
    rules: {
      eqeqeq: 'error',
      // Imports of types alone don't count: they are gone at run time.
      'import-x/no-cycle': 'error',
      // `no-cycle` skips what it can't resolve without a word.
      'import-x/no-unresolved': 'error',
    },
  },
  {
    files: legacyFiles,
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-extraneous-class': 'off',
    },
  },
  {
    files: ['src/**/*.ts', 'test/**/*.ts', 'standins/**/*.ts'],
    ignores: legacyFiles,
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { jsdoc },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          // node:test itself awaits the tests that a file registers at its top level.
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] },
          ],
        },
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        // Numbers and booleans have one printed form, and most of our log lines and keys hold one. What the rule is
        // for stays forbidden: objects, arrays, null and undefined.
        {
          allowNumber: true,
          allowBoolean: true,
          // The rule's own defaults would let these pass.
          allowAny: false,
          allowNever: false,
          allowNullish: false,
          allowRegExp: false,
        },
      ],
      // A comment that only repeats the name.
      'jsdoc/informative-docs': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          // The fixer writes empty comments.
          enableFixer: false,
          require: { ClassDeclaration: true, FunctionDeclaration: true },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'TSEnumDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
    },
  },
  {
    // Inner loops over dense arrays, whose indices are right by construction: a check at each access would cost a
    // round, or an emulated day, more time than it is worth.
    files: [
      'src/scheduling/round.ts',
      'src/scheduling/solver.ts',
      'src/scheduling/targets.ts',
      'src/sim/queue.ts',
    ],
    rules: { '@typescript-eslint/no-non-null-assertion': 'off' },
  },
  {
    files: ['test/**/*.ts'],
    // Exports of test/ are helpers of neighbouring test files, not an interface.
    rules: { 'jsdoc/require-jsdoc': 'off' },
  },
);
