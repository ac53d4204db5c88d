/** Public surface of @zincspan/daemon. */
export {};
