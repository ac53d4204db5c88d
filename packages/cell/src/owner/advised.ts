/** How the placement advisor's word restricts where a group goes, and what it has to be asked. */
import type { AdviceBook, AdviceStanding } from '../advice/advice-book.js';
import type { AdviceQuestion } from '../advice/advice-desk.js';
import { stepName } from '../job/task-name.js';
import {
  maxTasks,
  isEligible,
  tasksFitting,
  type TaskGroup,
  type AvailableWorker,
} from '../placing/available-worker.js';

/** Runners in one question: the platform reckons with one question of so many for each step. */
const RUNNERS_PER_QUESTION = 30;

/** Advice on one group. */
export class GroupAdvice {
  readonly #group: TaskGroup;

  readonly #rooms: readonly AvailableWorker[];

  readonly #book: AdviceBook;

  readonly #now: number;

  constructor({
    group,
    rooms,
    book,
    now,
  }: {
    group: TaskGroup;
    rooms: readonly AvailableWorker[];
    book: AdviceBook;
    now: number;
  }) {
    this.#group = group;
    this.#rooms = rooms;
    this.#book = book;
    this.#now = now;
  }

  /** The group, kept from all runners but those of these standings. */
  restrictedTo(...standings: readonly AdviceStanding[]): TaskGroup {
    const excluded = this.#rooms
      .filter((room) => !standings.includes(this.#standing(room)))
      .map(({ vm }) => vm);
    return { ...this.#group, avoided: new Set([...this.#group.avoided, ...excluded]) };
  }

  /** Tickets that have to be renewed before a start on these VMs; undefined if all of them hold. */
  renewal(vms: ReadonlySet<string>): AdviceQuestion | undefined {
    const rooms = this.#rooms.filter((room) => vms.has(room.vm));
    return this.#question(rooms.filter((room) => this.#standing(room) === 'approved'));
  }

  /** Runners that could take a task and that nobody has asked about, those with room now first. */
  enquiry(): AdviceQuestion | undefined {
    const rooms = this.#rooms
      .filter((room) => isEligible(this.#group, room))
      .filter((room) => this.#standing(room) === 'unknown')
      .filter((room) => maxTasks(room.capacity, this.#group.demand) > 0)
      .map((room) => ({ room, count: tasksFitting(this.#group, room) }))
      .sort((a, b) => b.count - a.count)
      .map(({ room }) => room);
    return this.#question(rooms);
  }

  #question(rooms: readonly AvailableWorker[]): AdviceQuestion | undefined {
    if (rooms.length === 0) return undefined;
    const runners = rooms.slice(0, RUNNERS_PER_QUESTION).map(({ runner }) => runner);
    return { step: stepName(this.#group), runners };
  }

  #standing({ runner }: AvailableWorker): AdviceStanding {
    return this.#book.standing(stepName(this.#group), runner, this.#now);
  }
}
