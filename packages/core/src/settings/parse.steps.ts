import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as z from 'zod';
import { FindingsError, formatFinding } from './finding.js';
import { parseJsonc } from './parse.js';

const schema = z.strictObject({
  name: z.string(),
  size: z.int().max(9),
  mode: z.enum(['slow', 'fast']).default('slow'),
});

interface ParseWorld {
  text: string;
  value: unknown;
  error: unknown;
}

Given(/^a settings text '([^]*)'$/, function (this: ParseWorld, text: string) {
  this.text = text;
});

When('the settings text is read', function (this: ParseWorld) {
  try {
    this.value = parseJsonc(this.text, schema);
  } catch (err) {
    this.error = err;
  }
});

Then(/^the settings value is '(.*)'$/, function (this: ParseWorld, json: string) {
  assert.deepEqual(this.value, JSON.parse(json));
});

Then(/^the settings finding is '(.*)'$/, function (this: ParseWorld, line: string) {
  assert.ok(this.error instanceof FindingsError);
  assert.deepEqual(this.error.findings.map(formatFinding), [line]);
});
