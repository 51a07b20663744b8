#!/usr/bin/env node
import {
  decideAdmission,
  EndpointChooser,
  LengthEstimator,
  RouteKind,
} from '@lilacledge/policy';
import type {Candidate, MemoryClaim} from '@lilacledge/policy';
import {decodeMessage, encodeMessage} from '@lilacledge/protocol';
import type {Message} from '@lilacledge/protocol';
import {createRandom} from '@lilacledge/shared';
import {build} from 'hdr-histogram-js';

const ROUNDS = 20_000;
const WARM_ROUNDS = 2_000;
const NANOS = 1_000_000;

const random = createRandom(1);

function time(name: string, decide: () => void): void {
  for (let round = 0; round < WARM_ROUNDS; round++) decide();
  const histogram = build();
  for (let round = 0; round < ROUNDS; round++) {
    const startedMs = performance.now();
    decide();
    histogram.recordValue((performance.now() - startedMs) * NANOS);
  }
  const at = (percentile: number): string =>
    (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(1);
  process.stdout.write(`| ${name} | ${at(50)} | ${at(99)} |\n`);
}

function toCandidate(index: number): Candidate {
  return {
    id: `endpoint-${index}`,
    isSameZone: index % 3 === 0,
    outstanding: Math.floor(random() * 40),
    unreportedTokens: random() * 2_000,
    predictedWaitMs: random() * 500,
    tokenMs: 10 + random() * 20,
    backlogTokens: random() * 20_000,
    maxBatch: 48,
    reportAgeMs: random() * 2_000,
    cachedTokens: random() < 0.1 ? 64 : 0,
  };
}

function toClaim(estimator: LengthEstimator): MemoryClaim {
  const produced = Math.floor(random() * 900);
  return {
    heldTokens: 300 + produced,
    produced,
    maxTokens: 4_096,
    lengths: estimator.modelFor('organisation', 4_096),
  };
}

process.stdout.write('| decision | p50 µs | p99 µs |\n| --- | --- | --- |\n');
for (const count of [20, 200]) {
  const candidates = Array.from({length: count}, (_, index) =>
    toCandidate(index),
  );
  const chooser = new EndpointChooser(random);
  const request = {promptTokens: 200, expectedTokens: 256};
  time(`endpoint among ${count}`, () => {
    chooser.choose(RouteKind.PREDICTED, candidates, request);
  });
}
for (const running of [20, 200]) {
  const estimator = new LengthEstimator();
  const claims = Array.from({length: running}, () => toClaim(estimator));
  const candidate = toClaim(estimator);
  const capacity = {memoryTokens: 1_000_000, maxBatch: 256};
  const rule = {kind: 'expected', overflowChance: 0.25} as const;
  time(`admission beside ${running} running`, () => {
    decideAdmission(rule, capacity, claims, candidate);
  });
}

const REPORT: Message = {
  type: 'report',
  load: {
    state: 'serving',
    queued: 12,
    running: 40,
    backlogTokens: 21_345.6,
    memoryShare: 0.8123,
    predictedWaitMs: 120.5,
    tokenMs: 23.4,
    maxBatch: 48,
  },
};
const TOKENS: Message = {
  type: 'tokens',
  callId: 123_456,
  offset: 2_345,
  texts: [' token'],
};
for (const message of [REPORT, TOKENS]) {
  const {length} = encodeMessage(message);
  time(`${message.type}, ${length} bytes, written, read and checked`, () => {
    decodeMessage(encodeMessage(message));
  });
}
