import {isIP} from 'node:net';
import {request} from 'undici';
import {z} from 'zod';
import {platformAgent} from './platformAgent.js';
import {MemberRole} from './ports.js';
import type {Member, MembershipList} from './ports.js';

const MAX_PORT = 65_535;

const listSchema = z.object({members: z.array(z.unknown())});

const idSchema = z.object({instanceId: z.string()});

const memberSchema = z.object({
  instanceId: z.string(),
  role: z.enum(MemberRole),
  service: z.string(),
  host: z.string().refine(isHost, 'no host name or address'),
  port: z.number().int().min(1).max(MAX_PORT),
  zone: z.string(),
  leaving: z.boolean(),
});

export interface HttpMembershipSettings {
  readonly url: string;
  readonly requestTimeoutMs: number;
  /** Called with what is wrong with a row that can't be used. */
  refused(problem: string): void;
}

const NOT_MODIFIED = 304;

/**
 * Reads the membership list as a JSON document over HTTP. Requests carry the last `ETag`,
 * so that an unchanged list is not sent again.
 */
export function createHttpMembership(
  settings: HttpMembershipSettings,
): MembershipList {
  let etag = '';
  let members: Member[] = [];
  return {
    async read() {
      const response = await request(settings.url, {
        dispatcher: platformAgent,
        headers: etag === '' ? {} : {'if-none-match': etag},
        signal: AbortSignal.timeout(settings.requestTimeoutMs),
      });
      if (response.statusCode === NOT_MODIFIED) {
        await response.body.dump();
        return members;
      }
      const {members: rows} = listSchema.parse(await response.body.json());
      members = parseRows(rows, members, settings);
      etag = String(response.headers['etag'] ?? '');
      return members;
    },
  };
}

/**
 * Parses each row; the others hold beside one that can't be used. Of its instance, what was
 * known before holds too. Throws if no row can be used.
 */
function parseRows(
  rows: readonly unknown[],
  before: readonly Member[],
  {refused}: HttpMembershipSettings,
): Member[] {
  const members: Member[] = [];
  const problems: string[] = [];
  for (const [index, row] of rows.entries()) {
    const parsed = memberSchema.safeParse(row);
    if (parsed.success) {
      members.push(parsed.data);
      continue;
    }
    problems.push(`members[${index}]: ${z.prettifyError(parsed.error)}`);
    const id = idSchema.safeParse(row).data?.instanceId;
    const known = before.find(({instanceId}) => instanceId === id);
    if (known !== undefined) members.push(known);
  }
  if (rows.length > 0 && members.length === 0) {
    throw new Error(`no row can be used: ${problems[0]}`);
  }
  for (const problem of problems) refused(problem);
  return members;
}

/** True for an address, and for a name that a URL can hold. */
function isHost(host: string): boolean {
  const isName = /^[\w.-]+$/.test(host) && URL.canParse(`http://${host}/`);
  return isName || isIP(host) !== 0;
}
