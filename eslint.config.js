import tseslint from 'typescript-eslint';

/** Rules follow the Google TypeScript Style Guide; see docs/contributing.md. */
export default tseslint.config(
  {ignores: ['**/dist/**', '**/gen/**', 'node_modules/**', 'target/**']},
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'no-var': 'error',
      'prefer-const': 'error',
      'no-restricted-syntax': [
        'error',
        {selector: 'TSEnumDeclaration', message: 'Use a constant object.'},
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
      ],
    },
  },
  {
    files: ['vitest.config.ts'],
    rules: {'no-restricted-syntax': 'off'},
  },
);
