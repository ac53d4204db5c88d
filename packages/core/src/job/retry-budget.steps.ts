import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RetryBudget } from './retry-budget.js';

interface World {
  budget: RetryBudget;
  share: number;
}

Given('a retry budget with a share of {float}', function (this: World, share: number) {
  this.share = share;
  this.budget = new RetryBudget({ share: () => this.share });
});

Given(
  'a retry budget with a share of {float} for at most {int} accounts',
  function (this: World, share: number, maxAccounts: number) {
    this.share = share;
    this.budget = new RetryBudget({ share: () => this.share, maxAccounts });
  },
);

When(
  '{string} makes {int} first attempts under the retry budget',
  function (this: World, account: string, count: number) {
    for (let i = 0; i < count; i += 1) this.budget.firstAttempt(account);
  },
);

When("the retry budget's share becomes {float}", function (this: World, share: number) {
  this.share = share;
});

When(
  '{int} other accounts and {string} use the retry budget by turns',
  function (this: World, count: number, account: string) {
    for (let i = 0; i < count; i += 1) {
      this.budget.firstAttempt(`other-${i}`);
      this.budget.take(account);
      this.budget.firstAttempt(account);
    }
  },
);

Then('the retry budget keeps {int} accounts', function (this: World, count: number) {
  assert.equal(this.budget.size, count);
});

Then(
  'the retry budget grants {int} of {int} retries to {string}',
  function (this: World, granted: number, asked: number, account: string) {
    const answers = Array.from({ length: asked }, () => this.budget.take(account));
    assert.equal(answers.filter(Boolean).length, granted);
  },
);
