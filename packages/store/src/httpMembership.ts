import {request} from 'undici';
import {z} from 'zod';
import {platformAgent} from './platformAgent.js';
import {MemberRole} from './ports.js';
import type {Member, MembershipList} from './ports.js';

const membersSchema = z.object({
  members: z.array(
    z.object({
      instanceId: z.string(),
      role: z.enum(MemberRole),
      service: z.string(),
      host: z.string(),
      port: z.number().int(),
      zone: z.string(),
      leaving: z.boolean(),
    }),
  ),
});

export interface HttpMembershipSettings {
  readonly url: string;
  readonly requestTimeoutMs: number;
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
      members = membersSchema.parse(await response.body.json()).members;
      etag = String(response.headers['etag'] ?? '');
      return members;
    },
  };
}
