/** What a guard tells the owner is taken into the books here, and what is to be so on its runner is worked out. */
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
import { takeUpCrash, takeUpUntoldCrash } from './crash-report.js';
import type { RunBook } from './run-book.js';
import { noteUnaccounted } from './unaccounted-runs.js';

/** A worker that refused a start for want of room is left alone this long, in ms: a stop takes about as long. */
const ROOM_PAUSE_MS = 300;

/** One whose runner didn't answer, or says that it is unhealthy, in ms. */
const UNAVAILABLE_PAUSE_MS = 2000;

/** Orders without what the term says of itself. */
export type RunnerOrders = Omit<CellOrders, 'term' | 'leaseMs' | 'unconfirmedMs'>;

const NO_ORDERS: RunnerOrders = {
  runner: '',
  starts: [],
  stops: [],
  paces: [],
  confirmedEnd: 0,
};

/** Takes up one contact. True if it may let something start or stop; most tell of progress only. */
export function takeUpContact(book: RunBook, worker: Worker, contact: CellContact): boolean {
  const earlier = worker.runner;
  const wasThere = book.fleet.isPlaceable(worker);
  const earlierLife = earlier?.id;
  const runsBefore = worker.assignments.size;
  worker.noteContact(book.now(), contact.runner);
  if (contact.runner !== undefined && contact.runner.id !== earlierLife) {
    book.log('runner known', { vm: worker.vm, runner: contact.runner.id, earlierLife });
  }
  contact.ends.forEach((end) => takeUpEnd(book, worker, end));
  contact.refused.forEach((refused) => takeUpRefusal(book, worker, refused));
  contact.running.forEach((status) => {
    const assignment = assignmentOf(worker, status);
    if (assignment === undefined) return;
    if (assignment.runningAt === undefined || status.percent > assignment.percent) {
      assignment.progressAt = book.now();
    }
    if (assignment.runningAt === undefined) assignment.firstPercent = status.percent;
    assignment.runningAt ??= book.now();
    assignment.percent = status.percent;
    assignment.checkpoint = status.checkpoint;
  });
  if (contact.crash !== undefined) takeUpCrash(book, worker, contact.crash);
  noteUntoldCrash(book, worker, { earlier, contact });
  loseWhatCannotRun(book, worker, contact);
  watchServing(book, worker, contact);
  const { runner, ends, refused } = contact;
  const isOther = !isSameRunner(runner, earlier);
  const hasChanged = worker.assignments.size !== runsBefore;
  return ends.length > 0 || refused.length > 0 || hasChanged || isOther || !wasThere;
}

/** False if something may start, or may not any more, by what the runner says of itself. */
function isSameRunner(a: RunnerFacts | undefined, b: RunnerFacts | undefined): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.id === b.id && a.draining === b.draining && isSameDemand(a.capacity, b.capacity);
}

/** Sets the pace of what fills the worker by how its serving tasks do. */
function watchServing(book: RunBook, worker: Worker, { running }: CellContact): void {
  const paces = running.flatMap(({ pace }) => pace ?? []);
  if (paces.length > 0) worker.paceController.restore(Math.min(...paces));
  const serving = running.flatMap((status) => {
    const targetMs = book.stepOf(assignmentOf(worker, status))?.targetMs;
    return targetMs === undefined ? [] : [{ tailMs: status.load ?? 0, targetMs }];
  });
  const before = worker.paceController.percent;
  worker.paceController.update(serving, book.now());
  const { percent } = worker.paceController;
  if (percent !== before) book.log('worker paced', { vm: worker.vm, percent, before, serving });
}

/** What is to be so: starts that aren't known there yet, stops of what shouldn't run. */
export function ordersFor(book: RunBook, worker: Worker, contact: CellContact): RunnerOrders {
  const confirmedEnd = book.confirmEnds(worker);
  // Without a runner's listing nothing follows from what isn't listed.
  if (contact.runner === undefined) return { ...NO_ORDERS };
  const known = new Set(
    [...contact.running, ...contact.inProgress, ...contact.ends, ...contact.refused].map(runKey),
  );
  const runner = worker.runner?.id ?? '';
  const here = [...worker.assignments.values()].filter(
    (assignment) => assignment.runner === runner,
  );
  const unstarted = here.filter((assignment) => !known.has(runKey(toRunName(assignment))));
  // Placed anew once it is barred.
  unstarted
    .filter((assignment) => book.orders.lacksTicket(assignment))
    .forEach((assignment) => book.stop(assignment, 'ticket expired'));
  const listed = [...contact.running, ...contact.inProgress].filter(
    (run) => !book.orders.mayGoOn(assignmentOf(worker, run)),
  );
  const wanted = unstarted.filter((assignment) => book.orders.isWanted(assignment));
  const ordered = wanted.filter((assignment) => book.orders.mayOrder(assignment, worker));
  const starts = ordered.map((assignment): StartOrder => book.orders.orderFor(assignment));
  // Not listed and not to start: barred there, so that no late call starts it. Also of a job that is over, as nothing else would
  // ever ask what became of the run: a member of a gang that others' ends completed would keep its room for good.
  const barred = unstarted.filter((each) => !wanted.includes(each)).map(toRunName);
  const stops = [...listed, ...barred].map(({ task, run }) => ({ task, run }));
  // Neither told of nor ordered anything.
  noteUnaccounted(
    book,
    worker,
    wanted.filter((each) => !ordered.includes(each)),
  );
  return { runner, starts, stops, confirmedEnd, paces: pacesFor(book, worker, contact) };
}

/** Nothing, until something was paced here: a runner lets each run work in full by itself. */
function pacesFor(book: RunBook, worker: Worker, { running }: CellContact): PaceOrder[] {
  const { isActive: isPacing, percent } = worker.paceController;
  if (!isPacing) return [];
  return running
    .filter((status) => book.stepOf(assignmentOf(worker, status))?.fills)
    .map(({ task, run }) => ({ task, run, percent }));
}

function takeUpEnd(book: RunBook, worker: Worker, end: ListedEnd): void {
  if (worker.hasEnd(end.number)) {
    noteSkippedEnd(book, worker, end);
    return;
  }
  const parsed = parseTaskName(end.task);
  const assignment = assignmentOf(worker, end);
  const change =
    parsed === undefined
      ? undefined
      : book.end(parsed.jobId, {
          ref: parsed.ref,
          run: end.run,
          how: end.how,
          checkpoint: end.checkpoint,
        });
  if (assignment !== undefined) book.noteHealth(worker, assignment, end.how);
  worker.noteEnd(end.number, { jobId: parsed?.jobId ?? '', change: change ?? 0 });
  if (assignment !== undefined) worker.assignments.delete(assignment.name);
}

/** Its number says that it was taken up before, yet its run is still in the books: one of the two is wrong. */
function noteSkippedEnd(book: RunBook, worker: Worker, end: ListedEnd): void {
  if (assignmentOf(worker, end) === undefined) return;
  const { number, task, run, how } = end;
  book.count('end.skipped');
  book.log('end skipped', { vm: worker.vm, runner: worker.runner?.id, number, task, run, how });
}

function takeUpRefusal(
  book: RunBook,
  worker: Worker,
  { task, run, reason }: CellContact['refused'][number],
): void {
  const assignment = assignmentOf(worker, { task, run });
  if (assignment === undefined) return;
  if (reason === 'ticket') book.orders.noteTicketRefused(assignment);
  if (reason === 'room') worker.avoid(book.now() + ROOM_PAUSE_MS);
  if (reason === 'unavailable') worker.avoid(book.now() + UNAVAILABLE_PAUSE_MS);
  book.lose(worker, assignment, `refused: ${reason}`);
}

/**
 * The runner is another one, it never said that it leaves, and its guard can't tell what was there as it was started anew
 * itself. What had begun there counts, with nothing known of its age: otherwise a guard that is lost with each crash would let a
 * task go on crashing runners.
 */
function noteUntoldCrash(
  book: RunBook,
  worker: Worker,
  { earlier, contact }: { earlier: RunnerFacts | undefined; contact: CellContact },
): void {
  const isOther = contact.runner !== undefined && contact.runner.id !== earlier?.id;
  if (earlier === undefined || !isOther || earlier.draining) return;
  if (contact.crash?.runner === earlier.id) return;
  const begun = [...worker.assignments.values()].filter(
    ({ runner, runningAt }) => runner === earlier.id && runningAt !== undefined,
  );
  begun.forEach((assignment) => takeUpUntoldCrash(book, worker, assignment));
}

/**
 * A new life of the runner runs nothing of the one before; without a lease nothing runs. What the new life tells of may run there
 * all the same: a start that was on its way reaches whichever life has the runner's id.
 */
function loseWhatCannotRun(book: RunBook, worker: Worker, contact: CellContact): void {
  const { runner, running, inProgress } = contact;
  if (runner === undefined) return;
  const isTold = (assignment: Assignment): boolean =>
    [...running, ...inProgress].some((run) => assignmentOf(worker, run) === assignment);
  [...worker.assignments.values()].forEach((assignment) => {
    // Nearly always all are of the present life, and nothing is looked up.
    const isOver = assignment.runner !== runner.id && !isTold(assignment);
    if (isOver) book.lose(worker, assignment, 'runner replaced');
    else if (runner.leaseLapsed) book.lose(worker, assignment, 'lease lapsed');
  });
}

function assignmentOf(worker: Worker, { task, run }: RunName): Assignment | undefined {
  const assignment = worker.assignments.get(task);
  return assignment?.run === run ? assignment : undefined;
}

function toRunName({ name, run }: Assignment): RunName {
  return { task: name, run };
}
