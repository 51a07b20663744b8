/** Prints the results of a command, as plain text or as JSON. */
export interface Output {
  /** Prints rows as a table or as a JSON array. */
  rows(rows: ReadonlyArray<Readonly<Record<string, string | number>>>): void;
  /** Prints a sentence in plain text; prints nothing in JSON. */
  info(sentence: string): void;
  /** Prints `text`, or `value` in JSON. */
  value(value: unknown, text: string): void;
}

/** Creates an output that writes to standard output. */
export function createOutput(isJson: boolean): Output {
  const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
  };
  return {
    rows: (rows) => write(isJson ? JSON.stringify(rows) : toTable(rows)),
    info: (sentence) => {
      if (!isJson) write(sentence);
    },
    value: (value, text) => write(isJson ? JSON.stringify(value) : text),
  };
}

function toTable(
  rows: ReadonlyArray<Readonly<Record<string, string | number>>>,
): string {
  if (rows.length === 0) return '(none)';
  const columns = Object.keys(rows[0]!);
  const lines = [
    columns,
    ...rows.map((row) => columns.map((c) => `${row[c]}`)),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]!.length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, index) => cell.padEnd(widths[index]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
