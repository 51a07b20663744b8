/** Sum of the samples of a metric, whatever their labels; undefined if there is no answer. */
export async function readMetricSum(
  url: string,
  name: string,
  timeoutMs: number,
): Promise<number | undefined> {
  const text = await fetch(url, {signal: AbortSignal.timeout(timeoutMs)})
    .then((response) => response.text())
    .catch(() => undefined);
  return text === undefined ? undefined : sumOfSamples(text, name);
}

/**
 * Adds the samples of a metric up; undefined if the text doesn't declare it, so that a metric
 * which was renamed isn't taken for one without samples.
 */
export function sumOfSamples(text: string, name: string): number | undefined {
  const lines = text.split('\n');
  if (!lines.some((line) => line.startsWith(`# TYPE ${name} `))) {
    return undefined;
  }
  return lines
    .filter(
      (line) => line.startsWith(`${name}{`) || line.startsWith(`${name} `),
    )
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}
