/** Receives the figures of a deployment's processes over StatsD and keeps their totals. */
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';

const HOST = '127.0.0.1';

/** `name:value|type`, then `|@rate` or `|#tags`. */
const FIGURE = /^([^:]+):(-?[\d.]+)\|(c|g|ms)(?:\|@[\d.]+)?(?:\|#(.*))?$/;

/** One figure of one process. Gauges keep their latest value; counters and timings (ms) are added up. */
export interface CollectedFigure {
  process: string;
  name: string;
  /** `key:value`, without those that say which process it is. */
  tags: string[];
  value: number;
  samples: number;
  /** Wall-clock ms. */
  lastAt: number;
}

/** A StatsD server on loopback. */
export class MetricsCollector {
  readonly #socket: Socket;

  readonly #figures = new Map<string, CollectedFigure>();

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('message', (datagram) => {
      datagram
        .toString()
        .split('\n')
        .forEach((line) => this.#add(line));
    });
  }

  /** Listens on a free port. */
  static async start(): Promise<MetricsCollector> {
    const socket = createSocket('udp4');
    socket.bind(0, HOST);
    await once(socket, 'listening');
    return new MetricsCollector(socket);
  }

  /** Where processes send their figures. */
  get address(): string {
    return `${HOST}:${this.#socket.address().port}`;
  }

  /** Everything received, by process and name. */
  figures(): CollectedFigure[] {
    const keyOf = ({ process, name }: CollectedFigure): string => `${process} ${name}`;
    return [...this.#figures.values()].sort((a, b) => keyOf(a).localeCompare(keyOf(b)));
  }

  close(): void {
    this.#socket.close();
  }

  #add(line: string): void {
    const [, name = '', value = '', type, tagText = ''] = FIGURE.exec(line) ?? [];
    if (type === undefined) return;
    const all = tagText.split(',').filter(Boolean);
    const tags = all.filter((tag) => !/^(process|role|failureDomain):/.test(tag));
    const process = all.find((tag) => tag.startsWith('process:'))?.slice('process:'.length) ?? '';
    const key = `${process} ${name} ${tags.join()}`;
    const figure = this.#figures.get(key) ?? {
      process,
      name,
      tags,
      value: 0,
      samples: 0,
      lastAt: 0,
    };
    figure.value = type === 'g' ? Number(value) : figure.value + Number(value);
    figure.samples += 1;
    figure.lastAt = Date.now();
    this.#figures.set(key, figure);
  }
}
