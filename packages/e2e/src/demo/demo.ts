/** The main job on stand-ins, start to end: see README. Exits 0 by itself. */
import { join } from 'node:path';
import { Caller } from '../deployment/caller.js';
import { Deployment } from '../deployment/deployment.js';
import { Balancer } from '../load/balancer.js';
import { RequestStream } from '../load/request-stream.js';
import { examplePath, exampleToken, readExample } from './examples.js';
import { printSummary, say } from './report.js';
import { submitJob, untilClaim, untilJob } from './job-calls.js';

const FAILURE_DOMAINS = ['bayangol-hall', 'sukhbaatar-room', 'khan-uul-depot', 'chingeltei-annex'];
const MATCHES_PER_SECOND = 60;

/** Everything the steps of the demo share. */
interface Demo {
  deployment: Deployment;
  balancer: Balancer;
  crews: Caller;
  weddings: Caller;
}

async function main(): Promise<void> {
  const deployment = await Deployment.create({
    failureDomains: FAILURE_DOMAINS,
    entries: 2,
    runners: 2,
    workers: 3,
  });
  const balancer = new Balancer({ urls: deployment.entryUrls });
  const crews = new Caller({ token: exampleToken('film-crews') });
  const weddings = new Caller({ token: exampleToken('wedding-studios') });
  try {
    await play({ deployment, balancer, crews, weddings });
  } finally {
    balancer.stop();
    await deployment.stop();
  }
}

async function play(demo: Demo): Promise<void> {
  const { deployment, balancer, crews, weddings } = demo;
  say(
    'Starting a platform, 2 entries, 8 runners and 12 workers with a guard each, as separate processes.',
  );
  await deployment.start();
  await rollOutExample(deployment);
  await balancer.start();

  say('An overnight gang of film-crews takes two whole workers; weddings match lenses meanwhile.');
  const gang = await submitJob(crews, balancer.pick(), readExample('tuul/jobs/reel-render.json'));
  const stream = new RequestStream({
    caller: weddings,
    balancer,
    kind: 'lens-match',
    body: readExample('tuul/requests/lens-match.json'),
    rate: MATCHES_PER_SECOND,
    tries: 3,
  });
  stream.start();
  const proofs = await submitProofs(demo);
  await claimAndGiveBack(demo);

  say('Killing entry-1 (kill -9): entry-2 takes over its failure domains.');
  await deployment.process('entry-1').kill();
  const ended = await untilJob(crews, balancer, gang.id);
  await Promise.all(proofs.map(({ id }) => untilJob(crews, balancer, id)));
  const figures = await stream.stop();

  await showTimeline(deployment, gang.id);
  printSummary({ gang: ended, proofs: proofs.length, figures });
  if (ended.state !== 'succeeded' || figures.cut > 0) {
    throw new Error('The demo did not end as it should.');
  }
}

async function rollOutExample(deployment: Deployment): Promise<void> {
  say('Two operators propose, sign and roll out examples/tuul/bundle.jsonc.');
  const [ganbold, lakshmi] = deployment.operators;
  const proposal = join(deployment.directory, 'proposal.json');
  await ganbold?.must(
    'bundle',
    'propose',
    examplePath('tuul/bundle.jsonc'),
    '--out',
    proposal,
    '--note',
    'first',
  );
  await ganbold?.must('bundle', 'sign', proposal, '--offline');
  await lakshmi?.must('bundle', 'sign', proposal, '--offline');
  await ganbold?.must('bundle', 'rollout', proposal);
}

function submitProofs({ crews, balancer }: Demo): Promise<{ id: string }[]> {
  const body = readExample('tuul/jobs/frame-render.json');
  return Promise.all(Array.from({ length: 6 }, () => submitJob(crews, balancer.pick(), body)));
}

async function claimAndGiveBack({ weddings, balancer }: Demo): Promise<void> {
  say('wedding-studios claims its guaranteed shape, and gives it back.');
  const url = balancer.pick();
  const { body } = await weddings.call('POST', `${url}/v1/claims`, {
    body: { guarantee: 'wedding-quad' },
  });
  const claim = await untilClaim(weddings, url, (body as { id: string }).id);
  say(`  ${claim.state} after ${claim.heldAfterMs} ms in ${claim.failureDomain}`);
  await weddings.call('DELETE', `${url}/v1/claims/${claim.id}`);
}

async function showTimeline(deployment: Deployment, job: string): Promise<void> {
  say('The gang on the merged time line of all processes:');
  const lines = await deployment.operators[0]?.must('timeline', '--job', job);
  lines?.forEach((line) => say(line));
}

await main();
