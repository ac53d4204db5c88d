/** Short exact keys for states: parts that are equal share a number. */

/** Gives equal plain values equal numbers. Parts shared between states are looked at once. */
export class Interner {
  readonly #byText = new Map<string, number>();

  readonly #byObject = new WeakMap<object, number>();

  /** Key of a state: equal for equal states of one run, and never for others. */
  keyOf(state: object): string {
    return Object.values(state)
      .map((part) => this.#numberOf(part))
      .join(',');
  }

  #numberOf(value: unknown): number {
    if (typeof value !== 'object' || value === null) return this.#intern(JSON.stringify(value));
    const known = this.#byObject.get(value);
    if (known !== undefined) return known;
    const parts = Object.values(value)
      .map((part) => this.#numberOf(part))
      .join(',');
    const found = this.#intern(Array.isArray(value) ? `[${parts}]` : `{${parts}}`);
    this.#byObject.set(value, found);
    return found;
  }

  #intern(text: string): number {
    const found = this.#byText.get(text) ?? this.#byText.size;
    this.#byText.set(text, found);
    return found;
  }
}
