import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OperatorService} from '@lilacledge/operator-api';
import type {Member, MemberRole} from '@lilacledge/store';
import type {EngineConstants} from '@lilacledge/standins';
import {request} from 'undici';
import {startChild} from './childProcess.js';
import type {Child} from './childProcess.js';
import {findFreePort} from './freePort.js';

const HOST = '127.0.0.1';
const LINK_KEY = 'local-link-key-0123456789';

/** Operator key of every local stack; not a secret. */
export const LOCAL_OPERATOR_KEY = 'local-operator-key-0123456789';

/** Returns the API key of an organisation in a local stack. */
export function localApiKey(organisationId: string): string {
  return `key-${organisationId}`;
}

export function localApiKeyHash(organisationId: string): string {
  const key = localApiKey(organisationId);
  return createHash('sha256').update(key).digest('hex');
}

/** Settings of one process that override the defaults of a local stack. */
export type ExtraSettings = Readonly<Record<string, unknown>>;

export interface StackProcess {
  readonly instanceId: string;
  readonly port: number;
  readonly url: string;
  readonly child: Child;
}

export interface SidecarProcess extends StackProcess {
  readonly endpointUrl: string;
  readonly endpoint: Child;
}

interface SidecarSpec {
  readonly instanceId: string;
  readonly service: string;
  readonly zone: string;
  readonly kind: 'engine' | 'plain';
  readonly port: number;
  readonly endpointUrl: string;
  readonly extra: ExtraSettings;
}

/**
 * Runs stand-ins, sidecars and entries as separate processes on the loopback
 * interface.
 */
export class LocalStack {
  private readonly children = new Set<Child>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'lilacledge-'));
  private readonly sidecarSpecs = new Map<string, SidecarSpec>();
  private members: Member[] = [];
  private isStopped = false;
  platformUrl = '';

  /**
   * Starts the platform stand-in. Call it first: all other processes need it.
   */
  async startPlatform(): Promise<void> {
    const port = await findFreePort();
    await this.spawnStandin('platform', 'platform', port, []);
    this.platformUrl = `http://${HOST}:${port}`;
  }

  async startEngineSidecar(
    instanceId: string,
    service: string,
    zone: string,
    constants: Partial<EngineConstants> = {},
    extra: ExtraSettings = {},
  ): Promise<SidecarProcess> {
    const port = await findFreePort();
    const endpoint = await this.spawnStandin(
      `${instanceId}-engine`,
      'engine',
      port,
      [JSON.stringify(constants)],
    );
    const endpointUrl = `http://${HOST}:${port}`;
    return this.startSidecar(endpoint, {
      instanceId,
      service,
      zone,
      kind: 'engine',
      port: await findFreePort(),
      endpointUrl,
      extra,
    });
  }

  async startPlainSidecar(
    instanceId: string,
    service: string,
    zone: string,
    extra: ExtraSettings = {},
  ): Promise<SidecarProcess> {
    const port = await findFreePort();
    const endpoint = await this.spawnStandin(
      `${instanceId}-plain`,
      'plain',
      port,
      [],
    );
    return this.startSidecar(endpoint, {
      instanceId,
      service,
      zone,
      kind: 'plain',
      port: await findFreePort(),
      endpointUrl: `http://${HOST}:${port}`,
      extra,
    });
  }

  /** Starts an engine stand-in without a sidecar. */
  async startEngine(
    name: string,
    constants: Partial<EngineConstants>,
  ): Promise<{readonly url: string; readonly child: Child}> {
    const port = await findFreePort();
    const child = await this.spawnStandin(name, 'engine', port, [
      JSON.stringify(constants),
    ]);
    return {url: `http://${HOST}:${port}`, child};
  }

  /**
   * Starts a sidecar for a running engine, which several sidecars may share.
   */
  async startSidecarForEngine(
    instanceId: string,
    service: string,
    zone: string,
    engine: {readonly url: string; readonly child: Child},
    extra: ExtraSettings = {},
  ): Promise<SidecarProcess> {
    return this.startSidecar(engine.child, {
      instanceId,
      service,
      zone,
      kind: 'engine',
      port: await findFreePort(),
      endpointUrl: engine.url,
      extra,
    });
  }

  /** Restarts a sidecar at the same address and for the same endpoint. */
  async restartSidecar(instanceId: string): Promise<Child> {
    return this.spawnSidecar(this.sidecarSpecs.get(instanceId)!);
  }

  async startEntry(
    instanceId: string,
    zone: string,
    extra: ExtraSettings = {},
    wantedPort?: number,
  ): Promise<StackProcess> {
    const port = wantedPort ?? (await findFreePort());
    const settings = {
      role: 'entry',
      ...this.commonSettings(instanceId, zone, port),
      operatorKey: LOCAL_OPERATOR_KEY,
      balancerDelayMs: 200,
      ...extra,
    };
    const child = await this.spawnDaemon('entry', instanceId, settings);
    await this.addMember(instanceId, 'entry', '', port, zone);
    return {instanceId, port, url: `http://${HOST}:${port}`, child};
  }

  /** Marks a member as leaving in the published membership list. */
  async setLeaving(instanceId: string): Promise<void> {
    this.members = this.members.map((member) =>
      member.instanceId === instanceId ? {...member, leaving: true} : member,
    );
    await this.publishMembers();
  }

  async removeMember(instanceId: string): Promise<void> {
    this.members = this.members.filter(
      (member) => member.instanceId !== instanceId,
    );
    await this.publishMembers();
  }

  /**
   * Sends faults or an action to the control endpoint of the platform stand-in.
   */
  async controlPlatform(body: unknown): Promise<void> {
    await postJson(`${this.platformUrl}/control`, body);
  }

  operator(entry: StackProcess): Client<typeof OperatorService> {
    const transport = createConnectTransport({
      baseUrl: entry.url,
      httpVersion: '1.1',
      interceptors: [
        (next) => (call) => {
          call.header.set('authorization', `Bearer ${LOCAL_OPERATOR_KEY}`);
          return next(call);
        },
      ],
    });
    return createClient(OperatorService, transport);
  }

  /** Kills every process of this stack and deletes its settings files. */
  async stop(): Promise<void> {
    this.isStopped = true;
    for (const child of this.children) {
      child.signal('SIGCONT');
      child.signal('SIGKILL');
    }
    await this.ended();
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Number of processes of this stack that have not exited. */
  get runningCount(): number {
    return this.children.size;
  }

  /** Resolves when all processes that are running now have exited. */
  async ended(): Promise<void> {
    await Promise.all([...this.children].map((child) => child.exited));
  }

  private async startSidecar(
    endpoint: Child,
    spec: SidecarSpec,
  ): Promise<SidecarProcess> {
    const {instanceId, service, zone, port, endpointUrl} = spec;
    this.sidecarSpecs.set(instanceId, spec);
    const child = await this.spawnSidecar(spec);
    await this.addMember(instanceId, 'sidecar', service, port, zone);
    const url = `http://${HOST}:${port}`;
    return {instanceId, port, url, child, endpointUrl, endpoint};
  }

  private spawnSidecar(spec: SidecarSpec): Promise<Child> {
    const {instanceId, service, zone, kind, port, endpointUrl, extra} = spec;
    return this.spawnDaemon('sidecar', instanceId, {
      role: 'sidecar',
      ...this.commonSettings(instanceId, zone, port),
      service,
      endpoint: {kind, url: endpointUrl},
      ...extra,
    });
  }

  private commonSettings(
    instanceId: string,
    zone: string,
    port: number,
  ): ExtraSettings {
    return {
      instanceId,
      zone,
      host: HOST,
      port,
      platform: {
        keyValueUrl: this.platformUrl,
        membershipUrl: `${this.platformUrl}/members`,
        membershipPollMs: 500,
      },
      linkKey: LINK_KEY,
    };
  }

  private async spawnDaemon(
    role: 'entry' | 'sidecar',
    instanceId: string,
    settings: unknown,
  ): Promise<Child> {
    const file = join(this.folder, `${instanceId}.jsonc`);
    writeFileSync(file, JSON.stringify(settings, null, 2));
    const script = distFile('lilacledge', 'bundle/lilacledged.mjs');
    return this.track(
      await startChild(instanceId, script, [role, '--config', file]),
    );
  }

  private async spawnStandin(
    name: string,
    kind: string,
    port: number,
    args: readonly string[],
  ): Promise<Child> {
    const script = distFile('@lilacledge/standins', 'bin/standin.js');
    return this.track(
      await startChild(name, script, [kind, String(port), ...args]),
    );
  }

  private track(child: Child): Child {
    // When another process failed to start, the stack may have been stopped
    // while this one was still starting.
    if (this.isStopped) child.signal('SIGKILL');
    this.children.add(child);
    void child.exited.then(() => this.children.delete(child));
    return child;
  }

  private async addMember(
    instanceId: string,
    role: MemberRole,
    service: string,
    port: number,
    zone: string,
  ): Promise<void> {
    this.members = [
      ...this.members,
      {instanceId, role, service, host: HOST, port, zone, leaving: false},
    ];
    await this.publishMembers();
  }

  private async publishMembers(): Promise<void> {
    await request(`${this.platformUrl}/members`, {
      method: 'PUT',
      body: JSON.stringify(this.members),
    }).then((response) => response.body.dump());
  }
}

/** Posts a JSON body and discards the answer. */
export async function postJson(url: string, body: unknown): Promise<void> {
  const response = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  await response.body.dump();
}

function distFile(packageName: string, file: string): string {
  const require = createRequire(import.meta.url);
  return join(dirname(require.resolve(packageName)), file);
}
