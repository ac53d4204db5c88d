/** The guard: arbiter of one upstream, dialled by nobody, linked to every entry. */
export * from './guard.js';
