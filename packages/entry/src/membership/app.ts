/** Membership as a part of an entry: announcements of guards, and expiry of silent upstreams. */
import type { EntryApp, EntryDeps } from '../app.js';
import { UnguardedUpstreams } from './unguarded-upstreams.js';
import { registerUpstreamRoutes } from './upstream-routes.js';

const EXPIRE_EVERY_MS = 500;

/** Makes the membership part. */
export function membershipApp({ ctx, upstreams, bundles }: EntryDeps): EntryApp {
  const unguarded = new UnguardedUpstreams({ clock: ctx.clock });
  let timer: NodeJS.Timeout | undefined;
  return {
    name: 'membership',
    handlers: {
      'upstream.announce': (announcement, peer) => {
        upstreams.announce(announcement, peer);
        return { bundleVersion: bundles.current?.head.version ?? 0 };
      },
    },
    routes: (server) => registerUpstreamRoutes(server, { ctx, unguarded }),
    start: () => {
      timer = setInterval(() => {
        upstreams.expire();
        unguarded.expire();
      }, EXPIRE_EVERY_MS);
    },
    stop: () => clearInterval(timer),
    status: () => {
      const members = upstreams.all();
      return {
        runners: members.filter(({ upstream }) => upstream.type === 'runner').length,
        workers: members.filter(({ upstream }) => upstream.type === 'worker').length,
        unguarded: unguarded.ids(),
        draining: members.filter(({ state }) => state === 'draining').length,
      };
    },
  };
}
