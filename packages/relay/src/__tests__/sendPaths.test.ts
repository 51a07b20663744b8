import {readdirSync, readFileSync} from 'node:fs';
import {join, relative} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';

const SOURCE = fileURLToPath(new URL('../', import.meta.url));

/** Calls that open a connection, directly or through a function that does. */
const OPENERS =
  /\b(sendToEndpoint|connectToEndpoint|attemptAt|callHttp|request|connect|createConnection)\(\{?|new WebSocket\(/g;

/** Every file that opens connections, and how it respects the send limits of endpoints. */
const KNOWN: Readonly<Record<string, string>> = {
  'http/connectToEndpoint.ts': 'called by sendToEndpoint.ts alone',
  'http/sendToEndpoint.ts': 'called by endpointAttempt.ts alone',
  'requests/endpointAttempt.ts': 'acquires a permit of SendLimits',
  'requests/callSends.ts': 'acquires a permit of SendLimits',
  'requests/relayGeneration.ts': 'acquires a permit of SendLimits',
  'http/callHttp.ts': 'used only by the files below',
  'evacuation/runMover.ts': 'asks the engine that has a run to move it',
  'createRelaySidecar.ts': 'polls the report of the local engine',
  'endpoints/checkHealth.ts':
    'asks silent endpoints by SilenceProbes, outside of requested backoffs',
  'http/hasEnded.ts': 'opens a connection and sends no request',
  'peers/peerMesh.ts': 'links between processes',
};

function filesBelow(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return entry.name === '__tests__' ? [] : filesBelow(path);
    }
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

function openersIn(path: string): string[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  const code = lines.filter((line) => !/^\s*(\*|\/\/|\/\*)/.test(line));
  return code.flatMap((line) => line.match(OPENERS) ?? []);
}

describe('files that open connections', () => {
  // Guards against a new code path that sends requests without acquiring a permit of SendLimits.
  it('are all listed', () => {
    const opening = filesBelow(SOURCE)
      .filter((path) => openersIn(path).length > 0)
      .map((path) => relative(SOURCE, path));
    expect(opening.sort()).toEqual(Object.keys(KNOWN).sort());
  });
});
