/** Applies a guard's report to the owner's registry, and computes the orders for its runner. */
import type {
  CellContact,
  CellOrders,
  ListedEnd,
  PaceOrder,
  RunName,
  RunnerFacts,
  StartOrder,
} from '@zincspan/core';
import { isSameDemand } from '../job/submission.js';
import { parseTaskName, runKey } from '../job/task-name.js';
import type { Assignment, Worker } from '../worker/worker.js';
import { recordReportedCrash, recordUnreportedCrash } from './crash-attribution.js';
import { observedRun } from './observed-run.js';
import type { RunRegistry } from './run-registry.js';
import { trackUnaccountedRuns } from './unaccounted-runs.js';

/** A worker that refused a start for lack of room is given no runs for this long, in ms: a stop takes about as long. */
const NO_ROOM_BACKOFF_MS = 300;

/** The same for a worker whose runner didn't answer or reports itself unhealthy, in ms. */
const UNAVAILABLE_BACKOFF_MS = 2000;

/** Orders without the fields about the owner's term. */
export type RunnerOrders = Omit<CellOrders, 'term' | 'leaseMs' | 'unconfirmedMs'>;

const NO_ORDERS: RunnerOrders = {
  runner: '',
  starts: [],
  stops: [],
  paces: [],
  confirmedEnd: 0,
};

/** Applies one contact. True if runs may have to start or stop because of it; most contacts report progress only. */
export function applyContact(registry: RunRegistry, worker: Worker, contact: CellContact): boolean {
  const earlier = worker.runner;
  const wasPlaceable = registry.fleet.isSchedulable(worker);
  const earlierLife = earlier?.id;
  const runsBefore = worker.assignments.size;
  if (contact.runner === undefined) noteMissingRunner(registry, worker);
  worker.noteContact(registry.now(), contact.runner);
  if (contact.runner !== undefined && contact.runner.id !== earlierLife) {
    registry.log('new runner incarnation reported', {
      vm: worker.vm,
      runner: contact.runner.id,
      earlierLife,
    });
  }
  contact.ends.forEach((end) => applyEnd(registry, worker, end));
  contact.refused.forEach((refused) => applyRefusal(registry, worker, refused));
  contact.running.forEach((status) => {
    const assignment = assignmentOf(worker, status);
    if (assignment === undefined) return;
    if (assignment.runningAt === undefined || status.percent > assignment.percent) {
      assignment.progressAt = registry.now();
    }
    if (assignment.runningAt === undefined) assignment.firstPercent = status.percent;
    assignment.runningAt ??= registry.now();
    assignment.percent = status.percent;
    assignment.checkpoint = status.checkpoint;
  });
  registry.speeds.noteContact(worker, (assignment) => observedRun(registry, assignment));
  if (contact.crash !== undefined) recordReportedCrash(registry, worker, contact.crash);
  noteUnreportedCrash(registry, worker, { earlier, contact });
  markImpossibleRunsLost(registry, worker, contact);
  adjustPace(registry, worker, contact);
  const { runner, ends, refused } = contact;
  const factsChanged = !hasSameFacts(runner, earlier);
  const hasChanged = worker.assignments.size !== runsBefore;
  return ends.length > 0 || refused.length > 0 || hasChanged || factsChanged || !wasPlaceable;
}

/** Counts a contact without a runner, and logs the first one in a row if a runner or runs were known there. */
function noteMissingRunner(registry: RunRegistry, worker: Worker): void {
  registry.count('owner.contact-without-runner');
  const { vm, runner, assignments, leaseEndsAt } = worker;
  const wasMissing = worker.isRunnerReported === false;
  if (wasMissing || (runner === undefined && assignments.size === 0)) return;
  registry.log('guard reports no runner', {
    vm,
    earlierLife: runner?.id,
    runs: assignments.size,
    ...(leaseEndsAt === undefined ? {} : { leaseMs: Math.round(leaseEndsAt - registry.now()) }),
  });
}

/** False if the runner's facts changed in a way that affects what may start there. */
function hasSameFacts(a: RunnerFacts | undefined, b: RunnerFacts | undefined): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.id === b.id && a.draining === b.draining && isSameDemand(a.capacity, b.capacity);
}

/** Adapts the speed of filler runs on the worker to the latency of its serving tasks. */
function adjustPace(registry: RunRegistry, worker: Worker, { running }: CellContact): void {
  const paces = running.flatMap(({ pace }) => pace ?? []);
  if (paces.length > 0) worker.paceController.restore(Math.min(...paces));
  const serving = running.flatMap((status) => {
    const targetMs = registry.stepOf(assignmentOf(worker, status))?.targetMs;
    return targetMs === undefined ? [] : [{ tailMs: status.load ?? 0, targetMs }];
  });
  const before = worker.paceController.percent;
  worker.paceController.update(serving, registry.now());
  const { percent } = worker.paceController;
  if (percent !== before) registry.log('pace changed', { vm: worker.vm, percent, before, serving });
}

/** Computes the orders for the desired state: starts that the guard doesn't know yet, stops of runs that shouldn't go on. */
export function ordersFor(
  registry: RunRegistry,
  worker: Worker,
  contact: CellContact,
): RunnerOrders {
  const confirmedEnd = registry.confirmEnds(worker);
  // Without a runner's report, nothing follows from a run that isn't reported.
  if (contact.runner === undefined) return { ...NO_ORDERS };
  const known = new Set(
    [...contact.running, ...contact.inProgress, ...contact.ends, ...contact.refused].map(runKey),
  );
  const runner = worker.runner?.id ?? '';
  const assignedHere = [...worker.assignments.values()].filter(
    (assignment) => assignment.runner === runner,
  );
  const unreported = assignedHere.filter((assignment) => !known.has(runKey(toRunName(assignment))));
  // Stopped, and placed again once the runner has blocked it.
  unreported
    .filter((assignment) => registry.orders.lacksTicket(assignment))
    .forEach((assignment) => registry.stopRun(assignment, 'ticket expired'));
  const runsToStop = [...contact.running, ...contact.inProgress].filter(
    (run) => !registry.orders.mayContinue(assignmentOf(worker, run)),
  );
  const wanted = unreported.filter((assignment) => registry.orders.isWanted(assignment));
  const ordered = wanted.filter((assignment) => registry.orders.mayOrderStart(assignment, worker));
  const starts = ordered.map((assignment): StartOrder => registry.orders.orderFor(assignment));
  // Neither reported nor to be started: a stop blocks the run there, so that no late call starts it. Also runs of jobs that have
  // ended, since nothing else asks what became of them: a gang member whose step others completed would keep its room for good.
  const runsToBlock = unreported.filter((each) => !wanted.includes(each)).map(toRunName);
  const stops = [...runsToStop, ...runsToBlock].map(({ task, run }) => ({ task, run }));
  // Neither reported nor ordered to start or stop.
  trackUnaccountedRuns(
    registry,
    worker,
    wanted.filter((each) => !ordered.includes(each)),
  );
  return { runner, starts, stops, confirmedEnd, paces: paceOrdersFor(registry, worker, contact) };
}

/** Empty until the first slowdown on this worker: by default a runner lets each run work at full speed. */
function paceOrdersFor(
  registry: RunRegistry,
  worker: Worker,
  { running }: CellContact,
): PaceOrder[] {
  const { isActive, percent } = worker.paceController;
  if (!isActive) return [];
  return running
    .filter((status) => registry.stepOf(assignmentOf(worker, status))?.fills)
    .map(({ task, run }) => ({ task, run, percent }));
}

function applyEnd(registry: RunRegistry, worker: Worker, end: ListedEnd): void {
  if (worker.hasEnd(end.number)) {
    reportSkippedEnd(registry, worker, end);
    return;
  }
  const parsed = parseTaskName(end.task);
  const assignment = assignmentOf(worker, end);
  const change =
    parsed === undefined
      ? undefined
      : registry.recordEnd(parsed.jobId, {
          ref: parsed.ref,
          run: end.run,
          how: end.how,
          checkpoint: end.checkpoint,
        });
  if (assignment !== undefined) registry.recordRunHealth(worker, assignment, end.how);
  worker.noteEnd(end.number, { jobId: parsed?.jobId ?? '', change: change ?? 0 });
  if (assignment !== undefined) worker.assignments.delete(assignment.name);
}

/** Reports an end whose number was applied before although its run is still assigned: one of the two is wrong. */
function reportSkippedEnd(registry: RunRegistry, worker: Worker, end: ListedEnd): void {
  if (assignmentOf(worker, end) === undefined) return;
  const { number, task, run, how } = end;
  registry.count('end.skipped');
  registry.log('skipped the end of a run that is still assigned', {
    vm: worker.vm,
    runner: worker.runner?.id,
    number,
    task,
    run,
    how,
  });
}

function applyRefusal(
  registry: RunRegistry,
  worker: Worker,
  { task, run, reason }: CellContact['refused'][number],
): void {
  const assignment = assignmentOf(worker, { task, run });
  if (assignment === undefined) return;
  if (reason === 'ticket') registry.orders.noteTicketRefused(assignment);
  if (reason === 'room') worker.avoid(registry.now() + NO_ROOM_BACKOFF_MS);
  if (reason === 'unavailable') worker.avoid(registry.now() + UNAVAILABLE_BACKOFF_MS);
  registry.markLost(worker, assignment, `start refused: ${reason}`);
}

/**
 * Handles a runner that was replaced without draining, and whose guard can't report what ran there as it was restarted too.
 * Counts a crash, at unknown age, against every run that had started there: otherwise a task could go on crashing runners if
 * the guard is lost with each crash.
 */
function noteUnreportedCrash(
  registry: RunRegistry,
  worker: Worker,
  { earlier, contact }: { earlier: RunnerFacts | undefined; contact: CellContact },
): void {
  const isOther = contact.runner !== undefined && contact.runner.id !== earlier?.id;
  if (earlier === undefined || !isOther || earlier.draining) return;
  if (contact.crash?.runner === earlier.id) return;
  const startedRuns = [...worker.assignments.values()].filter(
    ({ runner, runningAt }) => runner === earlier.id && runningAt !== undefined,
  );
  startedRuns.forEach((assignment) => recordUnreportedCrash(registry, worker, assignment));
}

/**
 * Marks runs as lost that can't be running: those assigned to an earlier incarnation of the runner, and all if the lease has
 * lapsed. A run of an earlier incarnation may run all the same if the present one reports it: a start in flight reaches whichever
 * incarnation has the runner's id.
 */
function markImpossibleRunsLost(registry: RunRegistry, worker: Worker, contact: CellContact): void {
  const { runner, running, inProgress } = contact;
  if (runner === undefined) return;
  const isReported = (assignment: Assignment): boolean =>
    [...running, ...inProgress].some((run) => assignmentOf(worker, run) === assignment);
  [...worker.assignments.values()].forEach((assignment) => {
    // Nearly always all runs are of the present incarnation, and nothing has to be searched.
    const isOfEarlierIncarnation = assignment.runner !== runner.id && !isReported(assignment);
    if (isOfEarlierIncarnation) registry.markLost(worker, assignment, 'runner replaced');
    else if (runner.leaseLapsed) registry.markLost(worker, assignment, 'lease lapsed');
  });
}

function assignmentOf(worker: Worker, { task, run }: RunName): Assignment | undefined {
  const assignment = worker.assignments.get(task);
  return assignment?.run === run ? assignment : undefined;
}

function toRunName({ name, run }: Assignment): RunName {
  return { task: name, run };
}
