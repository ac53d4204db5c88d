import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { FleetProfile } from './fleet-profile.js';

interface FleetProfileSteps {
  profile: FleetProfile;
}

const SERVICE = 'render';
const WORKERS = 3;

Given(
  'workers of {int} cores, {int} GB and {int} accelerators',
  function (this: FleetProfileSteps, cores: number, gb: number, accelerators: number) {
    const capacity = { milliCores: cores * 1000, memoryMb: gb * 1024, accelerators };
    const workers = Array.from({ length: WORKERS }, () => ({ service: SERVICE, capacity }));
    this.profile = new FleetProfile(workers);
  },
);

Given('no known workers', function (this: FleetProfileSteps) {
  this.profile = new FleetProfile([]);
});

Then(
  'a task of {int} accelerators, {int} cores and {int} GB counts as {float} accelerators',
  function (
    this: FleetProfileSteps,
    accelerators: number,
    cores: number,
    gb: number,
    expected: number,
  ) {
    const demand = { milliCores: cores * 1000, memoryMb: gb * 1024, accelerators };
    const equivalents = this.profile.acceleratorEquivalents(SERVICE, demand);
    assert.equal(Math.round(equivalents * 100) / 100, expected);
  },
);
