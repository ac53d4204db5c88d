/** Slopes: a line through what was measured at several sizes, by least squares. */
import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';

/** One size and what was measured there. */
export type Point = [size: number, value: number];

/** A quantity measured at growing sizes. */
export interface Slope {
  /** What was measured, with its unit. */
  what: string;
  /** What grows. */
  per: string;
  points: Point[];
}

const HEADER = '| measured | against | points | slope | at 0 | R² |';

/** Prints slopes as one Markdown table under a title. */
export function printSlopes(title: string, slopes: Slope[]): void {
  console.log(`\n### ${title}\n\n${HEADER}\n|${'---|'.repeat(6)}`);
  slopes.forEach((slope) => console.log(toRow(slope)));
}

function toRow({ what, per, points }: Slope): string {
  const { m, b } = linearRegression(points);
  const fit = rSquared(points, linearRegressionLine({ m, b }));
  const list = points.map(([size, value]) => `${size}: ${digits(value)}`).join(', ');
  // Equal values have no variance that a line could explain.
  const shownFit = Number.isNaN(fit) ? '-' : fit.toFixed(3);
  return `| ${what} | ${per} | ${list} | ${digits(m)} | ${digits(b)} | ${shownFit} |`;
}

/** Three digits that count. */
export function digits(value: number): string {
  if (value === 0) return '0';
  if (Math.abs(value) >= 100) return value.toFixed(0);
  return Number(value.toPrecision(3)).toString();
}
