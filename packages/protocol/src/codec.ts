import {Packr} from 'msgpackr';
import {parseMessage} from './checkMessage.js';
import type {Message} from './messages.js';

// With records, decoding a frame would depend on the structures sent in earlier frames.
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: true});

/** Encodes a message as one frame. */
export function encodeMessage(message: Message): Uint8Array {
  return packr.pack(message);
}

/** Decodes and validates one frame; undefined if it is malformed. */
export function decodeMessage(frame: Uint8Array): Message | undefined {
  try {
    return parseMessage(packr.unpack(frame));
  } catch {
    return undefined;
  }
}
