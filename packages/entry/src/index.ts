/** Public surface of @zincspan/entry. */
export {};
