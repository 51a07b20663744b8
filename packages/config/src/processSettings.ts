import {z} from 'zod';

const port = z.number().int().min(0).max(65_535);

const common = {
  /** Name of this instance; must not change when the process is restarted in place. */
  instanceId: z.string().min(1),
  /** Availability zone of this instance. */
  zone: z.string().min(1),
  /** Address to listen on; entries connect to a sidecar at its address in the membership list. */
  host: z.string().default('127.0.0.1'),
  platform: z.strictObject({
    /** URL of the platform's key-value service (etcd v3 API as JSON over HTTP). */
    keyValueUrl: z.url(),
    /** URL of the platform's membership list, a JSON document. */
    membershipUrl: z.url(),
    /** Timeout of requests to the platform. */
    requestTimeoutMs: z.number().int().positive().default(2_000),
    /** Interval at which the membership list is read. */
    membershipPollMs: z.number().int().positive().default(2_000),
  }),
  /** Secret shared by all processes of a deployment; at least 16 characters. */
  linkKey: z.string().min(16),
  /** URL to which spans are sent (OTLP over HTTP); without it none are recorded. */
  tracesUrl: z.url().optional(),
  /** Minimum level of log lines, written as JSON to standard error. */
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  /** Maximum time that a graceful shutdown waits for running requests. */
  drainTimeoutMs: z.number().int().positive().default(600_000),
};

/** Settings of `lilacledged entry`. */
export const entrySettingsSchema = z.strictObject({
  ...common,
  /** Role of the process. */
  role: z.literal('entry'),
  /** Port to listen on. */
  port,
  /** Maximum size of a caller's request body; larger ones are refused. */
  maxBodyBytes: z.number().int().positive().default(1_048_576),
  /** Minimum number of sidecars of each service to which an entry opens links. */
  linksPerService: z.number().int().positive().default(16),
  /** Minimum number of entries that open a link to each sidecar. */
  linksPerSidecar: z.number().int().positive().default(3),
  /** Number of entries that watch the configuration in the store. */
  configWatchers: z.number().int().positive().default(4),
  /** Time from the first failing /readyz of a shutdown until draining begins. */
  balancerDelayMs: z.number().int().nonnegative().default(3_000),
  /** Bearer token that operators must send; at least 16 characters. */
  operatorKey: z.string().min(16),
});

/** Settings of `lilacledged sidecar`. */
export const sidecarSettingsSchema = z.strictObject({
  ...common,
  role: z.literal('sidecar'),
  port,
  /** Name of the service in the operators' configuration. */
  service: z.string().min(1),
  endpoint: z.strictObject({
    /** Whether the endpoint is a model engine or a plain service. */
    kind: z.enum(['engine', 'plain']),
    /** URL of the endpoint. */
    url: z.url(),
  }),
  /** How long a generation continues without a reader. */
  resumeGraceMs: z.number().int().positive().default(15_000),
  /** Time without data from an engine after which its generations are ended. */
  engineSilenceMs: z.number().int().positive().default(20_000),
  /** How long the log of an ended generation is kept so that a caller can resume it. */
  logRetentionMs: z.number().int().positive().default(60_000),
  /** How long in advance a sidecar owns its slots of keys; see docs/design. */
  slotGrantMs: z.number().int().positive().default(3_600_000),
  /** Interval at which slots are claimed and renewed. */
  slotRoundMs: z.number().int().positive().default(3_000),
  /** Maximum time by which a caller's clock, as read from a key, may be ahead. */
  keySkewMs: z.number().int().nonnegative().default(2_000),
  /** Maximum number of records of keyed calls kept in memory. */
  maxKeyRecords: z.number().int().positive().default(100_000),
});

export const processSettingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  sidecarSettingsSchema,
]);

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
