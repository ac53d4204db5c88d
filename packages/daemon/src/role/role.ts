/** What a daemon does once it has its parts. */

/** One role's life: started once, drained on a planned stop, then stopped. */
export interface Role {
  start(): Promise<void>;
  /** Takes nothing new, finishes what is in progress, hands over what it owns. */
  drain(): Promise<void>;
  stop(): Promise<void>;
}
