#!/usr/bin/env node
import {
  decideAdmission,
  EndpointChooser,
  LengthEstimator,
  RoutingRule,
} from '@lilacledge/policy';
import type {Candidate, MemoryClaim} from '@lilacledge/policy';
import {decodeMessage, encodeMessage} from '@lilacledge/protocol';
import type {Message} from '@lilacledge/protocol';
import {createRandom} from '@lilacledge/shared';
import {build} from 'hdr-histogram-js';

const ROUNDS = 20_000;
const WARM_UP_ROUNDS = 2_000;
const NANOS_PER_MS = 1_000_000;

const random = createRandom(1);

/** Prints the p50 and p99 duration of an operation as a row of the table. */
function benchmark(name: string, operation: () => void): void {
  for (let round = 0; round < WARM_UP_ROUNDS; round++) operation();
  const histogram = build();
  for (let round = 0; round < ROUNDS; round++) {
    const startedMs = performance.now();
    operation();
    histogram.recordValue((performance.now() - startedMs) * NANOS_PER_MS);
  }
  const percentileUs = (percentile: number): string =>
    (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(1);
  process.stdout.write(
    `| ${name} | ${percentileUs(50)} | ${percentileUs(99)} |\n`,
  );
}

/** Draws an endpoint with random load. */
function drawCandidate(index: number): Candidate {
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

/** Draws the memory claim of a generation that has made random progress. */
function drawClaim(estimator: LengthEstimator): MemoryClaim {
  const producedTokens = Math.floor(random() * 900);
  return {
    heldTokens: 300 + producedTokens,
    producedTokens,
    maxTokens: 4_096,
    lengths: estimator.modelFor('organisation', 4_096),
  };
}

process.stdout.write('| decision | p50 µs | p99 µs |\n| --- | --- | --- |\n');
for (const count of [20, 200]) {
  const candidates = Array.from({length: count}, (_, index) =>
    drawCandidate(index),
  );
  const chooser = new EndpointChooser(random);
  const request = {promptTokens: 200, expectedTokens: 256};
  benchmark(`endpoint among ${count}`, () => {
    chooser.choose(RoutingRule.PREDICTED, candidates, request);
  });
}
for (const running of [20, 200]) {
  const estimator = new LengthEstimator();
  const claims = Array.from({length: running}, () => drawClaim(estimator));
  const candidate = drawClaim(estimator);
  const capacity = {memoryTokens: 1_000_000, maxBatch: 256};
  const rule = {kind: 'expected', overflowChance: 0.25} as const;
  benchmark(`admission beside ${running} running`, () => {
    decideAdmission(rule, capacity, claims, candidate);
  });
}

const REPORT_MESSAGE: Message = {
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
const TOKENS_MESSAGE: Message = {
  type: 'tokens',
  callId: 123_456,
  offset: 2_345,
  texts: [' token'],
};
for (const message of [REPORT_MESSAGE, TOKENS_MESSAGE]) {
  const {length} = encodeMessage(message);
  benchmark(
    `${message.type}, ${length} bytes, written, read and checked`,
    () => {
      decodeMessage(encodeMessage(message));
    },
  );
}
