/** Names of the things zincspan runs on and serves. */
import * as z from 'zod';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$/;

/** A name in settings, bundles and messages: lower case, digits, dot, dash, underscore. */
export const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'expected 1 to 64 of a-z, 0-9, ".", "_" or "-", starting and ending with a letter or digit',
  );

/** `ip:port`, IPv4 or bracketed IPv6. Host names are refused: VMs reach each other by IP number. */
export const addressSchema = z
  .string()
  .regex(
    /^((\d{1,3}\.){3}\d{1,3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    'expected "IP:port", for example "127.0.0.1:7400"',
  );

/** One life of one process: a new one for every start. */
export const incarnationSchema = z.string().min(8).max(64);

/** Who a process is. */
export const processIdSchema = z.strictObject({
  id: nameSchema,
  role: z.enum(['entry', 'guard']),
  incarnation: incarnationSchema,
  failureDomain: nameSchema,
});
export type ProcessId = z.infer<typeof processIdSchema>;
