/** Drives one scenario with one policy version through virtual time. */
import { BenchEntry, type RequestEnding } from './bench-entry.js';
import type { Deployment } from './deployment.js';
import { FakeRunner } from './fake-runner.js';
import type { PolicyVersion } from './policy-version.js';
import { RandomSource } from './random-source.js';
import { RUN_MS, type Scenario } from './scenario.js';
import { Tally } from './tally.js';
import { VirtualTime } from './virtual-time.js';

/** Requests of the benches: identity matches or lens check-outs. */
interface RequestKind {
  kind: string;
  idempotent: boolean;
  urgent: boolean;
  medianMs: number;
  share: number;
}

const KINDS: RequestKind[] = [
  { kind: 'match', idempotent: true, urgent: true, medianMs: 40, share: 0.8 },
  { kind: 'book', idempotent: false, urgent: true, medianMs: 20, share: 0.2 },
];
const SIGMA = 0.7;
const CONTRACT_MS = 400;
const DEADLINE_MS = 2000;
/** Account that bursts, if any does. */
const BURSTING = 1;
const MOST_RETURNS = 2;
const GIVE_UP_MS = 30;
/** For callers who were told to come back later. */
const SETTLE_MS = 60_000;
const TROUBLE_TICK_MS = 100;

const MEAN_SERVICE_MS =
  KINDS.reduce((total, { medianMs, share }) => total + medianMs * share, 0) *
  Math.exp(SIGMA ** 2 / 2);

/** One run's figures. */
export interface RunFigures {
  tally: Tally;
  /** Share of all slots in use over the run. */
  utilisation: number;
}

class ScenarioRun {
  readonly #deployment: Deployment;

  readonly #scenario: Scenario;

  readonly #time = new VirtualTime();

  readonly #tally = new Tally();

  /** Of the callers; decisions and runners draw from streams of their own. */
  readonly #random: RandomSource;

  readonly #runners: FakeRunner[];

  readonly #entries: BenchEntry[];

  #made = 0;

  constructor(deployment: Deployment, scenario: Scenario, version: PolicyVersion, seed: number) {
    this.#deployment = deployment;
    this.#scenario = scenario;
    this.#random = new RandomSource(seed);
    const time = this.#time;
    const { failureDomains, slots } = deployment;
    const domain = (i: number): string => failureDomains[i % failureDomains.length] as string;
    this.#runners = Array.from({ length: deployment.runners }, (_, i) => {
      const random = new RandomSource(seed + 1000 + i);
      return new FakeRunner({ id: `runner-${i}`, failureDomain: domain(i), slots, time, random });
    });
    this.#entries = Array.from({ length: deployment.entries }, (_, i) => {
      const random = new RandomSource(seed + 2000 + i);
      const runners = this.#runners;
      return new BenchEntry({
        failureDomain: domain(i),
        deployment,
        runners,
        version,
        time,
        random,
      });
    });
  }

  run(): RunFigures {
    this.#deployment.accounts.forEach((_, i) => this.#arrivals(i));
    this.#troubleTick();
    this.#time.runUntil(RUN_MS + SETTLE_MS);
    const busyMs = this.#runners.reduce((total, runner) => total + runner.busyMs, 0);
    const slotMs = RUN_MS * this.#deployment.runners * this.#deployment.slots;
    return { tally: this.#tally, utilisation: busyMs / slotMs };
  }

  #arrivals(account: number): void {
    const { bunch = 1 } = this.#scenario;
    const slots = this.#deployment.runners * this.#deployment.slots;
    const perMs = (this.#scenario.load(account, this.#time.now) * slots) / MEAN_SERVICE_MS;
    this.#time.after(this.#random.exponential(bunch / perMs), () => {
      if (this.#time.now > RUN_MS) return;
      Array.from({ length: bunch }, (_, i) => this.#ask(account, bunch > 1 ? i : undefined));
      this.#arrivals(account);
    });
  }

  #ask(account: number, turn: number | undefined): void {
    const { name } = this.#deployment.accounts[account] as { name: string };
    const chosen = this.#random.uniform() < (KINDS[0] as RequestKind).share ? KINDS[0] : KINDS[1];
    const kind = chosen as RequestKind;
    const serviceMs = this.#random.logNormal(kind.medianMs, SIGMA);
    const at = turn ?? Math.floor(this.#random.uniform() * this.#entries.length);
    const entry = this.#entries[at % this.#entries.length] as BenchEntry;
    const leaves = this.#random.uniform() < (this.#scenario.givesUp?.(this.#time.now) ?? 0);
    if (!leaves) this.#tally.asked(name);
    this.#submit({
      entry,
      account: name,
      kind,
      serviceMs,
      leaves,
      askedAt: this.#time.now,
      returns: 0,
    });
  }

  #submit(call: Call): void {
    const { entry, account, kind, serviceMs, leaves } = call;
    const { clientMs } = this.#deployment;
    this.#made += 1;
    const id = `request-${this.#made}`;
    const { idempotent, urgent } = kind;
    this.#time.after(clientMs, () =>
      entry.submit({
        id,
        account,
        kind: kind.kind,
        idempotent,
        urgent,
        serviceMs,
        deadlineAt: this.#time.now + DEADLINE_MS,
        done: (end) => this.#time.after(clientMs, () => this.#ended(call, end)),
      }),
    );
    if (leaves) this.#time.after(GIVE_UP_MS, () => entry.cancel(id));
  }

  #ended(call: Call, end: RequestEnding): void {
    if (call.leaves) return;
    if (call.returns > 0) this.#tally.returns += 1;
    if (call.returns > 0 && end.type !== 'refused') this.#tally.returnsTaken += 1;
    if (end.type === 'answered') {
      const ms = this.#time.now - call.askedAt;
      const { account, serviceMs } = call;
      const usual = account !== this.#deployment.accounts[BURSTING]?.name;
      this.#tally.answer(account, { ms, serviceMs, withinMs: CONTRACT_MS, usual });
    } else if (end.type === 'deadline') this.#tally.late += 1;
    else this.#refused(call, end.problem.retryAfterMs ?? 1000);
  }

  /** A refused caller comes back when it was told to, a few times. */
  #refused(call: Call, retryAfterMs: number): void {
    if (call.returns === 0) this.#tally.refusals += 1;
    if (call.returns >= MOST_RETURNS) {
      this.#tally.refusedForGood += 1;
      return;
    }
    this.#time.after(retryAfterMs, () => this.#submit({ ...call, returns: call.returns + 1 }));
  }

  #troubleTick(): void {
    this.#scenario.trouble?.(this.#runners, this.#time.now);
    if (this.#time.now < RUN_MS) this.#time.after(TROUBLE_TICK_MS, () => this.#troubleTick());
  }
}

/** Runs a scenario; the same seed gives the same requests to every version. */
export function runScenario({
  deployment,
  scenario,
  version,
  seed,
}: {
  deployment: Deployment;
  scenario: Scenario;
  version: PolicyVersion;
  seed: number;
}): RunFigures {
  return new ScenarioRun(deployment, scenario, version, seed).run();
}

interface Call {
  entry: BenchEntry;
  account: string;
  kind: RequestKind;
  serviceMs: number;
  leaves: boolean;
  askedAt: number;
  /** Times that it came back after a refusal. */
  returns: number;
}
