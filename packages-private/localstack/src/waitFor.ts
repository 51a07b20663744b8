const POLL_MS = 20;

/** Polls `read` until it returns a value; throws after `timeoutMs`. */
export async function waitFor<T>(
  what: string,
  read: () => Promise<T | undefined> | T | undefined,
  timeoutMs = 20_000,
): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await Promise.resolve(read());
    if (value !== undefined) return value;
    if (performance.now() > deadlineMs) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Waits until a GET of the URL answers with status 200. */
export async function waitForOk(url: string): Promise<void> {
  await waitFor(`200 from ${url}`, async () => {
    const response = await fetch(url).catch(() => undefined);
    await response?.text();
    return response?.status === 200 ? true : undefined;
  });
}
