import {findNodeAtLocation, parseTree, printParseErrorCode} from 'jsonc-parser';
import type {Node, ParseError} from 'jsonc-parser';
import type {z} from 'zod';

/** An error in a document, with its location. */
export interface DocumentIssue {
  readonly line: number;
  /** Dotted path of the field; empty for the whole document. */
  readonly field: string;
  readonly message: string;
}

/** The validated value, or all errors. */
export type ParsedDocument<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly issues: readonly DocumentIssue[]};

/**
 * Parses JSON with comments and validates it against `schema`. Errors name the line, the
 * field and what is allowed, but never contain values of the document.
 */
export function parseDocument<T>(
  text: string,
  schema: z.ZodType<T>,
): ParsedDocument<T> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, {allowTrailingComma: true});
  if (tree === undefined || errors.length > 0) {
    return {ok: false, issues: syntaxIssues(text, errors)};
  }
  const result = schema.safeParse(valueOfNode(tree));
  if (result.success) return {ok: true, value: result.data};
  const issues = result.error.issues.map((issue) => ({
    line: lineOfPath(text, tree, issue.path),
    field: issue.path.map(String).join('.'),
    message: issue.message,
  }));
  return {ok: false, issues};
}

/** Formats each issue as a line `FILE:LINE: FIELD: MESSAGE`. */
export function formatIssues(
  file: string,
  issues: readonly DocumentIssue[],
): string {
  return issues
    .map(({line, field, message}) =>
      [`${file}:${line}`, field, message].filter((part) => part).join(': '),
    )
    .join('\n');
}

function syntaxIssues(text: string, errors: ParseError[]): DocumentIssue[] {
  if (errors.length === 0) {
    return [{line: 1, field: '', message: 'the document is empty'}];
  }
  return errors.map((error) => ({
    line: lineOfOffset(text, error.offset),
    field: '',
    message: printParseErrorCode(error.error),
  }));
}

function valueOfNode(node: Node): unknown {
  switch (node.type) {
    case 'object': {
      const pairs = (node.children ?? []).map((property) => [
        String(property.children![0]!.value),
        valueOfNode(property.children![1]!),
      ]);
      return Object.fromEntries(pairs);
    }
    case 'array':
      return (node.children ?? []).map(valueOfNode);
    default:
      return node.value;
  }
}

function lineOfPath(
  text: string,
  tree: Node,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length >= 0; length--) {
    const segments = path.slice(0, length) as (string | number)[];
    const node = findNodeAtLocation(tree, segments);
    if (node !== undefined) return lineOfOffset(text, node.offset);
  }
  return 1;
}

function lineOfOffset(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
