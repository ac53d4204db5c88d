/** One placement pass over all pending groups: what starts where, and what is preempted for it. Only decides, changes no state. */
import { placeGroup } from '../placing/best-fit.js';
import { CapacityLedger } from '../placing/capacity-ledger.js';
import type { TaskGroup } from '../placing/available-worker.js';
import { CapacityFit } from './capacity-fit.js';
import { orderForStops } from './group-order.js';
import { GroupApprovals } from './group-approvals.js';
import { rankPendingGroups, type RankedGroup } from './ranked-groups.js';
import type { PlacementInput, PlacementResult } from './placement-types.js';
import { Reservations } from './reservations.js';
import { Preemptor } from './preemptor.js';
import { withoutPlaced, type PendingGroup } from './pending-groups.js';

class PlacementPass {
  readonly #starts: PlacementResult['starts'] = [];

  readonly #approvalRequests: PlacementResult['approvalRequests'] = [];

  readonly #input: PlacementInput;

  readonly #fit: CapacityFit;

  readonly #ledger: CapacityLedger;

  readonly #preemptor: Preemptor;

  readonly #reservations: Reservations;

  constructor(input: PlacementInput) {
    this.#input = input;
    this.#fit = new CapacityFit(input);
    const stopping = input.runningUnits.filter((unit) => unit.stopping);
    this.#ledger = new CapacityLedger(
      input.workers,
      stopping.flatMap(({ members }) => members),
      (group) => this.#fit.termsOf(group),
    );
    this.#preemptor = new Preemptor(input, this.#ledger);
    this.#reservations = new Reservations(input.workers, this.#ledger, this.#fit.isOn);
  }

  get result(): PlacementResult {
    return {
      starts: this.#starts,
      preemptions: this.#preemptor.preemptions,
      weighedStops: this.#preemptor.weighedStops,
      approvalRequests: this.#approvalRequests,
      fit: this.#fit.summary(),
    };
  }

  place(ranked: RankedGroup): void {
    if (ranked.pending.job.terms.needsAdvice) this.#placeWithApproval(ranked);
    else if (this.#fit.isLimitable(ranked)) this.#startSmallTasks(ranked);
    else this.#preemptForRest(ranked, this.#startNow(ranked.pending));
  }

  /** Starts a wide group of small tasks, as many as leave the workers free that are kept for other groups. */
  #startSmallTasks(ranked: RankedGroup): void {
    const { pending } = ranked;
    const waiting = this.#startFirst(pending, { tasks: this.#fit.tasksWhileIdle(pending.group) });
    if (waiting === undefined) return;
    const startedNow = pending.group.indexes.length - waiting.group.indexes.length;
    const allowance = this.#fit.allowanceFor(
      { ...ranked, pending: waiting },
      this.#ledger.free,
      startedNow,
    );
    const rest = this.#startFirst(waiting, allowance ?? { tasks: Infinity });
    if (rest === undefined) return;
    if (allowance === undefined) this.#preemptForRest(ranked, rest);
    else this.#fit.noteDeferred(ranked, rest.group.indexes.length, this.#ledger.free);
  }

  /** Starts at most so many tasks of the group; returns the rest as `#startNow`. */
  #startFirst(
    pending: PendingGroup,
    { tasks, mayOpen }: { tasks: number; mayOpen?: number },
  ): PendingGroup | undefined {
    const group = { ...pending.group, indexes: pending.group.indexes.slice(0, tasks) };
    if (group.indexes.length === 0) return pending;
    return this.#startNow(pending, group, mayOpen);
  }

  /** Plans starts for the tasks that fit; returns the rest of the group, or undefined if all fit. */
  #startNow(
    pending: PendingGroup,
    group = pending.group,
    mayOpen = Infinity,
  ): PendingGroup | undefined {
    const placements = this.#ledger.place(group, mayOpen);
    if (placements.length > 0) this.#starts.push({ pending, placements });
    this.#fit.noteStarted(group, placements.length);
    return withoutPlaced(pending, placements);
  }

  #preemptForRest(ranked: RankedGroup, rest: PendingGroup | undefined): void {
    if (rest === undefined) return;
    const unplaced = this.#preemptor.preemptFor({ ...ranked, pending: rest });
    if (unplaced !== undefined) this.#reservations.reserveFor({ ...ranked, pending: unplaced });
  }

  /** Places the group only on runners that the placement advisor approved and whose tickets are still valid. */
  #placeWithApproval(ranked: RankedGroup): void {
    const { pending } = ranked;
    const ready = this.#approvalsFor(pending.group).restrictTo('ready');
    const rest = this.#startNow({ ...pending, group: ready });
    if (rest === undefined) return;
    const approvals = this.#approvalsFor({ ...rest.group, avoided: pending.group.avoided });
    const approved = approvals.restrictTo('ready', 'approved');
    const trial = placeGroup(
      approved,
      this.#ledger.free.map((worker) => worker.copy()),
      this.#fit.termsOf(approved),
    );
    const request =
      approvals.renewalRequest(new Set(trial.map(({ vm }) => vm))) ?? approvals.approvalRequest();
    if (request === undefined) {
      this.#preemptForRest(ranked, { ...rest, group: approved });
      return;
    }
    this.#approvalRequests.push(request);
    // Reserves the capacity: the group starts there as soon as it has its tickets.
    this.#ledger.place(approved);
  }

  #approvalsFor(group: TaskGroup): GroupApprovals {
    const { approvals: cache, now, workers } = this.#input;
    return new GroupApprovals({ group, workers, cache, now });
  }
}

/** Plans one pass. */
export function planPlacement(input: PlacementInput): PlacementResult {
  const pass = new PlacementPass(input);
  orderForStops(rankPendingGroups(input), input).forEach((ranked) => pass.place(ranked));
  return pass.result;
}
