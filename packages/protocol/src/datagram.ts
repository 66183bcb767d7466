/** Parsing of datagrams between routers. They are JSON, but any bytes may arrive at the port. */
import type * as z from 'zod';

/** Returns undefined for bytes that are not JSON or do not match the schema. */
export function parseDatagram<Schema extends z.ZodType>(
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
