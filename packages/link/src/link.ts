/** An authenticated link to one incarnation of a peer: typed calls both ways, heartbeats, silence. */
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
  LinkFault,
  callHook,
  type CloseReason,
  type LinkLimits,
  type LinkOptions,
} from './options.js';
import { SilenceWatch } from './silence-watch.js';
import type { FrameSocket, SendResult } from './socket.js';
import { TrafficMeter, type Traffic } from './traffic.js';

/** A handler whose request was checked against its method's schema. */
type AnyHandler = (req: unknown, peer: Peer) => unknown;

/** A live link. After its end all calls reject with `not-sent`. */
export class Link implements Peer {
  readonly process: ProcessId;

  /** Settles with the reason when the link is over. Never rejects. */
  readonly ended: Promise<CloseReason>;

  /** The peer's last status, from its heartbeats. */
  status: Record<string, unknown> = {};

  readonly #options: LinkOptions;

  readonly #limits: LinkLimits;

  readonly #socket: FrameSocket;

  readonly #pending: PendingCalls;

  readonly #watch: SilenceWatch;

  readonly #meter: TrafficMeter;

  #answering = 0;

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
    this.#pending = new PendingCalls({ bound: limits.callsInFlight });
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
    this.#meter = new TrafficMeter({ ctx: options.ctx, read: () => socket.traffic });
    this.#watch = new SilenceWatch({
      ...options.heartbeat,
      clock: options.ctx.clock,
      bytesRead: () => socket.bytesRead,
      beat: () => this.#beat(),
      onTick: () => this.#meter.report(options.heartbeat.everyMs),
      onSilence: (ms) =>
        socket.end(new LinkFault('silence', `Nothing came for ${Math.round(ms)} ms.`)),
    });
    socket.receive((frame) => this.#receive(frame));
    this.#beat();
  }

  get closed(): boolean {
    return this.#socket.ended;
  }

  /** Frames and bytes so far, each way. */
  get traffic(): Traffic {
    return this.#socket.traffic;
  }

  /** Calls a method of the peer. Rejects with ProblemError or LinkError. */
  async call<M extends Method>(
    method: M,
    req: MethodReq<M>,
    { timeoutMs = this.#limits.callMs }: { timeoutMs?: number } = {},
  ): Promise<MethodRes<M>> {
    if (this.closed) throw new LinkError('not-sent', 'The link is closed.');
    const { id, answer } = this.#pending.open(timeoutMs);
    const sent = this.#send({ t: method, id, body: req });
    if (sent !== 'sent') this.#pending.reject(id, unsent(method, sent));
    const body = await answer;
    const checked = METHODS[method].res.safeParse(body);
    if (checked.success) return checked.data as MethodRes<M>;
    this.#options.ctx.metrics.count('link.answer.unreadable');
    throw new ProblemError(
      problem('internal', {
        detail: `The answer to ${method} isn't as agreed: ${checked.error.message}`,
        remedy: 'Run the same version of zincspan at both ends.',
        ran: 'unknown',
      }),
    );
  }

  /** Ends the link; calls in flight reject with `lost`. */
  close(reason: CloseReason = 'closed', detail = 'The link was closed here.'): void {
    this.#socket.end(new LinkFault(reason, detail));
  }

  /** Told by the socket's owner, once. */
  handleEnd(fault: LinkFault): void {
    this.#watch.stop();
    this.#meter.end();
    this.#pending.rejectAll(() => new LinkError('lost', `The link ended: ${fault.message}`));
    this.#resolveEnded(fault.reason);
  }

  #send(frame: { t: string } & Record<string, unknown>): SendResult {
    const result = this.#socket.send({ ...frame, hlc: this.#options.ctx.hybrid.tick() });
    if (result === 'sent') this.#watch.sent();
    else this.#options.ctx.metrics.count(`link.unsent.${result}`);
    return result;
  }

  #beat(): void {
    const { bundleVersion, status } = this.#options;
    this.#send({
      t: 'link.heartbeat',
      bundleVersion: bundleVersion?.() ?? 0,
      ...(status ? { status: status() } : {}),
    });
  }

  #receive(raw: unknown): void {
    const parsed = frameSchema.safeParse(raw);
    if (!parsed.success) throw new LinkFault('garbled', 'A frame is not as agreed.');
    const frame = parsed.data;
    this.#options.ctx.hybrid.merge(frame.hlc);
    if ('bundleVersion' in frame) this.#noteHeartbeat(frame);
    else if ('re' in frame) this.#noteAnswer(frame);
    else void this.#answer(frame);
  }

  #noteHeartbeat(frame: Extract<Frame, { bundleVersion: number }>): void {
    if (frame.status) this.status = frame.status;
    const { ctx, onBundleVersion } = this.#options;
    callHook(ctx, () => onBundleVersion?.(this, frame.bundleVersion));
  }

  #noteAnswer(frame: Extract<Frame, { re: number }>): void {
    const known = frame.problem
      ? this.#pending.reject(frame.re, new ProblemError(frame.problem))
      : this.#pending.resolve(frame.re, frame.body);
    if (!known) this.#options.ctx.metrics.count('link.answer.late');
  }

  async #answer({ t, id, body }: Extract<Frame, { id: number }>): Promise<void> {
    this.#answering += 1;
    const answer = await this.#run(t, body).catch((err: unknown) => this.#refuse(t, err));
    this.#answering -= 1;
    let sent = this.#send({ t, re: id, ...answer });
    if (sent === 'too-long') {
      sent = this.#send({ t, re: id, problem: tooLong('answer', t, 'unknown') });
    }
    // An answer that can't be written would leave its caller waiting: end the link, so that it settles.
    if (sent === 'full') this.close('overflow', 'Answers fill the outgoing buffer.');
  }

  async #run(method: string, body: unknown): Promise<{ body: unknown }> {
    if (this.#answering > this.#limits.callsInFlight) throw tooManyCalls(this.#limits);
    if (!isMethod(method)) throw unknownMethod(method);
    const handler = this.#options.handlers[method] as AnyHandler | undefined;
    if (!handler) throw unknownMethod(method);
    const checked = METHODS[method].req.safeParse(body);
    if (!checked.success) throw badInput(method, checked.error.message);
    return { body: await handler(checked.data, this) };
  }

  #refuse(method: string, err: unknown): { problem: ProblemError['problem'] } {
    if (!(err instanceof ProblemError)) {
      this.#options.ctx.metrics.count('link.handler.failed');
      this.#options.ctx.log.error({ method, err }, 'handler failed');
    }
    return { problem: toProblem(err) };
  }
}

function unsent(method: string, result: SendResult): Error {
  if (result === 'too-long') return new ProblemError(tooLong('call', method, 'not-run'));
  return new LinkError('not-sent', 'The outgoing buffer is full.');
}

function tooLong(what: string, method: string, ran: 'not-run' | 'unknown'): Problem {
  return problem('too-large', {
    detail: `The ${what} of ${method} exceeds ${MAX_FRAME_BYTES} bytes.`,
    remedy: 'Send less at once.',
    ran,
    facts: { bound: MAX_FRAME_BYTES },
  });
}

function isMethod(method: string): method is Method {
  return Object.keys(METHODS).includes(method);
}

function tooManyCalls({ callsInFlight }: LinkLimits): ProblemError {
  return new ProblemError(
    problem('overloaded', {
      detail: `More than ${callsInFlight} calls are in progress on this link.`,
      remedy: 'Try again once some are answered.',
      retryAfterMs: 100,
      facts: { bound: callsInFlight },
    }),
  );
}

function unknownMethod(method: string): ProblemError {
  return new ProblemError(
    problem('not-found', {
      detail: `This process has no method ${method}.`,
      remedy: 'Call a process of the right role and version.',
    }),
  );
}

function badInput(method: string, detail: string): ProblemError {
  return new ProblemError(
    problem('bad-input', {
      detail: `The call of ${method} isn't as agreed: ${detail}`,
      remedy: 'Run the same version of zincspan at both ends.',
    }),
  );
}
