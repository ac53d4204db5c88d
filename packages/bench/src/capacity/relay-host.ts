/** Accepts links as a relay of guards would, under a guard's Node flags. */
import { quietContext } from '@zincspan/core';
import { LinkServer, totalLinkTraffic, type Traffic } from '@zincspan/link';
import { answerOrders, hostArgument } from './child-host.js';

/** Key and heartbeats of the links. */
export interface RelaySettings {
  key: string;
  heartbeat: { everyMs: number; silenceMs: number };
}

export interface RelayFigures {
  address: string;
  links: number;
  traffic: Traffic;
}

const { key, heartbeat } = hostArgument<RelaySettings>();
const ctx = quietContext({ id: 'relay', role: 'entry' });
const server = new LinkServer({
  ctx,
  heartbeat,
  keys: [key],
  handlers: {},
  listen: '127.0.0.1:0',
});
const address = await server.start();

answerOrders<object, RelayFigures>(() =>
  Promise.resolve({ address, links: server.links().length, traffic: totalLinkTraffic(ctx) }),
);
