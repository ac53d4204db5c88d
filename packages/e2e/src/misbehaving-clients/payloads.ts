/** Byte streams of clients that don't read answers, don't end their requests or leave out the usual headers. */

const MIB = 1_048_576;

/** Just short of the longest body that an entry reads. */
const BODY_BYTES = MIB - 1;

const LARGE_CHUNK_BYTES = 65_536;

const AHEAD = 100_000;

const SMALL_JOB = JSON.stringify({ spec: 'x', steps: [{ count: 1, cpu: 1, estimate_ms: 1 }] });

/** Fields of two bytes each, up to the longest header that is read. */
const TINY_FIELDS = 'a:\r\n'.repeat(3900);

/** A WebSocket frame: a fragment of a binary message with one masked byte. */
const FIRST_FRAGMENT = Buffer.from([0x02, 0x81, 0, 0, 0, 0, 0x78]);
const NEXT_FRAGMENT = Buffer.from([0x00, 0x81, 0, 0, 0, 0, 0x78]);
const FRAGMENTS = 500_000;

/** Invalid elements of an array, up to the longest body. */
const ZEROS = '0,'.repeat(524_000);
const INVALID_JOB = `{"spec":"x","steps":[${ZEROS}0]}`;
const INVALID_HEARTBEAT = `{"service":"render","address":"127.0.0.1:1","zone":"hall-1","state":"ready","sequence":1,"labels":[${ZEROS}0]}`;

function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** A chunked request that stops right before its last chunk. */
function unfinishedChunks(head: string, chunkBytes: number): Buffer {
  const count = Math.floor(BODY_BYTES / chunkBytes);
  return Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk(chunkBytes).repeat(count)}`);
}

/** The first of two bytes of a body. */
function unfinishedBody(method: string, path: string, host: string): Buffer {
  return Buffer.from(`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Length: 2\r\n\r\nx`);
}

function ahead(request: string): Buffer {
  return Buffer.from(request.repeat(AHEAD));
}

/** Makes each payload, for a path of the address. */
export const PAYLOADS: Record<string, (path: string, host: string) => Buffer | undefined> = {
  'POST bodies in 1-byte chunks': (path, host) =>
    unfinishedChunks(`POST ${path} HTTP/1.1\r\nHost: ${host}\r\n`, 1),
  'POST bodies in 64 KiB chunks': (path, host) =>
    unfinishedChunks(`POST ${path} HTTP/1.1\r\nHost: ${host}\r\n`, LARGE_CHUNK_BYTES),
  'POST bodies with a length': (path, host) =>
    Buffer.from(
      `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES - 1)}`,
    ),
  'POST bodies of one byte': (path, host) => unfinishedBody('POST', path, host),
  'PUT bodies of one byte': (path, host) => unfinishedBody('PUT', path, host),
  'PUT bodies in 1-byte chunks': (path, host) =>
    unfinishedChunks(`PUT ${path} HTTP/1.1\r\nHost: ${host}\r\n`, 1),
  'PUT bodies in 64 KiB chunks': (path, host) =>
    unfinishedChunks(`PUT ${path} HTTP/1.1\r\nHost: ${host}\r\n`, LARGE_CHUNK_BYTES),
  'DELETE bodies in 1-byte chunks': (path, host) =>
    unfinishedChunks(`DELETE ${path} HTTP/1.1\r\nHost: ${host}\r\n`, 1),
  'GET bodies in 1-byte chunks': (path, host) =>
    unfinishedChunks(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n`, 1),
  'GET requests ahead': (path, host) => ahead(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`),
  'GET requests ahead without Host': (path) => ahead(`GET ${path} HTTP/1.1\r\n\r\n`),
  'HTTP/1.0 GET requests ahead': (path) =>
    ahead(`GET ${path} HTTP/1.0\r\nConnection: keep-alive\r\n\r\n`),
  'POST requests ahead': (path, host) =>
    ahead(
      `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Length: ${SMALL_JOB.length}\r\n\r\n${SMALL_JOB}`,
    ),
  'a job of invalid steps': (path, host) =>
    Buffer.from(
      `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nAuthorization: Token ordinary-key\r\n` +
        `Content-Length: ${INVALID_JOB.length}\r\n\r\n${INVALID_JOB}`,
    ),
  'a heartbeat of invalid labels': (path, host) =>
    Buffer.from(
      `PUT ${path} HTTP/1.1\r\nHost: ${host}\r\n` +
        `Content-Length: ${INVALID_HEARTBEAT.length}\r\n\r\n${INVALID_HEARTBEAT}`,
    ),
  'unfinished headers of tiny fields': (path, host) =>
    Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n${TINY_FIELDS}`),
  'fragments of a WebSocket message': (path, host) =>
    Buffer.concat([
      Buffer.from(
        `GET ${path} HTTP/1.1\r\nHost: ${host}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n` +
          `Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: ${Buffer.alloc(16).toString('base64')}\r\n\r\n`,
      ),
      FIRST_FRAGMENT,
      ...Array.from({ length: FRAGMENTS }, () => NEXT_FRAGMENT),
    ]),
  nothing: () => undefined,
};
