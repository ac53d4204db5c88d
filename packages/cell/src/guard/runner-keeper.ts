/**
 * The guard's side of one runner: follows what it lists, renews its lease while there is authority, carries out orders,
 * and keeps what the owner hasn't heard of yet.
 */
import type { CellContact, CellOrders, ProcessContext, RunnerCrash } from '@zincspan/core';
import { RunOrders, type OrderContext } from './run-orders.js';
import type { Listing, RunnerAnswer, RunnerPort, RunnerReport } from './runner-port.js';
import { RunnerRecord } from './runner-record.js';
import { pause } from '../clock/pause.js';
import { isSameLife, lifeName, type LifeIdentity } from '../runner/life-name.js';

/** How long a look waits for an end, in ms: also how often progress is seen and leases are renewed, within each contact. */
const LOOK_WAIT_MS = 700;

/** Beyond its wait a look may take this long, in ms. */
const LOOK_SLACK_MS = 600;

/** Pause after a look that failed, or while ends wait for the owner, in ms. */
const LOOK_PAUSE_MS = 80;

/**
 * A crash is told for this long after an owner first answered, in ms: it may be replaced before it has written that down. Longer
 * than a takeover takes.
 */
const TELL_CRASH_MS = 15_000;

/** Runs named in a log line: a runner has tens of them. */
const MOST_RUNS_LOGGED = 8;

/** Says nothing about a runner. */
const SILENT_CONTACT: CellContact = { running: [], ends: [], inProgress: [], refused: [] };

/** One life of the runner and the orders on their way to it. */
interface Life {
  record: RunnerRecord;
  orders: RunOrders;
}

/** One guard's runner, life after life. */
export class RunnerKeeper {
  readonly #ctx: ProcessContext;

  readonly #port: RunnerPort;

  readonly #holdMs: number;

  readonly #onNews: () => void;

  #life: Life | undefined;

  /** The last crash of the runner. */
  #crash: RunnerCrash | undefined;

  /** When an owner first answered that it had heard of it. */
  #crashHeardAt: number | undefined;

  #term = 0;

  #checking: string | undefined;

  #stopped = false;

  constructor({
    ctx,
    port,
    holdMs,
    onNews,
  }: {
    ctx: ProcessContext;
    port: RunnerPort;
    /** Longest lease that a runner keeps, in ms. */
    holdMs: number;
    /** The owner should hear of something at once. */
    onNews: () => void;
  }) {
    this.#ctx = ctx;
    this.#port = port;
    this.#holdMs = holdMs;
    this.#onNews = onNews;
  }

  stop(): void {
    this.#stopped = true;
    this.#life = undefined;
  }

  /**
   * A heartbeat. One of a life that isn't known yet is checked with the runner first: it may have been delayed, and its sender may
   * have ended since.
   */
  noteReport(report: RunnerReport): void {
    const record = this.#life?.record;
    if (record === undefined || !isSameLife(report, record.report)) {
      void this.#check(report);
      return;
    }
    const news = record.noteReport(report);
    if (news === undefined) return;
    const { remainingMs, capacity } = report;
    const runner = record.life;
    if (news === 'draining') this.#ctx.log.info({ runner, remainingMs }, 'runner draining');
    else this.#ctx.log.info({ runner, capacity }, "runner's capacity changed");
    // Also a capacity that grew: told with the next contact, what waits for it would wait a second longer.
    this.#onNews();
  }

  /** The runner said that it ends now. */
  noteLeave(id: string): void {
    const record = this.#life?.record;
    if (record?.report.id !== id) return;
    record.noteLeave();
    this.#ctx.log.info({ runner: record.life }, 'runner leaving');
    this.#onNews();
  }

  /** All that the owner should know. */
  contact(): CellContact {
    const life = this.#life;
    if (!life?.record.isListed) return SILENT_CONTACT;
    const { record, orders } = life;
    const { mayStart } = orders;
    const contact = record.contact(this.#now(), orders.inProgress(), { mayStart });
    const running = contact.running.map((status) => {
      const pace = orders.paceOf(status);
      return pace === undefined ? status : { ...status, pace };
    });
    if (this.#now() - (this.#crashHeardAt ?? Infinity) >= TELL_CRASH_MS) this.#crash = undefined;
    return { ...contact, running, ...(this.#crash === undefined ? {} : { crash: this.#crash }) };
  }

  /** Takes the owner's answer to a contact that was sent at `sentAt`, telling of `told`. */
  apply(orders: CellOrders, { sentAt, told }: { sentAt: number; told: CellContact }): void {
    if (orders.term < this.#term) return;
    if (orders.term > this.#term) {
      this.#ctx.log.info({ term: orders.term }, 'owner of a new term');
      this.#term = orders.term;
    }
    const life = this.#life;
    if (life === undefined || orders.runner !== life.record.life) return;
    if (told.crash !== undefined && told.crash === this.#crash) this.#crashHeardAt ??= this.#now();
    const { record } = life;
    if (orders.leaseMs > 0) record.lease.grant(sentAt, orders.leaseMs);
    record.noteTold(told, orders.confirmedEnd);
    const target = this.#target(life);
    // Under the same id its orders would reach the life that has taken its place.
    if (record.isReplaced) return;
    orders.starts.forEach((order) => {
      const { task, run } = order;
      if (!record.isLeaving) life.orders.start(order, target);
      else record.noteRefused({ task, run, reason: 'unavailable', at: this.#now() });
    });
    orders.stops.forEach((run) => life.orders.stop(run, target));
    orders.paces.forEach((order) => life.orders.pace(order, target));
  }

  async #check(report: RunnerReport): Promise<void> {
    if (this.#checking !== undefined || this.#stopped) return;
    this.#checking = report.id;
    const answer = await this.#port.look(
      report,
      { term: this.#term, confirmedEnd: 0, waitMs: 0 },
      { timeoutMs: LOOK_SLACK_MS },
    );
    this.#checking = undefined;
    // A runner that refuses our term is alive all the same: a newer owner's guard was here. Under a known id that says nothing.
    const isKnownId = this.#life?.record.report.id === report.id;
    const isRefusal = answer.outcome === 'refused' && !isKnownId;
    const isAlive = isRefusal || listingOf(answer, report) !== undefined;
    if (isAlive && !this.#stopped) {
      this.#adopt(report);
      return;
    }
    this.#ctx.metrics.count('runner.unverified');
    const { outcome } = answer;
    const bornMs = outcome === 'ok' ? answer.bornMs : undefined;
    this.#ctx.log.info({ runner: lifeName(report), outcome, bornMs }, 'runner not verified');
  }

  #adopt(report: RunnerReport): void {
    const before = this.#life;
    this.#noteReplaced();
    const now = this.#now();
    const returns = before?.record.report.id === report.id;
    // A deadline on the clock of the life before may be any time away on the new one's: then the runner grants its most.
    const heldUntil = returns ? now + this.#holdMs : -Infinity;
    const record = new RunnerRecord({ report, now, heldUntil });
    const orders = this.#newOrders(record);
    const life = { record, orders };
    this.#life = life;
    this.#ctx.log.info(
      { runner: record.life, earlier: before?.record.life, service: report.service },
      'runner adopted',
    );
    if (returns) this.#barUnsettled(life, before);
    void this.#follow(life);
  }

  #newOrders(record: RunnerRecord): RunOrders {
    return new RunOrders({
      ctx: this.#ctx,
      port: this.#port,
      events: {
        onStarted: (run) => {
          record.noteStarted(run, this.#now());
          this.#onNews();
        },
        onRefused: (refused) => {
          record.noteRefused(refused);
          this.#onNews();
        },
        onStopped: (run) => record.noteStopped(run, this.#now()),
        onStale: () => this.#onNews(),
      },
    });
  }

  /** Calls name a runner by its id: what was on its way to the life before is carried out by the one that has come under it. */
  #barUnsettled(life: Life, before: Life): void {
    before.orders.unsettled().forEach((run) =>
      life.orders.bar(run, {
        target: () => this.#target(life),
        isOver: () => this.#life !== life || this.#stopped,
      }),
    );
  }

  async #follow(life: Life): Promise<void> {
    while (this.#life === life && !this.#stopped) {
      try {
        await this.#look(life);
      } catch (err) {
        this.#ctx.metrics.count('runner.look-failed');
        this.#ctx.log.error({ err, runner: life.record.life }, 'following a runner failed');
        await pause(LOOK_PAUSE_MS);
      }
    }
  }

  async #look(life: Life): Promise<void> {
    const { record } = life;
    const sentAt = this.#now();
    const endsWait = record.hasUnconfirmedEnds;
    const isUrgent = endsWait || record.awaitsListing || !record.isListed;
    const waitMs = isUrgent ? 0 : LOOK_WAIT_MS;
    // A runner out of reach gets no more time: its last lease has to end.
    const deadlineMs = record.isReachable(sentAt) ? record.lease.deadline(sentAt) : undefined;
    const answer = await this.#port.look(
      record.report,
      {
        term: this.#term,
        // After a call without an answer another life may be there, whose ends nobody has read: nothing is confirmed to it.
        confirmedEnd: record.silence === undefined ? record.confirmedEnd : 0,
        waitMs,
        ...(deadlineMs === undefined ? {} : { deadlineMs }),
      },
      { timeoutMs: waitMs + LOOK_SLACK_MS },
    );
    if (this.#life !== life) return;
    const listing = listingOf(answer, record.report);
    if (listing !== undefined) {
      if (record.noteListing(listing, { sentAt, now: this.#now() })) this.#onNews();
      if (endsWait) await pause(LOOK_PAUSE_MS);
      return;
    }
    this.#ctx.metrics.count(`runner.look-${answer.outcome}`);
    if (answer.outcome === 'ok') this.#noteOtherLife(record, answer.bornMs);
    if (answer.outcome === 'refused') record.noteAnswer(this.#now());
    else this.#noteSilence(life);
    if (answer.outcome === 'wrong-life') this.#onNews();
    await pause(LOOK_PAUSE_MS);
  }

  /** A listing of another life: it says nothing of this one, but that it is over. Its heartbeat brings the new one. */
  #noteOtherLife(record: RunnerRecord, bornMs: number | undefined): void {
    if (record.isReplaced) return;
    record.noteReplaced();
    this.#ctx.metrics.count('runner.other-life');
    this.#ctx.log.warn({ runner: record.life, bornMs }, 'runner answers as another life');
    this.#onNews();
  }

  #noteSilence({ record, orders }: Life): void {
    if (!record.noteNoAnswer(this.#now(), orders.sent())) return;
    this.#ctx.metrics.count('runner.silent');
    this.#ctx.log.warn({ runner: record.life, ...describeRuns(record) }, "runner doesn't answer");
  }

  /** Another life of the runner is there although the one before never said that it leaves. */
  #noteReplaced(): void {
    const life = this.#life;
    if (life === undefined || life.record.isLeaving) return;
    const { record, orders } = life;
    const now = this.#now();
    // The next life may be there before any call to the earlier one has failed.
    record.noteNoAnswer(now, orders.sent());
    const { at, runs } = record.silence ?? { at: now, runs: [] };
    const livedMs = Math.round(at - record.since);
    this.#crash = { runner: record.life, livedMs, runs };
    this.#crashHeardAt = undefined;
    this.#ctx.metrics.count('runner.replaced');
    const silentMs = Math.round(now - at);
    this.#ctx.log.warn(
      { runner: record.life, livedMs, silentMs, ...describeRuns(record) },
      'runner crashed',
    );
  }

  #target({ record }: Life): OrderContext {
    const term = this.#term;
    return {
      life: record.report,
      term,
      deadlineMs: () => record.lease.deadline(this.#now()),
      isCurrent: () =>
        this.#life?.record === record &&
        !record.isReplaced &&
        this.#term === term &&
        !this.#stopped,
    };
  }

  #now(): number {
    return this.#ctx.clock.now();
  }
}

/** The listing, if it is this life's: that the runner answered under its id doesn't say so. */
function listingOf(
  answer: RunnerAnswer<Listing>,
  { bornMs }: LifeIdentity,
): (Listing & { clockMs: number }) | undefined {
  return answer.outcome === 'ok' && answer.bornMs === bornMs ? answer : undefined;
}

/** Runs that were there when the runner fell silent, for a log line: the youngest, as one of them may have been its end. */
function describeRuns({ silence }: RunnerRecord): { runs: number; youngest: string } {
  const runs = [...(silence?.runs ?? [])].sort((a, b) => a.ranMs - b.ranMs);
  const youngest = runs
    .slice(0, MOST_RUNS_LOGGED)
    .map(({ task, run, ranMs }) => `${task}#${run}:${ranMs}ms`)
    .join(' ');
  return { runs: runs.length, youngest };
}
