import {constants, fstatSync, openSync, write, writeSync} from 'node:fs';

const STDOUT_FD = 1;

/** How often lines are tried again that a full pipe doesn't take. */
const RETRY_INTERVAL_MS = 20;

/** How often the last lines of a process are tried again. */
const MAX_LAST_RETRIES = 5;

/** Where a process writes its log. */
export interface LogOutput {
  /** Writes without blocking; calls back once all bytes are written or can't be. */
  write(bytes: Buffer, done: (error: Error | null) => void): void;
  /** Writes at once, before the process ends; drops what nobody reads for 100 ms. */
  writeLast(bytes: Buffer): void;
}

/** An open descriptor. */
interface Destination {
  readonly fd: number;
  /** True if writes fail in place of waiting for a reader. */
  readonly isNonBlocking: boolean;
}

/** What is left of bytes after a write, and the error that ended it. */
interface WriteResult {
  readonly left: Buffer;
  readonly error: Error | null;
}

/**
 * Opens standard output. If it is a pipe, no write waits for its reader: a thread that waits in
 * one would keep the process from exiting. Nor is a write left to a thread, which may be late:
 * what the process writes last would come before it.
 */
export function openLogOutput(stdoutFd = STDOUT_FD): LogOutput {
  const {fd, isNonBlocking} = openStdout(stdoutFd);
  const writeOnce = isNonBlocking ? writeAtOnce : writeInThread;
  /** Bytes that wait for the next try. */
  let unwritten: Buffer | undefined;
  let retry: NodeJS.Timeout | undefined;
  let isThreadWriting = false;

  function writeAll(bytes: Buffer, done: (error: Error | null) => void): void {
    isThreadWriting = !isNonBlocking;
    writeOnce(fd, bytes, ({left, error}) => {
      isThreadWriting = false;
      if (left.length === 0) done(null);
      else if (error === null) writeAll(left, done);
      else if (isFull(error)) retryLater(left, done);
      else done(error);
    });
  }

  function retryLater(
    bytes: Buffer,
    done: (error: Error | null) => void,
  ): void {
    unwritten = bytes;
    retry = setTimeout(() => {
      unwritten = undefined;
      writeAll(bytes, done);
    }, RETRY_INTERVAL_MS).unref();
  }

  function writeLast(bytes: Buffer): void {
    clearTimeout(retry);
    // Nothing else tells a process that ends when a thread is done.
    if (isThreadWriting) pause(MAX_LAST_RETRIES * RETRY_INTERVAL_MS);
    const all = Buffer.concat([unwritten ?? Buffer.alloc(0), bytes]);
    unwritten = undefined;
    writeWithRetries(fd, all);
  }

  return {write: writeAll, writeLast};
}

/** A description of its own, so that other processes with the same pipe block as before. */
function openStdout(stdoutFd: number): Destination {
  const inherited = {fd: stdoutFd, isNonBlocking: false};
  try {
    if (!fstatSync(stdoutFd).isFIFO()) return inherited;
    const flags = constants.O_WRONLY | constants.O_NONBLOCK;
    const fd = openSync(`/proc/self/fd/${stdoutFd}`, flags);
    return {fd, isNonBlocking: true};
  } catch {
    // A pipe of another user, or that nobody has open to read: writes may block, or fail.
    return inherited;
  }
}

function writeInThread(
  fd: number,
  bytes: Buffer,
  done: (result: WriteResult) => void,
): void {
  write(fd, bytes, 0, bytes.length, null, (error, written) => {
    done({left: error === null ? bytes.subarray(written) : bytes, error});
  });
}

function writeAtOnce(
  fd: number,
  bytes: Buffer,
  done: (result: WriteResult) => void,
): void {
  done(writeUntilFull(fd, bytes));
}

function writeUntilFull(fd: number, bytes: Buffer): WriteResult {
  let left = bytes;
  try {
    while (left.length > 0) left = left.subarray(writeSync(fd, left));
    return {left, error: null};
  } catch (error) {
    return {left, error: error as Error};
  }
}

function writeWithRetries(fd: number, bytes: Buffer): void {
  let left = bytes;
  for (let retries = 0; ; retries++) {
    const result = writeUntilFull(fd, left);
    // Otherwise standard output has no reader, and the lines have no other destination.
    if (!isFull(result.error) || retries >= MAX_LAST_RETRIES) return;
    left = result.left;
    pause(RETRY_INTERVAL_MS);
  }
}

function isFull(error: NodeJS.ErrnoException | null): boolean {
  return error?.code === 'EAGAIN';
}

/** Blocks the process, which ends anyway. */
function pause(forMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
}
