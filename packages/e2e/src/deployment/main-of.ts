/** Finds the programs to start. */
import { fileURLToPath } from 'node:url';

/** A file in the build output of one of our packages. */
export function mainOf(name: string, file: string): string {
  return fileURLToPath(new URL(file, import.meta.resolve(name)));
}
