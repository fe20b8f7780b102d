import { request } from 'node:http';
import { required } from '../src/base/required.ts';
import { serveJson, type Answer } from './http.ts';

interface Order {
  verb: 'launch' | 'stop' | 'clear';
  loaf: string;
  try: number;
  windDownS?: number;
}
interface Held {
  loaf: string;
  try: number;
  stage: string;
  cause?: string;
}
/** The machine that a worker runs on, as its reports name it. */
export interface Place {
  hearth: string;
  oven: string;
  yard: string;
  borrowed: boolean;
}

/** Job descriptions as workers fetch them from the users: here, whatever the demo has submitted. */
export type Recipes = Map<string, { loaves: number; shape: string; bakeS: number }>;

const LEASE_MS = 20_000;
const REPORT_MS = 1500;

/** A stand-in of a worker: reports, obeys orders under tokens and sessions, and pretends to run tasks. */
export class WorkerStandIn {
  private static readonly all = new Set<WorkerStandIn>();
  private readonly held = new Map<string, Held>();
  private shift = 1;
  private tick = 0;
  private baton = 0;
  private target = 0;
  private answeredAt = Date.now();
  private stopped = false;
  address = '';

  constructor(
    private readonly place: Place,
    private readonly controllers: { name: string; address: string }[],
    private readonly recipes: Recipes,
  ) {}

  async start(): Promise<void> {
    const { address } = await serveJson((_method, url, body) => this.route(url.pathname, body));
    this.address = address;
    WorkerStandIn.all.add(this);
    void this.loop();
  }

  stop(): void {
    this.stopped = true;
    WorkerStandIn.all.delete(this);
  }

  private report(): object {
    this.tick += 1;
    return {
      ...this.place,
      address: this.address,
      shift: this.shift,
      tick: this.tick,
      baton: this.baton,
      warningS: null,
      loaves: [...this.held.values()],
    };
  }

  private route(path: string, body: Record<string, unknown>): Answer {
    if (this.stopped) return { status: 503, body: {} };
    if (path === '/inspect') return { status: 200, body: this.report() };
    const baton = Number(body.baton);
    this.baton = Math.max(this.baton, baton);
    if (baton < this.baton || Number(body.shift) !== this.shift) return { status: 409, body: this.report() };
    this.execute((body.orders ?? []) as Order[]);
    return { status: 200, body: this.report() };
  }

  private async loop(): Promise<void> {
    while (!this.stopped) {
      const sentAt = Date.now();
      if (sentAt - this.answeredAt > LEASE_MS) {
        this.held.clear();
        this.shift += 1;
        this.answeredAt = sentAt;
      }
      const { shift } = this;
      const answer = await this.post(
        required(this.controllers[this.target], 'controller to report to').address,
        JSON.stringify(this.report()),
      );
      if (answer?.status === 200 && shift === this.shift && Number(answer.body.baton) >= this.baton) {
        this.baton = Number(answer.body.baton);
        this.answeredAt = sentAt;
        this.execute((answer.body.orders ?? []) as Order[]);
      } else if (answer?.status !== 200) {
        const named = this.controllers.findIndex((c) => c.name === answer?.body.foreman);
        this.target = named >= 0 ? named : (this.target + 1) % this.controllers.length;
      }
      await new Promise((resolve) => setTimeout(resolve, answer?.status === 421 ? 300 : REPORT_MS));
    }
  }

  private post(
    address: string,
    body: string,
  ): Promise<{ status: number; body: Record<string, unknown> } | null> {
    return new Promise((resolve) => {
      const req = request(`http://${address}/checkin`, { method: 'POST', timeout: 4000 }, (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (c: Buffer) => chunks.push(c));
        res.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({ status: res.statusCode ?? 0, body: JSON.parse(text || '{}') as Record<string, unknown> });
        });
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => {
        resolve(null);
      });
      req.end(body);
    });
  }

  private execute(orders: readonly Order[]): void {
    for (const o of orders) {
      const key = `${o.loaf}#${o.try}`;
      const known = this.held.get(key);
      if (o.verb === 'launch' && !known) this.launch(key, o);
      else if (o.verb === 'stop' && known && known.stage !== 'ended') this.end(known, 'stopped');
      else if (o.verb === 'clear' && known?.stage === 'ended') this.held.delete(key);
    }
  }

  private launch(key: string, o: Order): void {
    const task: Held = { loaf: o.loaf, try: o.try, stage: 'fetching' };
    this.held.set(key, task);
    const [job = ''] = o.loaf.split('/');
    const recipe = this.recipes.get(job);
    if (!recipe) {
      this.end(task, 'no_such');
      return;
    }
    setTimeout(() => {
      if (task.stage !== 'fetching') return;
      task.stage = 'waiting';
      const peers = recipe.shape === 'ensemble' ? this.peers(task) : [task];
      if (recipe.shape === 'ensemble' && peers.length < recipe.loaves) return;
      for (const p of peers) {
        p.stage = 'running';
        setTimeout(() => {
          if (p.stage === 'running') this.end(p, 'done');
        }, recipe.bakeS * 1000);
      }
    }, 500);
  }

  private peers(of: Held): Held[] {
    const [job = ''] = of.loaf.split('/');
    const found: Held[] = [];
    for (const w of WorkerStandIn.all) {
      for (const h of w.held.values()) {
        if (h.stage === 'waiting' && h.try === of.try && h.loaf.startsWith(`${job}/`)) found.push(h);
      }
    }
    return found;
  }

  private end(task: Held, cause: string): void {
    task.stage = 'ended';
    task.cause = cause;
  }
}
