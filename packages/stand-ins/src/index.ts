/** Public surface of @zincspan/stand-ins. */
export {};
