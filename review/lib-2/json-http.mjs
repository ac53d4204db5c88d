/** JSON over HTTP/1.1 on loopback: a small server and a client of one call per connection. */
import { createServer, request } from 'node:http';

/** Default time limit of a call, in ms. */
const CALL_TIMEOUT_MS = 3000;

/**
 * Starts a server. `handle(call)` returns `{ status, body }`, `lost` if the connection must not deliver anything further, or
 * `reset` if it is to be cut. `call`: method, path, query, headers, body.
 */
export async function startJsonServer(address, handle) {
  const { host, port } = splitAddress(address);
  const server = createServer((req, res) => {
    serve(req, res, handle).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    address,
    close: () =>
      new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      }),
  };
}

/**
 * Makes one call, on a connection of its own unless an agent keeps some open. Resolves with `{ status, body, headers }`; `status` is 0
 * if no answer came.
 */
export function callJson(
  address,
  { method = 'GET', path, headers = {}, body, timeoutMs = CALL_TIMEOUT_MS, agent = false },
) {
  const { host, port } = splitAddress(address);
  const bytes = encodeBody(body);
  return new Promise((resolve) => {
    const fail = (err) => resolve({ status: 0, body: undefined, headers: {}, fault: err.message });
    const req = request(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          ...(bytes === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': bytes.length }),
          ...headers,
        },
      },
      (res) => {
        readAll(res).then(
          (text) => resolve({ status: res.statusCode, body: parse(text), headers: res.headers }),
          fail,
        );
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error(`no answer within ${timeoutMs} ms`)));
    req.on('error', fail);
    req.end(bytes);
  });
}

async function serve(req, res, handle) {
  const url = new URL(req.url, 'http://server');
  const text = await readAll(req);
  const answer = await handle({
    method: req.method,
    path: url.pathname,
    query: url.searchParams,
    headers: req.headers,
    body: parse(text),
  });
  if (answer === 'lost') return;
  if (answer === 'reset') {
    req.socket.resetAndDestroy();
    return;
  }
  res.writeHead(answer.status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(answer.body ?? {}));
}

async function readAll(stream) {
  const parts = [];
  for await (const part of stream) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
}

function encodeBody(body) {
  if (body === undefined) return undefined;
  return Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
}

function parse(text) {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function splitAddress(address) {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
