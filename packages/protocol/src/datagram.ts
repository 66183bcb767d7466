/** Datagrams between routers are JSON; anything else may arrive at the port. */
import type * as z from 'zod';

/** Undefined for bytes that are not what the schema says. */
export function readDatagram<Schema extends z.ZodType>(
  bytes: Buffer,
  schema: Schema,
): z.infer<Schema> | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
