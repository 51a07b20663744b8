const POLL_MS = 20;

/** Polls until `read` gives a value; fails after `limitMs`. */
export async function waitFor<T>(
  what: string,
  read: () => Promise<T | undefined> | T | undefined,
  limitMs = 20_000,
): Promise<T> {
  const deadlineMs = performance.now() + limitMs;
  for (;;) {
    const value = await Promise.resolve(read());
    if (value !== undefined) return value;
    if (performance.now() > deadlineMs) throw new Error(`no ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Waits until an HTTP path answers 200. */
export async function waitForOk(url: string): Promise<void> {
  await waitFor(`200 from ${url}`, async () => {
    const response = await fetch(url).catch(() => undefined);
    await response?.text();
    return response?.status === 200 ? true : undefined;
  });
}
