/** Answers that a well-behaved server never gives. */
import type { Lifecycle, Request, ResponseToolkit } from '@hapi/hapi';

/** Leaves the call without an answer, its connection open. */
export function neverAnswer(h: ResponseToolkit): Lifecycle.ReturnValue {
  return h.abandon;
}

/** Cuts the connection without an answer. */
export function cutConnection(req: Request, h: ResponseToolkit): Lifecycle.ReturnValue {
  req.raw.req.socket.destroy();
  return h.abandon;
}

/** Promises the whole body, sends half of it, and cuts the connection. */
export function cutAnswer(req: Request, h: ResponseToolkit, body: string): Lifecycle.ReturnValue {
  const { res } = req.raw;
  const bytes = Buffer.from(body);
  res.writeHead(200, { 'content-type': 'application/json', 'content-length': bytes.length });
  res.write(bytes.subarray(0, Math.floor(bytes.length / 2)), () => res.destroy());
  return h.abandon;
}
