/** Public surface of @zincspan/bench. */
export {};
