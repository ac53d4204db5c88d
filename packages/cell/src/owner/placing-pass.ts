/** One look over all that waits: what starts where, and whose runs are stopped for it. Decides; changes nothing. */
import { placeGroup } from '../placing/best-fit.js';
import { CapacityLedger } from '../placing/capacity-ledger.js';
import type { TaskGroup } from '../placing/available-worker.js';
import { GroupAdvice } from './advised.js';
import { candidates, type Candidate } from './candidates.js';
import type { PassInput, PassResult } from './pass-input.js';
import { Reservations } from './reservations.js';
import { RoomMaker } from './room-maker.js';
import { withoutPlaced, type WantedGroup } from './wanted-groups.js';

class Pass {
  readonly #starts: PassResult['starts'] = [];

  readonly #questions: PassResult['questions'] = [];

  readonly #input: PassInput;

  readonly #ledger: CapacityLedger;

  readonly #roomMaker: RoomMaker;

  readonly #reservations: Reservations;

  constructor(input: PassInput) {
    this.#input = input;
    const stopping = input.occupants.filter((occupant) => occupant.stopping);
    this.#ledger = new CapacityLedger(
      input.rooms,
      stopping.flatMap(({ members }) => members),
    );
    this.#roomMaker = new RoomMaker(input, this.#ledger);
    this.#reservations = new Reservations(input.rooms, this.#ledger);
  }

  get result(): PassResult {
    return { starts: this.#starts, stops: this.#roomMaker.stops, questions: this.#questions };
  }

  place(candidate: Candidate): void {
    if (candidate.wanted.job.terms.needsAdvice) this.#placeAdvised(candidate);
    else this.#makeRoomForRest(candidate, this.#start(candidate.wanted));
  }

  /** Starts what fits; answers what doesn't, undefined if all did. */
  #start(wanted: WantedGroup): WantedGroup | undefined {
    const placed = this.#ledger.place(wanted.group);
    if (placed.length > 0) this.#starts.push({ wanted, placed });
    return withoutPlaced(wanted, placed);
  }

  #makeRoomForRest(candidate: Candidate, rest: WantedGroup | undefined): void {
    if (rest === undefined) return;
    const lacking = this.#roomMaker.makeRoom({ ...candidate, wanted: rest });
    if (lacking !== undefined) this.#reservations.keepFor({ ...candidate, wanted: lacking });
  }

  /** Only where the placement advisor approves, and with a ticket that still holds. */
  #placeAdvised(candidate: Candidate): void {
    const { wanted } = candidate;
    const ready = this.#adviceOn(wanted.group).restrictedTo('ready');
    const rest = this.#start({ ...wanted, group: ready });
    if (rest === undefined) return;
    const advice = this.#adviceOn({ ...rest.group, avoided: wanted.group.avoided });
    const approved = advice.restrictedTo('ready', 'approved');
    const trial = placeGroup(
      approved,
      this.#ledger.free.map((room) => room.copy()),
    );
    const question = advice.renewal(new Set(trial.map(({ vm }) => vm))) ?? advice.enquiry();
    if (question === undefined) {
      this.#makeRoomForRest(candidate, { ...rest, group: approved });
      return;
    }
    this.#questions.push(question);
    // It starts there as soon as it has its tickets.
    this.#ledger.place(approved);
  }

  #adviceOn(group: TaskGroup): GroupAdvice {
    const { advice: book, now, rooms } = this.#input;
    return new GroupAdvice({ group, rooms, book, now });
  }
}

/** Decides one pass. */
export function decidePass(input: PassInput): PassResult {
  const pass = new Pass(input);
  candidates(input).forEach((candidate) => pass.place(candidate));
  return pass.result;
}
