/** Handlers for an owner's orders. */
import type { Handlers, Order, Peer } from '@zincspan/core';
import type { GangKeeper } from './gang-keeper.js';
import type { OwnerContact } from './owner-contact.js';
import type { OwnerReports } from './owner-reports.js';

/** Registers `gang.*` and `guard.inventory`. An order that the book admits makes its sender the owner. */
export function gangApp({
  keeper,
  reports,
  contact,
}: {
  keeper: GangKeeper;
  reports: OwnerReports;
  contact: OwnerContact;
}): Handlers {
  const admit = (peer: Peer, order: Order): void => {
    keeper.admit(order);
    contact.noteOwner(peer, order);
    reports.noteOwner(peer, order);
  };
  return {
    'gang.reserve': (req, peer) => {
      admit(peer, req.order);
      return keeper.reserve(req);
    },
    'gang.start': ({ ref, order }, peer) => {
      admit(peer, order);
      return keeper.start(ref, order);
    },
    'gang.stop': (req, peer) => {
      admit(peer, req.order);
      return keeper.stopMember(req);
    },
    'gang.throttle': async ({ ref, order, cores }, peer) => {
      admit(peer, order);
      await keeper.throttle(ref, order, cores);
      return {};
    },
    'gang.forget': ({ ref, order }, peer) => {
      admit(peer, order);
      keeper.forget(ref, order);
      reports.forget(ref);
      return {};
    },
    'guard.inventory': ({ order }, peer) => {
      admit(peer, order);
      return keeper.inventory(order);
    },
  };
}
