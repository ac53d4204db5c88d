/** Names for shapes, so that equal ones are counted and tried once. */
import type { Shape } from '../gang/shape.js';

const known = new WeakMap<Shape, string>();

/** The same text for equal shapes. */
export function shapeKey(shape: Shape): string {
  const found = known.get(shape);
  if (found !== undefined) return found;
  const { tasks, acceleratorsPerTask, coresPerTask, memoryMbPerTask, adjacency } = shape;
  const key = `${tasks}/${acceleratorsPerTask}/${coresPerTask}/${memoryMbPerTask}/${adjacency}`;
  known.set(shape, key);
  return key;
}
