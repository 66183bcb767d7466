/** Parses the bodies of `POST /v1/chat/completions` and `POST /v1/completions`. */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

const contentPartSchema = z.object({ type: z.literal('text'), text: z.string() });

const messageSchema = z.object({
  role: z.string().min(1).max(40),
  content: z.union([z.string(), z.array(contentPartSchema)]),
});

const commonFields = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  n: z.literal(1).nullish(),
};

const chatBodySchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: z.number().int().positive().optional(),
});

const textBodySchema = z.object({
  ...commonFields,
  prompt: z.union([z.string().min(1), z.array(z.string().min(1)).length(1)]),
});

/** Endpoint that the caller used: `/v1/chat/completions` or `/v1/completions`. */
export type CompletionKind = 'chat' | 'text';

/** Common form of the bodies of both endpoints. */
export interface CompletionBody {
  kind: CompletionKind;
  /** The caller's `model`: a service, or `<service>/<model or adapter>`. */
  model: string;
  prompt: string;
  maxOutputTokens?: number;
  stream: boolean;
  includeUsage: boolean;
}

/** Parses the JSON text of a body; the error is a message for the caller. */
export function parseCompletionBody(
  kind: CompletionKind,
  text: string,
): Result<CompletionBody, string> {
  return parseJson(text).andThen((value) =>
    kind === 'chat' ? readChatBody(value) : readTextBody(value),
  );
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err('the body is not valid JSON');
  }
}

function readChatBody(value: unknown): Result<CompletionBody, string> {
  return check(chatBodySchema, value).map((body) => ({
    kind: 'chat',
    ...commonOf(body),
    prompt: renderMessages(body.messages),
    maxOutputTokens: body.max_completion_tokens ?? body.max_tokens,
  }));
}

function readTextBody(value: unknown): Result<CompletionBody, string> {
  return check(textBodySchema, value).map((body) => ({
    kind: 'text',
    ...commonOf(body),
    prompt: Array.isArray(body.prompt) ? (body.prompt[0] as string) : body.prompt,
    maxOutputTokens: body.max_tokens,
  }));
}

function commonOf(
  body: Pick<z.infer<typeof textBodySchema>, 'model' | 'stream' | 'stream_options'>,
) {
  return {
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
  };
}

function check<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): Result<z.infer<Schema>, string> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error));
}

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.length === 0 ? 'body' : issue.path.join('.')}: ${issue.message}`)
    .join('; ');
}

/** Joins the messages into one prompt, because engines apply their own template only to single prompts. */
function renderMessages(messages: readonly z.infer<typeof messageSchema>[]): string {
  const turns = messages.map(({ role, content }) => `${role}: ${contentText(content)}\n`);
  return `${turns.join('')}assistant:`;
}

function contentText(content: z.infer<typeof messageSchema>['content']): string {
  return typeof content === 'string' ? content : content.map(({ text }) => text).join('');
}
