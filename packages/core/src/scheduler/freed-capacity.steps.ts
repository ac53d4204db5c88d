import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { FreedCapacity, LONGEST_WAIT_MS } from './freed-capacity.js';

interface FreedWorld {
  freed: FreedCapacity;
}

Given(
  '{int} become free at {int} ms, {int} at {int} ms and {int} at {int} ms',
  function (
    this: FreedWorld,
    a: number,
    atA: number,
    b: number,
    atB: number,
    c: number,
    atC: number,
  ) {
    this.freed = FreedCapacity.fromEnds([
      { at: atA, freed: a },
      { at: atB, freed: b },
      { at: atC, freed: c },
    ]);
  },
);

Given('nothing becomes free', function (this: FreedWorld) {
  this.freed = FreedCapacity.fromEnds([]);
});

Then(
  '{int} are free {int} ms after {int} ms, or {int} ms if they become free evenly',
  function (this: FreedWorld, need: number, steps: number, now: number, even: number) {
    assert.equal(this.freed.untilFreed(need, now), steps);
    assert.equal(this.freed.untilGrown(need, now), even);
  },
);

Then('1 is free after the longest wait, and 0 at once', function (this: FreedWorld) {
  const still = FreedCapacity.fromCumulative([{ at: 0, freed: 0 }]);
  [this.freed, still].forEach((freed) => {
    assert.equal(freed.untilFreed(1, 0), LONGEST_WAIT_MS);
    assert.equal(freed.untilGrown(1, 0), LONGEST_WAIT_MS);
    assert.equal(freed.untilFreed(0, 0), 0);
    assert.equal(freed.untilGrown(0, 0), 0);
  });
});
