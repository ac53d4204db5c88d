/** Scenarios: how much load comes from whom, and what goes wrong when. */
import type { FakeRunner } from './fake-runner.js';

/** One scenario. Rates are shares of what all slots can serve; times in ms. */
export interface Scenario {
  name: string;
  /** Load of the account with this index at a time. */
  load(account: number, at: number): number;
  /** Requests come in bunches of this many, at all entries at the same moment. */
  bunch?: number;
  /** Share of callers that give up after 30 ms, at a time. */
  givesUp?(at: number): number;
  /** Trouble at a runner: called every 100 ms. */
  trouble?(runners: FakeRunner[], at: number): void;
}

/** Ends of the troubled part of a run, and of the run, in ms. */
export const TROUBLE_FROM = 5000;
export const TROUBLE_UNTIL = 14_000;
export const RUN_MS = 20_000;

const STEADY = [0.28, 0.14, 0.14, 0.14];

function troubled(at: number): boolean {
  return at >= TROUBLE_FROM && at < TROUBLE_UNTIL;
}

function steady(account: number): number {
  return STEADY[account] ?? 0;
}

export const SCENARIOS: Scenario[] = [
  { name: 'steady 70%', load: steady },
  {
    name: 'account 2 bursts to 300%',
    load: (account, at) => (account === 1 && troubled(at) ? 3 : steady(account) * 0.7),
  },
  {
    name: 'one runner 10x slow',
    load: steady,
    trouble([runner], at) {
      runner?.setTrouble({ slowFactor: troubled(at) ? 10 : 1 });
    },
  },
  {
    name: 'one silent runner',
    load: steady,
    trouble([runner], at) {
      runner?.setTrouble({ silent: troubled(at) });
    },
  },
  {
    name: 'cancellation waves',
    load: steady,
    givesUp: (at) => (troubled(at) && at % 1000 < 500 ? 0.5 : 0),
  },
  {
    name: 'one run in 100 stalls',
    load: steady,
    trouble(runners, at) {
      runners.forEach((runner) => runner.setTrouble({ stallShare: troubled(at) ? 0.01 : 0 }));
    },
  },
  { name: 'entries racing, bunches of 16', load: steady, bunch: 16 },
];
