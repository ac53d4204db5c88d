import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock } from '@zincspan/core';
import { CircuitBreaker } from './circuit-breaker.js';

interface BreakerWorld {
  clock: ManualClock;
  breaker: CircuitBreaker;
  stateChanges: string[];
}

Given(
  'a circuit breaker that opens after {int} failures for {int} ms',
  function (this: BreakerWorld, failureThreshold: number, openMs: number) {
    this.clock = new ManualClock();
    this.stateChanges = [];
    const onChange = (state: string) => this.stateChanges.push(state);
    this.breaker = new CircuitBreaker({
      clock: this.clock,
      failureThreshold,
      openMs,
      onChange,
    });
  },
);

When('the circuit breaker records {string}', function (this: BreakerWorld, outcomes: string) {
  outcomes.split(',').forEach((outcome) => {
    if (outcome === 'fail') this.breaker.recordFailure();
    else this.breaker.recordSuccess();
  });
});

When('{int} ms pass for the circuit breaker', function (this: BreakerWorld, ms: number) {
  this.clock.advance(ms);
});

Then('the circuit breaker rejects a call', function (this: BreakerWorld) {
  assert.ok(this.breaker.admit() > 0);
});

Then('the circuit breaker admits a call', function (this: BreakerWorld) {
  assert.equal(this.breaker.admit(), 0);
});

Then('the circuit breaker has reported {string}', function (this: BreakerWorld, states: string) {
  assert.equal(this.stateChanges.join(','), states);
});
