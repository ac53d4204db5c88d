/** A caller of the platform's program: kept connections, and whether an answer came whole. */
import { Agent } from 'node:http';
import Wreck from '@hapi/wreck';

/** Host of the soak's queue. */
export const SOAK_HOST = 'soak.example';

/** How long callers wait, in ms: the deadline of the platform's queues. */
const DEADLINE_MS = 2500;

/** An answer that isn't there by then never comes, in ms. */
const TIMEOUT_MS = 3000;

/** `cut`: the connection ended before a whole answer; `unsent`: there was no connection. */
export type FleetAnswer =
  | { outcome: 'answered'; status: number; body: unknown; retryAfterMs: number }
  | { outcome: 'cut' | 'unsent' | 'timeout' };

/** One call as it was made, for what is checked later. */
export interface FleetCall {
  entry: string;
  sentAt: number;
  endedAt: number;
  outcome: FleetAnswer['outcome'];
}

/** Calls entries' fronts and remembers how each call ended. */
export class FleetCaller {
  readonly calls: FleetCall[] = [];

  readonly #agent = new Agent({ keepAlive: true });

  async call(
    entry: { name: string; front: string },
    {
      method,
      path,
      key,
      body,
    }: { method: 'GET' | 'POST' | 'DELETE'; path: string; key: string; body?: object },
  ): Promise<FleetAnswer> {
    const sentAt = performance.now();
    const pending = Wreck.request(method, `http://${entry.front}${path}`, {
      agent: this.#agent,
      timeout: TIMEOUT_MS,
      headers: {
        host: SOAK_HOST,
        authorization: `Token ${key}`,
        'x-deadline-ms': `${DEADLINE_MS}`,
      },
      ...(body === undefined ? {} : { payload: JSON.stringify(body) }),
    });
    let isConnected = false;
    pending.req.once('socket', (socket) => {
      isConnected = !socket.connecting;
      if (isConnected) return;
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    const answer = await readAnswer(pending, () => isConnected);
    const { outcome } = answer;
    this.calls.push({ entry: entry.name, sentAt, endedAt: performance.now(), outcome });
    return answer;
  }

  close(): void {
    this.#agent.destroy();
  }
}

async function readAnswer(
  pending: ReturnType<typeof Wreck.request>,
  isConnected: () => boolean,
): Promise<FleetAnswer> {
  try {
    const res = await pending;
    const text = (await Wreck.read(res, { timeout: TIMEOUT_MS })).toString();
    const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000;
    return { outcome: 'answered', status: res.statusCode ?? 0, body: parse(text), retryAfterMs };
  } catch (err) {
    if (/time-?out|timed out/i.test(String(err))) return { outcome: 'timeout' };
    return { outcome: isConnected() ? 'cut' : 'unsent' };
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
