/** A binary heap. */

/** Smallest first, by `compare`. */
export class MinHeap<T> {
  readonly #items: T[] = [];

  readonly #compare: (a: T, b: T) => number;

  constructor(compare: (a: T, b: T) => number) {
    this.#compare = compare;
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): T | undefined {
    return this.#items[0];
  }

  push(item: T): void {
    this.#items.push(item);
    this.#rise(this.#items.length - 1);
  }

  pop(): T | undefined {
    const first = this.#items[0];
    const last = this.#items.pop();
    if (this.#items.length === 0 || last === undefined) return first;
    this.#items[0] = last;
    this.#sink(0);
    return first;
  }

  #rise(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.#less(at, parent)) return;
      this.#swap(at, parent);
      at = parent;
    }
  }

  #sink(from: number): void {
    let at = from;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      let least = at;
      if (left < this.#items.length && this.#less(left, least)) least = left;
      if (right < this.#items.length && this.#less(right, least)) least = right;
      if (least === at) return;
      this.#swap(at, least);
      at = least;
    }
  }

  #less(a: number, b: number): boolean {
    return this.#compare(this.#items[a] as T, this.#items[b] as T) < 0;
  }

  #swap(a: number, b: number): void {
    const item = this.#items[a] as T;
    this.#items[a] = this.#items[b] as T;
    this.#items[b] = item;
  }
}
