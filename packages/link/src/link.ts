/** An authenticated link to one incarnation of a peer: typed calls in both directions and heartbeats. */
import {
  LinkError,
  METHODS,
  ProblemError,
  type Method,
  type MethodReq,
  type MethodRes,
  type Peer,
  type Problem,
  type ProcessId,
  problem,
  toProblem,
} from '@zincspan/core';
import { PendingCalls } from './pending-calls.js';
import { MAX_FRAME_BYTES, frameSchema, type Frame } from './frame.js';
import {
  LinkCloseError,
  callHook,
  type CloseReason,
  type LinkLimits,
  type LinkOptions,
} from './link-options.js';
import { KeepAlive } from './keep-alive.js';
import type { FrameSocket, SendResult } from './frame-socket.js';
import { TrafficMeter, type Traffic } from './traffic.js';

/** Type of heartbeat frames. */
const HEARTBEAT = 'link.heartbeat';

/** Any method's handler; its request has been validated against the method's schema. */
type AnyHandler = (req: unknown, peer: Peer) => unknown;

/** One link. After its end all calls reject with `not-sent`. */
export class Link implements Peer {
  readonly process: ProcessId;

  /** Resolves with the reason when the link has ended; never rejects. */
  readonly ended: Promise<CloseReason>;

  /** Latest status from the peer's heartbeats. */
  status: Record<string, unknown> = {};

  /** When that status was received, on the monotonic clock, in ms; -Infinity before the first one. */
  statusAt = -Infinity;

  readonly #options: LinkOptions;

  readonly #limits: LinkLimits;

  readonly #socket: FrameSocket;

  readonly #pending: PendingCalls;

  readonly #keepAlive: KeepAlive;

  readonly #meter: TrafficMeter;

  #runningCalls = 0;

  #resolveEnded!: (reason: CloseReason) => void;

  constructor({
    options,
    limits,
    socket,
    process,
  }: {
    options: LinkOptions;
    limits: LinkLimits;
    socket: FrameSocket;
    process: ProcessId;
  }) {
    this.process = process;
    this.#options = options;
    this.#limits = limits;
    this.#socket = socket;
    this.#pending = new PendingCalls({ bound: limits.maxCallsInFlight });
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
    this.#meter = new TrafficMeter({ ctx: options.ctx, read: () => socket.traffic });
    this.#keepAlive = new KeepAlive({
      ...options.heartbeat,
      clock: options.ctx.clock,
      bytesRead: () => socket.bytesRead,
      sendHeartbeat: () => this.#sendHeartbeat(),
      onTick: () => this.#meter.report(options.heartbeat.everyMs),
      onSilence: (ms) =>
        socket.end(new LinkCloseError('silence', `Received nothing for ${Math.round(ms)} ms.`)),
    });
    socket.setFrameHandler((frame) => this.#handleFrame(frame));
    this.#sendHeartbeat();
  }

  get closed(): boolean {
    return this.#socket.ended;
  }

  /** Frames and bytes so far, in each direction. */
  get traffic(): Traffic {
    return this.#socket.traffic;
  }

  /** Calls a method of the peer. Rejects with ProblemError or LinkError. */
  async call<M extends Method>(
    method: M,
    req: MethodReq<M>,
    { timeoutMs = this.#limits.callTimeoutMs }: { timeoutMs?: number } = {},
  ): Promise<MethodRes<M>> {
    if (this.closed) throw new LinkError('not-sent', 'The link is closed.');
    const { id, response } = this.#pending.register(timeoutMs);
    const sent = this.#sendFrame({ t: method, id, body: req });
    if (sent !== 'sent') this.#pending.reject(id, unsentError(method, sent));
    const body = await response;
    const parsedResponse = METHODS[method].res.safeParse(body);
    if (parsedResponse.success) return parsedResponse.data as MethodRes<M>;
    this.#options.ctx.metrics.count('link.answer.unreadable');
    throw new ProblemError(
      problem('internal', {
        detail: `The response to ${method} doesn't match its schema: ${parsedResponse.error.message}`,
        remedy: 'Run the same version of zincspan at both ends.',
        ran: 'unknown',
      }),
    );
  }

  /** Ends the link; outstanding calls reject with `lost`. */
  close(reason: CloseReason = 'closed', detail = 'The link was closed by this process.'): void {
    this.#socket.end(new LinkCloseError(reason, detail));
  }

  /** To be called once, by the owner of the socket, when the socket has ended. */
  handleEnd(closeError: LinkCloseError): void {
    this.#keepAlive.stop();
    this.#meter.finish();
    this.#pending.rejectAll(() => new LinkError('lost', `The link ended: ${closeError.message}`));
    this.#resolveEnded(closeError.reason);
  }

  #sendFrame(frame: { t: string } & Record<string, unknown>): SendResult {
    const result = this.#socket.send({ ...frame, hlc: this.#options.ctx.hybrid.tick() });
    if (result !== 'sent') this.#options.ctx.metrics.count(`link.unsent.${result}`);
    else if (this.#postponesHeartbeat(frame.t)) this.#keepAlive.noteSent();
    return result;
  }

  /** A heartbeat always postpones the next one; another frame doesn't if the peer needs the status. */
  #postponesHeartbeat(type: string): boolean {
    return type === HEARTBEAT || !this.#options.needsStatus?.(this.process);
  }

  #sendHeartbeat(): void {
    const { bundleVersion, status } = this.#options;
    this.#sendFrame({
      t: HEARTBEAT,
      bundleVersion: bundleVersion?.() ?? 0,
      ...(status ? { status: status(this.process) } : {}),
    });
  }

  #handleFrame(raw: unknown): void {
    const parsedFrame = frameSchema.safeParse(raw);
    if (!parsedFrame.success) throw new LinkCloseError('garbled', 'The frame is malformed.');
    const frame = parsedFrame.data;
    this.#options.ctx.hybrid.merge(frame.hlc);
    if ('bundleVersion' in frame) this.#handleHeartbeat(frame);
    else if ('re' in frame) this.#handleResponse(frame);
    else void this.#handleCall(frame);
  }

  #handleHeartbeat(frame: Extract<Frame, { bundleVersion: number }>): void {
    const { ctx, onBundleVersion } = this.#options;
    if (frame.status) {
      this.status = frame.status;
      this.statusAt = ctx.clock.now();
    }
    callHook(ctx, () => onBundleVersion?.(this, frame.bundleVersion));
  }

  #handleResponse(frame: Extract<Frame, { re: number }>): void {
    const known = frame.problem
      ? this.#pending.reject(frame.re, new ProblemError(frame.problem))
      : this.#pending.resolve(frame.re, frame.body);
    if (!known) this.#options.ctx.metrics.count('link.answer.late');
  }

  async #handleCall({ t, id, body }: Extract<Frame, { id: number }>): Promise<void> {
    this.#runningCalls += 1;
    const response = await this.#runHandler(t, body).catch((err: unknown) =>
      this.#toProblemResponse(t, err),
    );
    this.#runningCalls -= 1;
    let sent = this.#sendFrame({ t, re: id, ...response });
    if (sent === 'too-long') {
      sent = this.#sendFrame({ t, re: id, problem: tooLargeProblem('response', t, 'unknown') });
    }
    // The caller would wait for a response that can't be written: end the link, so that its call settles.
    if (sent === 'full') this.close('overflow', 'The outgoing buffer has no room for a response.');
  }

  async #runHandler(method: string, body: unknown): Promise<{ body: unknown }> {
    if (this.#runningCalls > this.#limits.maxCallsInFlight) throw tooManyCalls(this.#limits);
    if (!isMethod(method)) throw unknownMethod(method);
    const handler = this.#options.handlers[method] as AnyHandler | undefined;
    if (!handler) throw unknownMethod(method);
    const parsedRequest = METHODS[method].req.safeParse(body);
    if (!parsedRequest.success) throw invalidRequest(method, parsedRequest.error.message);
    return { body: await handler(parsedRequest.data, this) };
  }

  #toProblemResponse(method: string, err: unknown): { problem: ProblemError['problem'] } {
    if (!(err instanceof ProblemError)) {
      this.#options.ctx.metrics.count('link.handler.failed');
      this.#options.ctx.log.error({ method, err }, 'method handler threw an exception');
    }
    return { problem: toProblem(err) };
  }
}

function unsentError(method: string, result: SendResult): Error {
  if (result === 'too-long') return new ProblemError(tooLargeProblem('call', method, 'not-run'));
  return new LinkError('not-sent', 'The outgoing buffer is full.');
}

function tooLargeProblem(kind: string, method: string, ran: 'not-run' | 'unknown'): Problem {
  return problem('too-large', {
    detail: `The ${kind} of ${method} exceeds ${MAX_FRAME_BYTES} bytes.`,
    remedy: 'Send less at once.',
    ran,
    facts: { bound: MAX_FRAME_BYTES },
  });
}

function isMethod(method: string): method is Method {
  return Object.keys(METHODS).includes(method);
}

function tooManyCalls({ maxCallsInFlight }: LinkLimits): ProblemError {
  return new ProblemError(
    problem('overloaded', {
      detail: `More than ${maxCallsInFlight} calls are in progress on this link.`,
      remedy: 'Try again when some of them have completed.',
      retryAfterMs: 100,
      facts: { bound: maxCallsInFlight },
    }),
  );
}

function unknownMethod(method: string): ProblemError {
  return new ProblemError(
    problem('not-found', {
      detail: `This process has no method ${method}.`,
      remedy: 'Call a process whose role and version have this method.',
    }),
  );
}

function invalidRequest(method: string, detail: string): ProblemError {
  return new ProblemError(
    problem('bad-input', {
      detail: `The request of ${method} doesn't match its schema: ${detail}`,
      remedy: 'Run the same version of zincspan at both ends.',
    }),
  );
}
