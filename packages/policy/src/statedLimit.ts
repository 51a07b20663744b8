/** What the head of an answer says of the rate that its endpoint takes. */
export type LimitStatement =
  | {readonly kind: 'none'}
  /** Requests a second, from all entries together. */
  | {readonly kind: 'stated'; readonly perS: number}
  | {readonly kind: 'unreadable'};

/** What a statement changed. */
export const LimitChange = {
  NONE: 'none',
  BEGUN: 'begun',
  RATE: 'rate',
  ENDED: 'ended',
} as const;
export type LimitChange = (typeof LimitChange)[keyof typeof LimitChange];

/** One answer, on the steady clock. */
export interface AnswerTimes {
  readonly sentMs: number;
  readonly nowMs: number;
  /** True for a rejection: one without a limit does not say that it is over. */
  readonly isRejection: boolean;
}

/**
 * The rate that an endpoint says it takes from all entries together. Answers overtake one
 * another: the limit holds until the answer to a request that was sent after the last word of
 * it names none.
 */
export class StatedLimit {
  private stated: {readonly perS: number; readonly heardMs: number} | undefined;

  /** Requests a second; undefined while the endpoint names no limit. */
  get perS(): number | undefined {
    return this.stated?.perS;
  }

  noteAnswer(
    statement: LimitStatement,
    {sentMs, nowMs, isRejection}: AnswerTimes,
  ): LimitChange {
    const {stated} = this;
    switch (statement.kind) {
      case 'unreadable':
        return LimitChange.NONE;
      case 'stated':
        this.stated = {perS: statement.perS, heardMs: nowMs};
        if (stated === undefined) return LimitChange.BEGUN;
        return stated.perS === statement.perS
          ? LimitChange.NONE
          : LimitChange.RATE;
      case 'none': {
        const isOver = stated !== undefined && sentMs > stated.heardMs;
        if (isRejection || !isOver) return LimitChange.NONE;
        this.stated = undefined;
        return LimitChange.ENDED;
      }
    }
  }
}
