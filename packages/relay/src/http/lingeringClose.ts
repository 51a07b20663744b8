import type {Socket} from 'node:net';

/**
 * A connection is read on for this long after its last answer, as closing it with unread bytes
 * would reset it before its caller has the answer.
 */
export const LINGER_MS = 1_000;

/**
 * Makes the end of a connection whose caller may have sent more wait until the caller has closed
 * its side, or for a second.
 *
 * @param ignoreRest called once the last answer is written; what is read then belongs to no request.
 */
export function lingerAtEnd(socket: Socket, ignoreRest: () => void): void {
  socket.destroySoon = () => {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    ignoreRest();
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
    socket.once('close', () => clearTimeout(timer));
  };
}

/** Lets a connection end as soon as its last answer is written. */
export function endAtOnce(socket: Socket): void {
  if (Object.hasOwn(socket, 'destroySoon')) {
    delete (socket as Partial<Socket>).destroySoon;
  }
}
