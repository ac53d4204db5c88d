/** Public surface of @zincspan/cli. */
export {};
