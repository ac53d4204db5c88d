/** Public surface of @zincspan/link. */
export {};
