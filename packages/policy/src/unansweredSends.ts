import type {OpenSend} from './openSend.js';

/** The sends to one incarnation of an endpoint that it has not answered. */
export class UnansweredSends {
  private readonly open = new Set<OpenSend>();

  add(send: OpenSend): void {
    this.open.add(send);
  }

  /** The send has got an answer, or its fate is known otherwise. */
  remove(send: OpenSend): void {
    this.open.delete(send);
  }

  /** Sends whose fate is open, given up or not. */
  get count(): number {
    return this.open.size;
  }
}
