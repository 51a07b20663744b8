import type {RequestOptions} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';

/**
 * Bytes that are read first: a process that holds many answers back after their heads has read
 * no more of each.
 */
const FIRST_READ_BYTES = 8 * 1024;
const READ_BYTES = 64 * 1024;

/** Each read is parsed before the next one, so that all connections share their buffers. */
const firstRead = Buffer.allocUnsafeSlow(FIRST_READ_BYTES);
const laterRead = Buffer.allocUnsafeSlow(READ_BYTES);

/**
 * Opens a connection for one send, at a cost of about a millisecond. Bytes that an endpoint
 * writes late or after its answer then cannot be taken for another request's answer, and no send
 * uses a connection that the endpoint is closing as idle.
 *
 * A socket that reads into a buffer of its user stops at once when it is paused.
 */
export function connectToEndpoint({host, port}: RequestOptions): Socket {
  let buffers = 0;
  const socket: Socket = connect({
    host: host ?? undefined,
    port: Number(port),
    noDelay: true,
    onread: {
      buffer: () => (buffers++ === 0 ? firstRead : laterRead),
      callback: (bytes, {buffer, byteOffset}) => {
        socket.emit('data', Buffer.from(buffer, byteOffset, bytes));
        return true;
      },
    },
  });
  return socket;
}
