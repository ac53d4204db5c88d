import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { models, mutants, type Report } from './check.js';

const timeout = 600_000;

interface Found {
  name: string;
  report: Report;
}

class ModelWorld {
  found: Found[] = [];
}

let sound: Found[] | undefined;
let broken: Found[] | undefined;

/** Explored once for all scenarios. */
function exploreModels(): Found[] {
  sound ??= models().map(({ name, run }) => ({ name, report: run() }));
  return sound;
}

function exploreMutants(): Found[] {
  broken ??= mutants().map(({ name, rule, run }) => ({
    name: `${name}/${rule.id}`,
    report: run(),
  }));
  return broken;
}

When('the model is explored within the test bounds', { timeout }, function (this: ModelWorld) {
  this.found = exploreModels();
});

When('the model is explored with each rule removed', { timeout }, function (this: ModelWorld) {
  this.found = exploreMutants();
});

When(
  "the model's sequences are replayed on the real code",
  { timeout },
  function (this: ModelWorld) {
    this.found = [...exploreModels(), ...exploreMutants()];
  },
);

Then('the model breaks no invariant', function (this: ModelWorld) {
  const violations = this.found.filter(({ report }) => report.broken);
  assert.deepEqual(violations, []);
});

Then('the model breaks an invariant every time', function (this: ModelWorld) {
  const escaped = this.found.filter(({ report }) => !report.broken).map(({ name }) => name);
  assert.deepEqual(escaped, []);
});

Then('the model and the real code never differ', function (this: ModelWorld) {
  const differences = this.found.flatMap(({ name, report }) =>
    report.replayed.differences.map((text) => `${name}: ${text}`),
  );
  assert.deepEqual(differences, []);
});
