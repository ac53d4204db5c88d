/** Whether a request that wasn't answered may have been acted on. */
import type { ClientRequest } from 'node:http';

/** Notes whether the request ever had a connection to travel on. */
export function watchSent(req: ClientRequest): { connected: boolean } {
  const sent = { connected: false };
  req.once('socket', (socket) => {
    if (!socket.connecting) {
      sent.connected = true;
      return;
    }
    socket.once('connect', () => {
      sent.connected = true;
    });
  });
  return sent;
}
