/** Checks what a bundle's schema can't: that its parts agree, and that its guarantees can be kept. */
import { checkGuarantees, type PlacedWorker } from '../guarantee/pack.js';
import type { Guarantee } from '../guarantee/guarantee.js';
import type { Kind } from '../kind/kind.js';
import type { Finding } from '../settings/finding.js';
import type { Bundle } from './bundle.js';

/** Findings in a bundle, none if it is sound. With `workers` also whether its guarantees can all be packed. */
export function checkBundle(bundle: Bundle, workers?: readonly PlacedWorker[]): Finding[] {
  return [
    ...checkNames(bundle),
    ...checkTokens(bundle),
    ...bundle.kinds.flatMap(checkKind),
    ...bundle.guarantees.flatMap((guarantee, i) => checkGuarantee(bundle, guarantee, i)),
    ...(workers ? checkPacking(bundle, workers) : []),
  ];
}

/** Whether all guarantees can be held at once on these workers, drained ones left out, with any one lost. */
export function checkPacking(bundle: Bundle, workers: readonly PlacedWorker[]): Finding[] {
  if (bundle.guarantees.length === 0) return [];
  const drained = new Set(bundle.drained);
  const inService = workers.filter(({ id }) => !drained.has(id));
  const check = checkGuarantees(bundle, inService);
  if (check.fits) return [];
  const numbers = Object.entries(check.numbers).map(([name, value]) => `${name} ${value}`);
  return [
    {
      path: 'guarantees',
      expected: `guarantees that all fit at once with any one worker lost; ${check.reason} (${numbers.join(', ')})`,
      remedy:
        'Lower a count or a shape, widen an adjacency, or add workers and see them announced.',
    },
  ];
}

function checkNames(bundle: Bundle): Finding[] {
  return [
    ...findRepeats(bundle.accounts, 'accounts'),
    ...findRepeats(bundle.kinds, 'kinds'),
    ...findRepeats(bundle.guarantees, 'guarantees'),
    ...findRepeats(
      bundle.drained.map((name) => ({ name })),
      'drained',
    ),
  ];
}

function findRepeats(items: readonly { name: string }[], list: string): Finding[] {
  const first = new Map<string, number>();
  return items.flatMap(({ name }, i) => {
    const before = first.get(name);
    if (before === undefined) first.set(name, i);
    if (before === undefined) return [];
    return [
      {
        path: `${list}[${i}].name`,
        expected: `a name used once; "${name}" is taken by ${list}[${before}]`,
        remedy: 'Rename one of the two or remove it.',
      },
    ];
  });
}

/** A token proves one account: shared by two it would prove neither. */
function checkTokens({ accounts }: Bundle): Finding[] {
  const owners = new Map<string, string>();
  return accounts.flatMap((account, i) =>
    account.tokens.flatMap(({ sha256 }, j) => {
      const owner = owners.get(sha256);
      owners.set(sha256, owner ?? account.name);
      if (owner === undefined) return [];
      return [
        {
          path: `accounts[${i}].tokens[${j}].sha256`,
          expected: `a token used once; "${owner}" has it already`,
          remedy: 'Make a new one with "zincspan token new".',
        },
      ];
    }),
  );
}

function checkKind(kind: Kind, i: number): Finding[] {
  const path = `kinds[${i}]`;
  const findings: Finding[] = [];
  if (kind.urgency === 'urgent' && !kind.contract) {
    findings.push({
      path: `${path}.contract`,
      expected: `a contract, as "${kind.name}" is urgent`,
      remedy: 'Add { "quantile": 0.99, "withinMs": … }, or let it be "waiting".',
    });
  }
  if (kind.path === 'request' && kind.checkpointable) {
    findings.push(jobsOnly(`${path}.checkpointable`, kind.name));
  }
  if (kind.path === 'request' && kind.spread) findings.push(jobsOnly(`${path}.spread`, kind.name));
  if (kind.path === 'job' && kind.checkpointable && !kind.idempotent) {
    findings.push({
      path: `${path}.checkpointable`,
      expected: `false, as "${kind.name}" isn't idempotent and is never started a second time`,
      remedy: 'Set it to false, or declare the kind idempotent if a second attempt does no harm.',
    });
  }
  return findings;
}

function jobsOnly(path: string, name: string): Finding {
  return {
    path,
    expected: `false, as "${name}" is a request; this is for jobs only`,
    remedy: 'Remove the field, or set "path" to "job".',
  };
}

function checkGuarantee(bundle: Bundle, guarantee: Guarantee, i: number): Finding[] {
  const path = `guarantees[${i}]`;
  const findings: Finding[] = [];
  if (!bundle.accounts.some(({ name }) => name === guarantee.account)) {
    findings.push({
      path: `${path}.account`,
      expected: `the name of an account of this bundle, not "${guarantee.account}"`,
      remedy: 'Correct it, or add the account.',
    });
  }
  if (guarantee.shape.acceleratorsPerTask === 0) {
    findings.push({
      path: `${path}.shape.acceleratorsPerTask`,
      expected: '1 or more: guarantees are of accelerators',
      remedy: 'Raise it, or remove the guarantee.',
    });
  }
  return findings;
}
