import {z} from 'zod';

const messageContentSchema = z.union([
  z.string(),
  z.array(z.object({type: z.literal('text'), text: z.string()})),
]);

const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().nullish(),
};

const chatBodySchema = z.object({
  ...commonFields,
  max_completion_tokens: z.number().int().positive().nullish(),
  messages: z
    .array(z.object({role: z.string(), content: messageContentSchema}))
    .min(1),
});

const textBodySchema = z.object({...commonFields, prompt: z.string()});

/** The supported formats of completion requests. */
export const CompletionKind = {CHAT: 'chat', TEXT: 'text'} as const;
export type CompletionKind =
  (typeof CompletionKind)[keyof typeof CompletionKind];

/** A parsed request body of either kind. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly isStream: boolean;
}

export type ParsedBody =
  | {readonly ok: true; readonly body: CompletionBody}
  | {readonly ok: false; readonly detail: string};

/**
 * Parses and validates a request body; the detail names the first invalid
 * field.
 */
export function parseCompletionBody(
  kind: CompletionKind,
  text: string,
): ParsedBody {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return {ok: false, detail: 'the body is not JSON'};
  }
  const schema = kind === CompletionKind.CHAT ? chatBodySchema : textBodySchema;
  const result = schema.safeParse(raw);
  if (!result.success) {
    const issue = result.error.issues[0]!;
    return {ok: false, detail: `${issue.path.join('.')}: ${issue.message}`};
  }
  return {ok: true, body: toCompletionBody(result.data)};
}

/**
 * Formats the chunks or the full body of one response in the format of its
 * request.
 */
export class CompletionFormatter {
  constructor(
    private readonly kind: CompletionKind,
    private readonly requestId: string,
    private readonly model: string,
    private readonly createdAtS: number,
  ) {}

  chunk(text: string): string {
    return JSON.stringify({
      ...this.head(true),
      choices: [this.chunkChoice(text, null)],
    });
  }

  lastChunk(
    finishReason: string,
    promptTokens: number,
    completionTokens: number,
  ): string {
    return JSON.stringify({
      ...this.head(true),
      choices: [this.chunkChoice('', finishReason)],
      usage: toUsage(promptTokens, completionTokens),
    });
  }

  fullResponse(
    text: string,
    finishReason: string,
    promptTokens: number,
    completionTokens: number,
  ): string {
    const choice =
      this.kind === CompletionKind.CHAT
        ? {message: {role: 'assistant', content: text}}
        : {text};
    return JSON.stringify({
      ...this.head(false),
      choices: [{index: 0, ...choice, finish_reason: finishReason}],
      usage: toUsage(promptTokens, completionTokens),
    });
  }

  private chunkChoice(text: string, finishReason: string | null): unknown {
    const content =
      this.kind === CompletionKind.CHAT
        ? {delta: text === '' ? {} : {role: 'assistant', content: text}}
        : {text};
    return {index: 0, ...content, finish_reason: finishReason};
  }

  private head(isChunk: boolean): Record<string, unknown> {
    const isChat = this.kind === CompletionKind.CHAT;
    const suffix = isChunk ? '.chunk' : '';
    return {
      id: `${isChat ? 'chatcmpl' : 'cmpl'}-${this.requestId}`,
      object: isChat ? `chat.completion${suffix}` : 'text_completion',
      created: this.createdAtS,
      model: this.model,
    };
  }
}

function toCompletionBody(
  data: z.infer<typeof chatBodySchema> | z.infer<typeof textBodySchema>,
): CompletionBody {
  if ('prompt' in data) {
    return {
      model: data.model,
      prompt: data.prompt,
      maxTokens: data.max_tokens ?? undefined,
      isStream: data.stream,
    };
  }
  return {
    model: data.model,
    prompt: data.messages.map(toPromptLine).join('\n'),
    maxTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
    isStream: data.stream,
  };
}

function toPromptLine(message: {
  role: string;
  content: z.infer<typeof messageContentSchema>;
}): string {
  const {role, content} = message;
  const text =
    typeof content === 'string'
      ? content
      : content.map((part) => part.text).join('');
  return `${role}: ${text}`;
}

function toUsage(promptTokens: number, completionTokens: number): unknown {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
