/** Public surface of @zincspan/guard. */
export {};
