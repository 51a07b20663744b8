import type {Socket} from 'node:net';

/**
 * Keeps a socket from being read, also where the HTTP server resumes it for the rest of a
 * message. Returns a function that lets it be read again.
 */
export function holdReading(socket: Socket): () => void {
  const pause = (): void => {
    socket.pause();
  };
  socket.on('resume', pause);
  socket.pause();
  return () => {
    socket.off('resume', pause);
    socket.resume();
  };
}
