/** Links between zincspan processes: typed calls over WebSockets, with heartbeats and automatic redial. */
export * from './address.js';
export * from './listen.js';
export * from './http/bounded-server.js';
export * from './http/http-limits.js';
export * from './dialer.js';
export * from './link.js';
export * from './link-server.js';
export * from './link-options.js';
export { MAX_FRAME_BYTES } from './frame.js';
export * from './traffic.js';
