import type {IncomingMessage} from 'node:http';

/** A complete body, or the reason why it is incomplete. */
export type BodyOutcome =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'tooLarge'}
  | {readonly kind: 'cut'; readonly detail: string};

/** Reads a body of at most `maxBytes`. Never rejects. */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;

    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        chunks.length = 0;
        resolve({kind: 'tooLarge'});
        return;
      }
      chunks.push(chunk);
    });
    message.on('end', () => {
      if (!message.complete) {
        return resolve({kind: 'cut', detail: 'short body'});
      }
      resolve({kind: 'whole', body: concatChunks(chunks)});
    });
    message.on('error', (error) => {
      resolve({kind: 'cut', detail: error.message});
    });
    message.on('close', () => {
      resolve({kind: 'cut', detail: 'connection closed'});
    });
  });
}

function concatChunks(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
