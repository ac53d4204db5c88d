/** Exhaustive breadth-first exploration of a model, with the walk by treeverse. */
import { breadth } from 'treeverse';
import { Interner } from './interner.js';
import type { Model } from './model.js';

interface Node<State extends object, Act> {
  /** Dropped once the node is expanded: the path rebuilds it. */
  state: State | undefined;
  parent: Node<State, Act> | undefined;
  act: Act | undefined;
  depth: number;
}

/** A sequence of acts from the start; `broken` names the invariant that its last state breaks. */
export interface Path<Act> {
  acts: Act[];
  broken?: string;
}

/** What an exploration found. */
export interface Exploration<Act> {
  states: number;
  transitions: number;
  depth: number;
  deepest: Path<Act>;
  /** Shortest path to a broken invariant; the walk ends there. */
  violation: Path<Act> | undefined;
  /** Shortest path that ends with each kind of act. */
  byKind: Map<string, Path<Act>>;
  ms: number;
}

/** Thrown when the bound on states is passed: an unfinished walk proves nothing. */
export class TooManyStatesError extends Error {
  constructor(name: string, limit: number) {
    super(`${name} has more than ${limit} states. Lower its bounds or raise the limit.`);
    this.name = 'TooManyStatesError';
  }
}

class Walk<State extends object, Act> {
  readonly #model: Model<State, Act>;

  readonly #limit: number;

  readonly #interner = new Interner();

  readonly #seen = new Set<string>();

  readonly #byKind = new Map<string, Node<State, Act>>();

  #transitions = 0;

  #deepest: Node<State, Act>;

  #broken: { node: Node<State, Act>; text: string } | undefined;

  constructor(model: Model<State, Act>, limit: number) {
    this.#model = model;
    this.#limit = limit;
    this.#deepest = { state: model.start, parent: undefined, act: undefined, depth: 0 };
  }

  run(): Exploration<Act> {
    const begunAt = performance.now();
    const tree = this.#deepest;
    this.#seen.add(this.#interner.keyOf(this.#model.start));
    breadth({ tree, getChildren: (node: Node<State, Act>) => this.#expand(node) });
    const violation = this.#broken && {
      ...pathTo(this.#broken.node),
      broken: this.#broken.text,
    };
    return {
      states: this.#seen.size,
      transitions: this.#transitions,
      depth: this.#deepest.depth,
      deepest: pathTo(this.#deepest),
      violation,
      byKind: new Map([...this.#byKind].map(([kind, node]) => [kind, pathTo(node)])),
      ms: performance.now() - begunAt,
    };
  }

  #expand(node: Node<State, Act>): Node<State, Act>[] {
    if (this.#broken || node.state === undefined) return [];
    const { state } = node;
    // eslint-disable-next-line no-param-reassign -- frees the memory of expanded states
    node.state = undefined;
    return this.#model.acts(state).flatMap((act) => this.#follow(node, state, act));
  }

  #follow(parent: Node<State, Act>, from: State, act: Act): Node<State, Act>[] {
    const state = this.#model.step(from, act);
    if (state === undefined || this.#broken) return [];
    this.#transitions += 1;
    if (state === from) return [];
    const key = this.#interner.keyOf(state);
    if (this.#seen.has(key)) return [];
    this.#seen.add(key);
    if (this.#seen.size > this.#limit) throw new TooManyStatesError(this.#model.name, this.#limit);
    const node = { state, parent, act, depth: parent.depth + 1 };
    this.#note(node, state, act);
    return [node];
  }

  #note(node: Node<State, Act>, state: State, act: Act): void {
    if (node.depth > this.#deepest.depth) this.#deepest = node;
    const kind = this.#model.kindOf(act);
    if (!this.#byKind.has(kind)) this.#byKind.set(kind, node);
    const text = this.#model.violation(state);
    if (text !== undefined) this.#broken = { node, text };
  }
}

function pathTo<State extends object, Act>(last: Node<State, Act>): Path<Act> {
  const acts: Act[] = [];
  for (let node: Node<State, Act> | undefined = last; node; node = node.parent) {
    if (node.act !== undefined) acts.unshift(node.act);
  }
  return { acts };
}

/** Visits every reachable state, or all up to the first that breaks an invariant. */
export function explore<State extends object, Act>(
  model: Model<State, Act>,
  { limit = 5_000_000 }: { limit?: number } = {},
): Exploration<Act> {
  return new Walk(model, limit).run();
}
