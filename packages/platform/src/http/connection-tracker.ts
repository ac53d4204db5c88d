/** Whether a request that wasn't answered may have been acted on. */
import type { ClientRequest } from 'node:http';

/** Notes whether the request ever had a connection to travel on. */
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
