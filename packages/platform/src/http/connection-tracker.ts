/** Tells whether a request without a response may have reached the service. */
import type { ClientRequest } from 'node:http';

/** Records whether the request ever got an established connection. */
export function trackConnection(req: ClientRequest): { connected: boolean } {
  const connection = { connected: false };
  req.once('socket', (socket) => {
    if (!socket.connecting) {
      connection.connected = true;
      return;
    }
    socket.once('connect', () => {
      connection.connected = true;
    });
  });
  return connection;
}
