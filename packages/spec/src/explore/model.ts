/** What the explorer needs of a model: a start, the acts possible in a state, and what must hold in each. */

/** A model as pure functions. `step` answers undefined if the act isn't possible in that state. */
export interface Model<State, Act> {
  readonly name: string;
  readonly start: State;
  acts(state: State): Act[];
  step(state: State, act: Act): State | undefined;
  /** The invariant that this state breaks, if any. */
  violation(state: State): string | undefined;
  /** Readable line for an act taken in a state. */
  describe(act: Act): string;
  /** Kind of an act, for coverage by paths. */
  kindOf(act: Act): string;
}

/** A rule of a protocol; a mutant is the model with one of them removed. */
export interface Rule<Id extends string = string> {
  id: Id;
  text: string;
}
