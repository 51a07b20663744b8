import {closenessOf, isPart} from './crashReports.js';
import type {RecordedCrash} from './crashReports.js';
import {PRIOR_SHARE} from './featureShares.js';
import {MAX_RECORDED_PARTS} from './quarantineRules.js';

/** Fewer crashes than this are never explained by parts alone, see `PARTS_RULE`. */
const MIN_CRASHES = 3;

/** Explanations that are weighed for one request, those of most crashes first. */
const MAX_EXPLANATIONS = 64;

/** A set that has shrunk by this part since it was last told is told again. */
const TOLD_SHARE = 1 / 8;

/** A request that an endpoint crashed under, with the parts that may be the cause. */
export interface CrashedPrompt {
  readonly request: string;
  readonly life: string;
  readonly crash: RecordedCrash;
  /**
   * Share of the requests that had a part when the crash was noted, by part. Parts that were
   * served since are removed, and none is ever added.
   */
  readonly parts: ReadonlyMap<string, number>;
}

/** Parts that the prompts of several crashes have in common. */
export interface Explanation {
  readonly prompts: readonly CrashedPrompt[];
  /** The parts; a request is explained by them only if it has all. */
  readonly parts: readonly string[];
  /** The first one, by name, of those that are in most crashed prompts. */
  readonly mostSuspect: string;
  /** Number of other parts of the prompt that has fewest. */
  readonly otherParts: number;
}

interface MutablePrompt extends CrashedPrompt {
  readonly id: number;
  crash: RecordedCrash;
  readonly parts: Map<string, number>;
  /** Number of parts when other processes were last told of them. */
  toldCount: number;
}

/** Parts that are in exactly the same crashed prompts: nothing tells them apart yet. */
interface PartClass {
  readonly key: string;
  readonly prompts: ReadonlySet<MutablePrompt>;
  readonly parts: Set<string>;
}

/** True if the prompt has too many parts for a record of each. */
export function isLongPrompt({promptParts}: RecordedCrash): boolean {
  return promptParts > MAX_RECORDED_PARTS;
}

/**
 * Compares the prompts of crashed requests, however many parts they have.
 *
 * Of each crash one set is kept, which only shrinks: by what is served afterwards, and by what
 * other processes removed. Parts are grouped by the crashes whose sets have them, so the cost
 * grows with the parts of a request and not with their pairs.
 */
export class CrashedPrompts {
  private readonly prompts = new Map<string, MutablePrompt>();
  private readonly byLife = new Map<string, Set<MutablePrompt>>();
  private readonly classOf = new Map<string, PartClass>();
  private readonly classes = new Map<string, PartClass>();
  private sequence = 0;
  private partCount = 0;

  /** Number of parts in all sets. */
  get size(): number {
    return this.partCount;
  }

  /** True if the part may be the cause of a crash. */
  has(part: string): boolean {
    return this.classOf.has(part);
  }

  /** Records the crash of a request; its parts are those that all reports of it have. */
  note(request: string, crash: RecordedCrash): void {
    if (crash.company === undefined) return;
    const reported = sharesOf(crash);
    const known = this.prompts.get(keyOf(request, crash.life));
    if (known === undefined) {
      if (this.hasCloser(crash)) return;
      this.add(request, crash, reported);
    } else {
      known.crash = crash;
      known.toldCount = Math.min(known.toldCount, reported.size);
      const parts = [...known.parts.keys()];
      this.removeParts(
        known,
        parts.filter((part) => !reported.has(part)),
      );
    }
    this.dropLessClose(crash);
  }

  /** Removes parts of a request that was served; returns the prompts to tell others of. */
  removeServed(parts: readonly string[]): CrashedPrompt[] {
    const changed = new Set<MutablePrompt>();
    for (const part of parts) {
      for (const prompt of this.classOf.get(part)?.prompts ?? []) {
        this.removeParts(prompt, [part]);
        changed.add(prompt);
      }
    }
    return [...changed].filter(takeNews);
  }

  /** Removes a part from the prompts of these incarnations. */
  clear(part: string, lives: readonly string[]): void {
    const prompts = this.classOf.get(part)?.prompts ?? [];
    for (const prompt of prompts) {
      if (lives.includes(prompt.life)) this.removeParts(prompt, [part]);
    }
  }

  /** Removes all parts of a request that did not crash these incarnations. */
  clearRequest(request: string, lives: readonly string[]): void {
    for (const life of lives) {
      const prompt = this.prompts.get(keyOf(request, life));
      if (prompt === undefined) continue;
      this.removeParts(prompt, [...prompt.parts.keys()]);
    }
  }

  /** Forgets the crashes of a request. */
  delete(request: string): void {
    for (const prompt of [...this.prompts.values()]) {
      if (prompt.request === request) this.deletePrompt(prompt);
    }
  }

  /** What may explain the crashes of long prompts and is wholly in a request. */
  explanationsIn(parts: readonly string[]): Explanation[] {
    const hits = new Map<PartClass, number>();
    for (const part of parts) {
      const found = this.classOf.get(part);
      if (found !== undefined) hits.set(found, (hits.get(found) ?? 0) + 1);
    }
    return this.candidates(hits.keys())
      .map((candidate) => ({candidate, common: this.commonClasses(candidate)}))
      .filter(({common}) =>
        common.every((item) => hits.get(item) === item.parts.size),
      )
      .map(({candidate, common}) => toExplanation(candidate, common));
  }

  /** What may explain the crashes of long prompts. */
  get explanations(): Explanation[] {
    return this.candidates(this.classes.values()).map((candidate) =>
      toExplanation(candidate, this.commonClasses(candidate)),
    );
  }

  /** What may explain the crashes of long prompts, that of this request among them. */
  explanationsOf(request: string): Explanation[] {
    const classes = [...this.classes.values()].filter(({prompts}) =>
      [...prompts].some((prompt) => prompt.request === request),
    );
    return this.candidates(classes).map((candidate) =>
      toExplanation(candidate, this.commonClasses(candidate)),
    );
  }

  private candidates(classes: Iterable<PartClass>): PartClass[] {
    return [...classes]
      .filter(({prompts}) => prompts.size >= MIN_CRASHES)
      .filter(({prompts}) =>
        [...prompts].some(({crash}) => isLongPrompt(crash)),
      )
      .sort((a, b) => b.prompts.size - a.prompts.size)
      .slice(0, MAX_EXPLANATIONS);
  }

  /** Classes of the parts that are in all prompts of `candidate`. */
  private commonClasses({prompts}: PartClass): PartClass[] {
    const needed = [...prompts];
    return [...this.classes.values()].filter(
      (other) =>
        other.prompts.size >= prompts.size &&
        needed.every((prompt) => other.prompts.has(prompt)),
    );
  }

  /** True if the incarnation had a request that was closer to its crash. */
  private hasCloser(crash: RecordedCrash): boolean {
    const closeness = closenessOf(crash);
    return this.promptsOf(crash.life).some(
      (other) => closenessOf(other.crash) > closeness,
    );
  }

  /** Forgets requests of the incarnation that were not as close to its crash. */
  private dropLessClose(crash: RecordedCrash): void {
    const closeness = closenessOf(crash);
    for (const other of this.promptsOf(crash.life)) {
      if (closenessOf(other.crash) < closeness) this.deletePrompt(other);
    }
  }

  private promptsOf(life: string): MutablePrompt[] {
    return [...(this.byLife.get(life) ?? [])];
  }

  private add(
    request: string,
    crash: RecordedCrash,
    parts: Map<string, number>,
  ): void {
    const {life} = crash;
    const prompt: MutablePrompt = {
      id: ++this.sequence,
      request,
      life,
      crash,
      parts,
      toldCount: parts.size,
    };
    this.prompts.set(keyOf(request, life), prompt);
    const ofLife = this.byLife.get(life) ?? new Set();
    this.byLife.set(life, ofLife.add(prompt));
    this.partCount += parts.size;
    for (const part of parts.keys()) {
      const prompts = this.classOf.get(part)?.prompts ?? [];
      this.assign(part, new Set([...prompts, prompt]));
    }
  }

  private deletePrompt(prompt: MutablePrompt): void {
    this.removeParts(prompt, [...prompt.parts.keys()]);
    this.prompts.delete(keyOf(prompt.request, prompt.life));
    const ofLife = this.byLife.get(prompt.life);
    ofLife?.delete(prompt);
    if (ofLife?.size === 0) this.byLife.delete(prompt.life);
  }

  private removeParts(prompt: MutablePrompt, parts: readonly string[]): void {
    for (const part of parts) {
      if (!prompt.parts.delete(part)) continue;
      this.partCount--;
      const prompts = new Set(this.classOf.get(part)?.prompts);
      prompts.delete(prompt);
      this.assign(part, prompts);
    }
  }

  /** Moves a part to the class of these prompts. */
  private assign(part: string, prompts: ReadonlySet<MutablePrompt>): void {
    const previous = this.classOf.get(part);
    previous?.parts.delete(part);
    if (previous?.parts.size === 0) this.classes.delete(previous.key);
    if (prompts.size === 0) {
      this.classOf.delete(part);
      return;
    }
    // A prompt is only ever added as the newest, so the order is always that of their ids.
    const key = [...prompts].map(({id}) => id).join();
    const next = this.classes.get(key) ?? {key, prompts, parts: new Set()};
    next.parts.add(part);
    this.classes.set(key, next);
    this.classOf.set(part, next);
  }
}

/** True if others should be told what is left of the prompt; then it counts as told. */
function takeNews(prompt: MutablePrompt): boolean {
  const {parts, toldCount} = prompt;
  const removedCount = toldCount - parts.size;
  const isNews = removedCount >= Math.max(1, toldCount * TOLD_SHARE);
  if (isNews) prompt.toldCount = parts.size;
  return isNews && isLongPrompt(prompt.crash);
}

function sharesOf({
  company = [],
  companyPercents,
}: RecordedCrash): Map<string, number> {
  const shares = new Map<string, number>();
  company.forEach((name, index) => {
    const percent = companyPercents?.[index];
    if (!isPart(name)) return;
    shares.set(name, percent === undefined ? PRIOR_SHARE : percent / 100);
  });
  return shares;
}

function toExplanation(
  {prompts}: PartClass,
  common: readonly PartClass[],
): Explanation {
  const parts = common.flatMap((item) => [...item.parts]);
  const sizes = [...prompts].map((prompt) => prompt.parts.size);
  const otherParts = Math.min(...sizes) - parts.length;
  const [mostCommon] = [...common].sort(
    (a, b) => b.prompts.size - a.prompts.size,
  );
  const mostSuspect = firstName([...mostCommon!.parts]);
  return {prompts: [...prompts], parts, mostSuspect, otherParts};
}

/** The first name in order, the same in all processes. */
export function firstName(names: readonly string[]): string {
  return names.reduce((first, name) => (name < first ? name : first));
}

function keyOf(request: string, life: string): string {
  return `${request} ${life}`;
}
