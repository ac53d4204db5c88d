/** Public surface of @zincspan/platform. */
export {};
