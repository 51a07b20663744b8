/**
 * Mutation test: disables one mechanism at a time in a copy of the sources and
 * runs the test file that covers it. That must fail there, and pass on the
 * unchanged sources. `npm run prove [-- NAME]` runs all mechanisms, or those
 * whose name contains NAME.
 */
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';

const RIG = 'packages-private/rig/src/__tests__';

/** The edits that disable each mechanism, and the test file that must fail then. */
const MECHANISMS = [
  {
    name: 'tokens are taken only at the next offset',
    file: 'packages/entry/src/relayAcrossLinks.ts',
    from: 'fromOffset: state.offset,',
    to: 'fromOffset: 0,',
    elsewhere: {
      file: 'packages/entry/src/handleCallMessage.ts',
      from: 'if (message.offset !== offset) {',
      to: 'if (message.offset < 0) {',
    },
    test: `${RIG}/generationFaults.test.ts`,
  },
  {
    name: 'a lost link is resumed',
    file: 'packages/entry/src/relayAcrossLinks.ts',
    from: "if (end !== 'linkLost') return end;",
    to: "if (end !== 'linkLost') return end;\n    break;",
    test: `${RIG}/generationFaults.test.ts`,
  },
  {
    name: 'a silent link is given up',
    file: 'packages/entry/src/sidecarPeer.ts',
    from: 'const SILENCE_HEARTBEATS = 2.5;',
    to: 'const SILENCE_HEARTBEATS = 2_500;',
    test: `${RIG}/generationFaults.test.ts`,
  },
  {
    name: 'a stream without its end is never complete',
    file: 'packages/sidecar/src/adapters/httpEngine.ts',
    from: 'if (finishReason === undefined || !isEnded) {',
    to: 'if (false as boolean) {',
    test: 'packages/sidecar/src/adapters/__tests__/httpEngine.test.ts',
  },
  {
    name: 'the earlier reader is told that it was replaced',
    file: 'packages/sidecar/src/generation.ts',
    from: 'if (previous !== undefined) {',
    to: 'if (previous !== undefined && previous.callId < 0) {',
    test: `${RIG}/generationFaults.test.ts`,
  },
  {
    name: 'a silent engine is given up',
    file: 'packages/sidecar/src/runGeneration.ts',
    from: 'if (remainingMs <= 0) onTimeout();',
    to: 'if (remainingMs <= -1e12) onTimeout();',
    test: `${RIG}/generationFaults.test.ts`,
  },
  {
    name: 'a key is recorded before its call is passed on',
    file: 'packages/sidecar/src/keyedCalls.ts',
    from: 'if (known !== undefined) return this.answerFromRecord(known, digest);',
    to: '',
    test: `${RIG}/keyedCalls.test.ts`,
  },
  {
    name: 'a key with an unknown outcome is kept',
    file: 'packages/sidecar/src/keyedCalls.ts',
    from: 'if (failure.verdict === Verdict.NOT_RUN) this.records.delete(id);',
    to: 'this.records.delete(id);',
    test: `${RIG}/keyedCalls.test.ts`,
  },
  {
    name: 'keys older than the record are undecidable',
    file: 'packages/policy/src/keyOwnership.ts',
    from: 'if (createdMs < recordedFromMs) {',
    to: 'if (createdMs < 0) {',
    test: `${RIG}/keyedCalls.test.ts`,
  },
  {
    name: 'keys minted after the grant belong to nobody',
    file: 'packages/policy/src/keyOwnership.ts',
    from: 'if (interval === undefined || createdMs >= interval.untilWallMs) {',
    to: 'if (interval === undefined) {',
    test: `${RIG}/keyedCalls.test.ts`,
  },
  {
    name: 'a claimer waits for the holder after the store came back older',
    file: 'packages/sidecar/src/slotOwner.ts',
    from: 'return rounds >= EXPIRY_CONFIRMATION_ROUNDS;',
    to: 'return true;',
    test: `${RIG}/keyedCalls.test.ts`,
  },
  {
    name: 'a revision never falls',
    file: 'packages/protocol/src/configCache.ts',
    from: 'if (head.revision > this.revision) return undefined;',
    to: 'if (head.revision !== this.revision) return undefined;',
    also: ['if (revision < this.revision) {', 'if (revision < 0) {'],
    elsewhere: {
      file: 'packages/entry/src/configTask.ts',
      from: 'if (head.revision <= cache.revision) {',
      to: 'if (head.revision === cache.revision) {',
    },
    test: `${RIG}/configuration.test.ts`,
  },
  {
    name: 'a change names the revision that it was made from',
    file: 'packages/store/src/configStore.ts',
    from: 'if (head.revision !== change.baseRevision) {',
    to: 'if (head.revision < 0) {',
    also: [
      'modRevision: stored?.modRevision ?? 0,',
      'modRevision: (await store.get(CONFIG_HEAD_KEY))?.modRevision ?? 0,',
    ],
    test: `${RIG}/configuration.test.ts`,
  },
  {
    name: 'a lost answer is settled by the write id',
    file: 'packages/store/src/configStore.ts',
    from: 'if (earlier !== undefined) {',
    to: 'if (earlier === null) {',
    test: `${RIG}/configuration.test.ts`,
  },
  {
    name: 'a store that is behind takes no change',
    file: 'packages/store/src/configStore.ts',
    from: 'if (head.revision < knownRevision) {',
    to: 'if (head.revision < 0) {',
    test: `${RIG}/configuration.test.ts`,
  },
  {
    name: 'peers pass the configuration on',
    file: 'packages/protocol/src/configCache.ts',
    from: "return {type: 'configRequest', knownRevision: this.revision};",
    to: 'return undefined;',
    test: `${RIG}/configuration.test.ts`,
  },
  {
    name: 'a shrunken list is not believed',
    file: 'packages/entry/src/peerPool.ts',
    from: 'if (this.isImplausible(sidecars)) {',
    to: 'if (this.isImplausible(sidecars) && sidecars.length < 0) {',
    test: `${RIG}/leaving.test.ts`,
  },
  {
    name: 'a shutdown waits for what runs',
    file: 'packages/sidecar/src/createSidecar.ts',
    from: 'while (totalOpenCount() > 0 && clock.nowMs() < deadlineMs) {',
    to: 'while (totalOpenCount() < 0 && clock.nowMs() < deadlineMs) {',
    test: `${RIG}/leaving.test.ts`,
  },
  {
    name: 'a resume by another organisation is refused, at entry and sidecar',
    file: 'packages/entry/src/relayGeneration.ts',
    from: 'if (point?.organisationId !== request.organisation.id) {',
    to: 'if (point === undefined) {',
    elsewhere: {
      file: 'packages/sidecar/src/generationService.ts',
      from: 'if (generation.request.organisationId !== message.organisationId) {',
      to: 'if (generation === undefined) {',
    },
    test: `${RIG}/generationFaults.test.ts`,
  },
  {
    name: 'a draining endpoint gets no new work, by its own word and the entries’',
    file: 'packages/sidecar/src/generationService.ts',
    from: 'state === SidecarState.DRAINING',
    to: "(state as string) === 'never'",
    elsewhere: {
      file: 'packages/entry/src/sidecarPeer.ts',
      from: 'this.report.state === SidecarState.SERVING',
      to: "(this.report.state as string) !== 'never'",
    },
    test: `${RIG}/leaving.test.ts`,
  },
  {
    name: 'a long run avoids engines where a pause over the goal is likely',
    file: 'packages/relay/src/endpoints/chooseEngine.ts',
    from: 'missChance * FAILURE_PENALTY_MS;',
    to: 'missChance * 0 * FAILURE_PENALTY_MS;',
    test: 'packages/relay/src/endpoints/__tests__/chooseByEngineSpeed.test.ts',
  },
  {
    name: 'observations are divided by the slowness of their engine',
    file: 'packages/relay/src/endpoints/engineTimes.ts',
    from: 'noteOutput(tokens, tookMs / this.slowness)',
    to: 'noteOutput(tokens, tookMs)',
    test: 'packages/relay/src/endpoints/__tests__/engineTimes.test.ts',
  },
  {
    name: 'an engine that is slow for some seconds is no slow engine',
    file: 'packages/policy/src/steadyTokenTime.ts',
    from: 'const QUANTILE = 0.2;',
    to: 'const QUANTILE = 0.9;',
    test: 'packages/policy/src/__tests__/steadyTokenTime.test.ts',
  },
  {
    name: 'engine order: an urgent generation waits for the urgent backlog alone',
    file: 'packages/relay/src/endpoints/engineUse.ts',
    from: 'return isUrgent ? (urgentBacklogTokens ?? backlogTokens) : backlogTokens;',
    to: 'return isUrgent ? backlogTokens : backlogTokens;',
    test: 'packages/relay/src/endpoints/__tests__/chooseEngine.test.ts',
  },
  {
    name: 'engine order: a prompt that an engine has begun is ahead of urgent ones',
    file: 'packages/relay/src/sidecar/engineCommitments.ts',
    from: 'urgentTokens: urgentTokens + begunTokens',
    to: 'urgentTokens: urgentTokens + 0 * begunTokens',
    test: 'packages/relay/src/sidecar/__tests__/engineCommitments.test.ts',
  },
  {
    name: 'engine order: a generation that was overtaken teaches no pace',
    file: 'packages/relay/src/requests/prefillMeasure.ts',
    from: 'this.pending = mayBeOvertaken',
    to: 'this.pending = mayBeOvertaken && aheadTokens < 0',
    test: 'packages/relay/src/requests/__tests__/prefillMeasure.test.ts',
  },
  {
    name: 'engine order: room is kept for urgent generations',
    file: 'packages/relay/src/requests/urgentRoom.ts',
    from: 'return this.forecastShare;',
    to: 'return 0 * this.forecastShare;',
    test: 'packages/relay/src/__tests__/competingCallers.test.ts',
  },
  {
    name: 'engine order: urgent requests go first in the queue of an entry',
    file: 'packages/policy/src/waitingOrder.ts',
    from: 'Number(a.canWait ?? false) - Number(b.canWait ?? false) ||',
    to: '',
    test: 'packages/policy/src/__tests__/waitingOrder.test.ts',
  },
  {
    name: 'engine order: one that can wait is not judged by its own wait',
    file: 'packages/policy/src/roomWait.ts',
    from: 'const forecastMs = question.canWait',
    to: 'const forecastMs = question.canWait && waitedMs < 0',
    test: 'packages/policy/src/__tests__/roomWait.test.ts',
  },
  {
    name: 'engine order: the classes of an entry drain apart',
    file: 'packages/relay/src/requests/admissionQueue.ts',
    from: 'return canWait ? this.drains.canWait : this.drains.urgent;',
    to: 'return canWait ? this.drains.urgent : this.drains.urgent;',
    test: 'packages/relay/src/requests/__tests__/admissionQueue.test.ts',
  },
];

/** A test run that exceeds this limit counts as failed. */
const TEST_TIMEOUT_MS = 40_000;

function runTest(folder, test) {
  const vitest = join(folder, 'node_modules/vitest/vitest.mjs');
  const result = spawnSync(
    process.execPath,
    [vitest, 'run', test, '--pool=threads'],
    {
      cwd: folder,
      encoding: 'utf8',
      timeout: TEST_TIMEOUT_MS,
      killSignal: 'SIGKILL',
      env: {...process.env, CI: 'true'},
    },
  );
  const failed = /Tests\s.*?(\d+) failed/.exec(stripColours(result.stdout));
  return {
    isGreen: result.status === 0,
    failed: Number(failed?.[1] ?? 0),
    output: result.stdout + result.stderr,
  };
}

function stripColours(text) {
  return text.replace(/\u001b\[[0-9;]*m/g, '');
}

function copySources() {
  const folder = mkdtempSync(join(tmpdir(), 'lilacledge-prove-'));
  const isSource = (path) =>
    !['node_modules', 'dist', '.git'].includes(basename(path));
  for (const name of ['packages', 'packages-private']) {
    cpSync(name, join(folder, name), {recursive: true, filter: isSource});
  }
  for (const name of [
    'vitest.config.ts',
    'package.json',
    'tsconfig.base.json',
  ]) {
    cpSync(name, join(folder, name));
  }
  symlinkSync(
    join(process.cwd(), 'node_modules'),
    join(folder, 'node_modules'),
  );
  return folder;
}

/** Applies the edits of one mechanism; returns a function that reverts them. */
function disableMechanism(folder, mechanism) {
  const {file, from, to, also, elsewhere} = mechanism;
  const edits = [{file, from, to}];
  if (also !== undefined) edits.push({file, from: also[0], to: also[1]});
  if (elsewhere !== undefined) edits.push(elsewhere);
  const undoEdits = edits.map((edit) => applyEdit(folder, edit));
  return () => undoEdits.reverse().forEach((revert) => revert());
}

function applyEdit(folder, {file, from, to}) {
  const path = join(folder, file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(from)) throw new Error(`not found in ${file}: ${from}`);
  writeFileSync(
    path,
    text.replace(from, () => to),
  );
  return () => writeFileSync(path, text);
}

const wanted = process.argv[2];
const chosen = MECHANISMS.filter(
  ({name}) => wanted === undefined || name.includes(wanted),
);
const folder = copySources();
let isPassed = true;
try {
  for (const test of new Set(chosen.map((mechanism) => mechanism.test))) {
    const {isGreen, output} = runTest(folder, test);
    if (isGreen) continue;
    isPassed = false;
    console.log(`FAILS AS IT IS  ${test}\n${output}`);
  }
  for (const mechanism of chosen) {
    const revert = disableMechanism(folder, mechanism);
    const {isGreen, failed} = runTest(folder, mechanism.test);
    revert();
    const mark = isGreen
      ? 'NOT NOTICED'
      : failed > 0
        ? `${failed} failed`
        : 'hangs';
    console.log(
      `${mark.padEnd(12)} without: ${mechanism.name} (${basename(mechanism.test)})`,
    );
    if (isGreen) isPassed = false;
  }
} finally {
  rmSync(folder, {recursive: true, force: true});
}
process.exit(isPassed ? 0 : 1);
