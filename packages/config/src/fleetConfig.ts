import {z} from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, {
  message: 'use 1 to 63 of a-z, 0-9, ".", "_" and "-"',
});

/** How an engine's memory is allocated to waiting generations. */
export const AdmissionMode = {
  EXPECTED: 'expected',
  RESERVE_MAXIMUM: 'reserveMaximum',
  FIXED_RESERVE: 'fixedReserve',
  FREE: 'free',
} as const;

/** The order in which waiting generations are admitted. */
export const QueueMode = {
  LEAST_ATTAINED: 'leastAttained',
  FIRST_IN_FIRST_OUT: 'firstInFirstOut',
} as const;

/** How an entry chooses an endpoint of a service. */
export const RouteMode = {
  PREDICTED: 'predicted',
  TWO_CHOICES: 'twoChoices',
  LEAST_OUTSTANDING: 'leastOutstanding',
  ROUND_ROBIN: 'roundRobin',
} as const;

const policySchema = z
  .strictObject({
    /** How an engine's memory is allocated to generations; see design/admission.md. */
    admission: z.enum(AdmissionMode).default(AdmissionMode.EXPECTED),
    /** Order in which waiting generations are admitted. */
    queue: z.enum(QueueMode).default(QueueMode.LEAST_ATTAINED),
    /** How an entry chooses an endpoint of the service. */
    route: z.enum(RouteMode).default(RouteMode.PREDICTED),
    /** Maximum accepted probability that an engine's memory overflows. */
    overflowChance: z.number().gt(0).lt(1).default(0.25),
    /** Waiting time after which a generation gains one level of urgency. */
    ageingMs: z.number().int().positive().default(40_000),
    /** Maximum wait in a queue, unless the caller sets a lower one. */
    maxQueueMs: z.number().int().positive().default(300_000),
  })
  .prefault({});

const modelService = z.strictObject({
  kind: z.literal('model'),
  /** Model names that callers can request. */
  models: z.array(name).min(1),
  /** Maximum number of output tokens that a caller can request. */
  maxTokensLimit: z.number().int().positive().default(32_768),
  policy: policySchema,
});

const plainService = z.strictObject({
  kind: z.literal('plain'),
  /** Methods whose calls may be retried without an idempotency key. */
  repeatableMethods: z
    .array(z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST']))
    .default(['GET', 'HEAD']),
});

const organisation = z.strictObject({
  id: name,
  /** SHA-256 of each API key in hexadecimal; the keys themselves are never stored. */
  apiKeySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  /** From 0 (highest priority) to 9 (lowest). */
  priority: z.number().int().min(0).max(9).default(5),
  limits: z
    .strictObject({
      /** Maximum concurrent generations, over all entries. */
      concurrent: z.number().int().positive().default(64),
      /** Maximum output tokens per minute, over all entries. */
      tokensPerMinute: z.number().int().positive().default(600_000),
    })
    .prefault({}),
});

const route = z.strictObject({
  /** Organisation ids; "*" matches all. */
  organisations: z.array(z.union([z.literal('*'), name])).min(1),
  service: name,
});

const services = z.record(name, z.union([modelService, plainService]));
const organisations = z.array(organisation);
const routes = z.array(route);

/** Schemas of the parts in which a configuration is stored. */
export const partSchemas = {services, organisations, routes};

/** Schema of the whole configuration that operators edit. */
export const fleetConfigSchema = z
  .strictObject({services, organisations, routes})
  .superRefine((config, context) => {
    config.routes.forEach((entry, index) => {
      if (config.services[entry.service] !== undefined) return;
      context.addIssue({
        code: 'custom',
        path: ['routes', index, 'service'],
        message: `unknown service "${entry.service}"; known: ${Object.keys(config.services).join(', ')}`,
      });
    });
    addDuplicateIssues(
      context,
      config.organisations.map((entry) => entry.id),
    );
  });

export type FleetConfig = z.infer<typeof fleetConfigSchema>;
export type ModelService = z.infer<typeof modelService>;
export type PlainService = z.infer<typeof plainService>;
export type Service = ModelService | PlainService;
export type Organisation = z.infer<typeof organisation>;
export type PolicySettings = z.infer<typeof policySchema>;

/** Policy of a service without settings of its own. */
export const DEFAULT_POLICY: PolicySettings = policySchema.parse({});

function addDuplicateIssues(
  context: z.core.$RefinementCtx,
  ids: readonly string[],
): void {
  const seen = new Set<string>();
  ids.forEach((id, index) => {
    if (seen.has(id)) {
      context.addIssue({
        code: 'custom',
        path: ['organisations', index, 'id'],
        message: `organisation "${id}" stands twice`,
      });
    }
    seen.add(id);
  });
}
