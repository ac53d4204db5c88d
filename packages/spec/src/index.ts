/** Public surface of @zincspan/spec. */
export {};
