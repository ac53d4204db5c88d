import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { HybridClock, compareStamps, type HybridStamp } from './hybrid-clock.js';

class HybridClockWorld {
  wall = 0;

  clock!: HybridClock;

  before!: HybridStamp;
}

Given('a hybrid clock at wall time {int}', function (this: HybridClockWorld, wall: number) {
  this.wall = wall;
  this.clock = new HybridClock({ clock: { now: () => 0, wall: () => this.wall } });
  this.before = this.clock.tick();
});

When('its wall clock goes back to {int}', function (this: HybridClockWorld, wall: number) {
  this.wall = wall;
});

When('it merges a stamp of wall time {int}', function (this: HybridClockWorld, wall: number) {
  this.clock.merge([wall, 0]);
});

Then('its next stamp is later than the one before', function (this: HybridClockWorld) {
  assert.ok(compareStamps(this.clock.tick(), this.before) > 0);
});

Then('its next stamp stays near {int}', function (this: HybridClockWorld, wall: number) {
  assert.ok(this.clock.tick()[0] < wall + 100);
});
