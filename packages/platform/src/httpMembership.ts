import {request} from 'undici';
import {z} from 'zod';
import {MemberRole} from './ports.js';
import type {MembershipList} from './ports.js';

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

/** Reads the membership list as a JSON document over HTTP. */
export function createHttpMembership(
  settings: HttpMembershipSettings,
): MembershipList {
  return {
    async read() {
      const response = await request(settings.url, {
        signal: AbortSignal.timeout(settings.requestTimeoutMs),
      });
      return membersSchema.parse(await response.body.json()).members;
    },
  };
}
