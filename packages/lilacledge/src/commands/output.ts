/** Where a command writes, and in which form. */
export interface Output {
  /** A list of rows, as a table or as JSON. */
  rows(rows: ReadonlyArray<Readonly<Record<string, string | number>>>): void;
  /** One sentence; nothing in JSON form. */
  say(sentence: string): void;
  /** One JSON value, or text in plain form. */
  value(value: unknown, text: string): void;
}

/** Writes to standard output. */
export function createOutput(isJson: boolean): Output {
  const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
  };
  return {
    rows: (rows) => write(isJson ? JSON.stringify(rows) : toTable(rows)),
    say: (sentence) => {
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
