/** Public surface of @zincspan/e2e. */
export {};
