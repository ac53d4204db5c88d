/** Thread that runs the proxies of a lossy network. */
import { parentPort } from 'node:worker_threads';
import { LossyProxy, type ProxyFaults, type Silence } from '@zincspan/stand-ins';

/** What the thread is told. `proxies`: by the numbers under which they were opened, from 0. */
export type ProxyCommand =
  | { type: 'open'; listen: string; to: string }
  | { type: 'cut'; proxies: number[] }
  | { type: 'silence'; proxies: number[]; directions: Silence }
  | { type: 'faults'; proxies: number[]; faults: Partial<ProxyFaults> }
  | { type: 'close' };

const opened: LossyProxy[] = [];
const started: Promise<void>[] = [];

function of(numbers: number[]): LossyProxy[] {
  return opened.filter((_, n) => numbers.includes(n));
}

async function closeAll(): Promise<void> {
  await Promise.all(started);
  await Promise.all(opened.map((proxy) => proxy.close()));
  parentPort?.close();
}

parentPort?.on('message', (command: ProxyCommand) => {
  switch (command.type) {
    case 'open': {
      const proxy = new LossyProxy(command);
      opened.push(proxy);
      // Dialers try again until it listens.
      started.push(proxy.start());
      break;
    }
    case 'cut':
      of(command.proxies).forEach((proxy) => proxy.cutOpen());
      break;
    case 'silence':
      of(command.proxies).forEach((proxy) => proxy.silenceOpen(command.directions));
      break;
    case 'faults':
      of(command.proxies).forEach(({ faults }) => Object.assign(faults, command.faults));
      break;
    case 'close':
      void closeAll();
      break;
    default:
      command satisfies never;
  }
});
