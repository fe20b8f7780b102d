import type { CompareAndSwapResult, StoreResult } from '../../../src/store/key-value-store.ts';
import type { Condition, Item, Mutation } from '../../../src/wire/state.ts';
import type { Sim } from '../../model/sim.ts';
import type { StateModel } from '../../model/state.ts';
import type { FaultRates } from './fault-rates.ts';
import type { SimulatedController } from './simulated-controller.ts';

const READ_TIMEOUT_MS = 1500;
const WRITE_TIMEOUT_MS = 2000;

/** The store as controllers see it: calls are refused, answered late or never, or applied late. */
export class UnreliableStateService {
  constructor(
    private readonly sim: Sim,
    private readonly state: StateModel,
    private readonly faults: () => FaultRates,
  ) {}

  async get(caller: SimulatedController, key: string): Promise<StoreResult<Item | null>> {
    const found = await this.call(caller, READ_TIMEOUT_MS, () => {
      const item = this.state.data.get(key);
      return item ? { key, value: structuredClone(item.value), version: item.version, lease: null } : null;
    });
    if (found === 'refused' || found === 'unknown') return { kind: found };
    return { kind: 'ok', value: found };
  }

  async compareAndSwap(
    caller: SimulatedController,
    conditions: readonly Condition[],
    mutations: readonly Mutation[],
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<CompareAndSwapResult> {
    const appliedLate = this.sim.chance(this.faults().appliedLate);
    const answerLost = appliedLate || this.sim.chance(this.faults().answerLost);
    const execute = (): CompareAndSwapResult => this.state.apply(conditions, mutations);
    const result = await this.call(caller, timeoutMs, () => {
      if (!appliedLate) return execute();
      this.sim.after(this.sim.between(2000, 12_000), execute);
      return null;
    });
    if (result === 'refused' || result === 'unknown') return { kind: result };
    if (result !== null && !answerLost) return result;
    // No answer comes: the wait ends with the timeout.
    await new Promise<void>((resolve) => {
      caller.runAfter(timeoutMs, resolve);
    });
    return { kind: 'unknown' };
  }

  /** Simulates a call: it arrives, is refused or executed, and its answer comes back, possibly after the timeout. */
  private call<T>(
    caller: SimulatedController,
    timeoutMs: number,
    execute: () => T,
  ): Promise<T | 'refused' | 'unknown'> {
    return new Promise((resolve) => {
      caller.runAfter(timeoutMs, () => {
        resolve('unknown');
      });
      this.sim.after(this.sim.between(1, 8), () => {
        const { refused, answerSlow } = this.faults();
        const result = this.sim.chance(refused) ? 'refused' : execute();
        const backMs = this.sim.chance(answerSlow) ? this.sim.between(100, 2500) : this.sim.between(1, 8);
        caller.runAfter(backMs, () => {
          resolve(result);
        });
      });
    });
  }
}
