/** Features of one request in a log line. */
const MAX_LOGGED_FEATURES = 17;

/** Names the features of a request for the log, of long prompts only the first ones. */
export function describeFeatures(features: readonly string[]): string {
  const logged = features.slice(0, MAX_LOGGED_FEATURES);
  const omitted = features.length - logged.length;
  const rest = omitted === 0 ? [] : [`and ${omitted} more`];
  return [...logged, ...rest].join(',');
}
