import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock } from '@zincspan/core';
import { CircuitBreaker } from './circuit-breaker.js';

interface BreakerWorld {
  clock: ManualClock;
  breaker: CircuitBreaker;
  said: string[];
}

Given(
  'a circuit breaker that opens after {int} failures for {int} ms',
  function (this: BreakerWorld, failuresToOpen: number, openMs: number) {
    this.clock = new ManualClock();
    this.said = [];
    const onChange = (state: string) => this.said.push(state);
    this.breaker = new CircuitBreaker({ clock: this.clock, failuresToOpen, openMs, onChange });
  },
);

When('the circuit breaker sees {string}', function (this: BreakerWorld, outcomes: string) {
  outcomes.split(',').forEach((outcome) => {
    if (outcome === 'fail') this.breaker.failed();
    else this.breaker.succeeded();
  });
});

When('{int} ms pass for the circuit breaker', function (this: BreakerWorld, ms: number) {
  this.clock.advance(ms);
});

Then('the circuit breaker keeps calls away', function (this: BreakerWorld) {
  assert.ok(this.breaker.enter() > 0);
});

Then('the circuit breaker lets a call through', function (this: BreakerWorld) {
  assert.equal(this.breaker.enter(), 0);
});

Then('the circuit breaker has said {string}', function (this: BreakerWorld, states: string) {
  assert.equal(this.said.join(','), states);
});
