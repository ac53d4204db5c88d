/** Shapes of adjacent accelerators, and where a gang of tasks was put. */
import * as z from 'zod';
import { nameSchema } from '../vm/vm.js';

/** How close the accelerators must be: each level includes the ones before it. */
export const adjacencySchema = z.enum(['worker', 'rack', 'neighbouring-racks', 'failure-domain']);
export type Adjacency = z.infer<typeof adjacencySchema>;

/** A gang: `tasks` tasks of equal size that run whole or not at all. */
export const shapeSchema = z.strictObject({
  tasks: z.int().min(1).max(128),
  acceleratorsPerTask: z.int().min(0).max(64),
  coresPerTask: z.int().min(0).max(1024).default(1),
  memoryMbPerTask: z.int().min(0).default(256),
  adjacency: adjacencySchema.default('rack'),
});
export type Shape = z.infer<typeof shapeSchema>;

/** One task of a gang on one worker. `accelerators` are the worker's own numbers. */
export const memberSchema = z.strictObject({
  member: z.int().min(0),
  worker: nameSchema,
  accelerators: z.array(z.int().min(0)),
  cores: z.int().min(0),
  memoryMb: z.int().min(0),
});
export type Member = z.infer<typeof memberSchema>;
