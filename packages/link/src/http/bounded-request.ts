/** Incoming request whose body is kept in few blocks, however small the chunks are in which it arrives. */
import { IncomingMessage } from 'node:http';

/** Smaller chunks are collected: each chunk of its own takes some hundred bytes beside its content. */
const BLOCK_BYTES = 4096;

export class BoundedRequest extends IncomingMessage {
  /** Called with the number of body bytes that have arrived. */
  onBodyBytes: ((bytes: number) => void) | undefined;

  #receivedBytes = 0;

  #block: Buffer | undefined;

  #blockLength = 0;

  /** Body bytes so far. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Called by Node's parser with each chunk of the body, and with null at its end. */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.#flush();
      return super.push(null);
    }
    this.#receivedBytes += chunk.length;
    this.onBodyBytes?.(chunk.length);
    if (chunk.length >= BLOCK_BYTES) {
      this.#flush();
      return super.push(chunk, encoding);
    }
    return this.#collect(chunk);
  }

  #collect(chunk: Buffer): boolean {
    const isFull = this.#blockLength + chunk.length > BLOCK_BYTES;
    const wantsMore = isFull ? this.#flush() : true;
    this.#block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.#blockLength += chunk.copy(this.#block, this.#blockLength);
    return wantsMore;
  }

  #flush(): boolean {
    const block = this.#block?.subarray(0, this.#blockLength);
    this.#block = undefined;
    this.#blockLength = 0;
    return block === undefined ? true : super.push(block);
  }
}
