import {Packr} from 'msgpackr';
import {toMessage} from './checkMessage.js';
import type {Message} from './messages.js';

// Records would make a frame depend on earlier ones; frames stay independent.
const packr = new Packr({useRecords: false, encodeUndefinedAsNil: true});

/** Encodes one message as one frame. */
export function encodeMessage(message: Message): Uint8Array {
  return packr.pack(message);
}

/** Decodes and checks one frame; undefined for anything malformed. */
export function decodeMessage(frame: Uint8Array): Message | undefined {
  try {
    return toMessage(packr.unpack(frame));
  } catch {
    return undefined;
  }
}
