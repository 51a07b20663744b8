import type {RawHeaders} from '../model/index.js';

/** A token of RFC 9110. The HTTP parser of Node.js also reads names with spaces. */
const TOKEN = /^[\w!#$%&'*+.^`|~-]+$/;

/** A request target without white space, of which the HTTP parser reads some. */
const TARGET = /^[\u0021-\u00ff]+$/;

/** Whether names and values, one after the other, have names that can be sent on. */
export function areHeaderNamesValid(rawHeaders: RawHeaders): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!TOKEN.test(rawHeaders[index]!)) return false;
  }
  return true;
}

/** Whether the target of a request can be sent on. */
export function isTargetValid(target: string): boolean {
  return TARGET.test(target);
}
