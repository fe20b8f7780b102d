import type { CompareAndSwapResult, StoreResult } from '../../../src/store/key-value-store.ts';
import type { Condition, Item, Mutation } from '../../../src/wire/state.ts';
import type { Sim } from '../../model/sim.ts';
import type { StateModel } from '../../model/state.ts';
import type { FaultRates } from './fault-rates.ts';
import type { SimulatedController } from './simulated-controller.ts';

const READ_TIMEOUT_MS = 1500;
const WRITE_TIMEOUT_MS = 2000;

/** The state service as controllers reach it: calls are refused, answered late or never, or carried out late. */
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
    const late = this.sim.chance(this.faults().late);
    const answerLost = late || this.sim.chance(this.faults().answerLost);
    const carryOut = (): CompareAndSwapResult => this.state.apply(conditions, mutations);
    const result = await this.call(caller, timeoutMs, () => {
      if (!late) return carryOut();
      this.sim.after(this.sim.between(2000, 12_000), carryOut);
      return null;
    });
    if (result === 'refused' || result === 'unknown') return { kind: result };
    if (result !== null && !answerLost) return result;
    // No answer comes: the time-out is what ends the wait.
    await new Promise<void>((resolve) => {
      caller.runAfter(timeoutMs, resolve);
    });
    return { kind: 'unknown' };
  }

  /** A call: it arrives, is carried out, and its answer comes back, late, or never. */
  private call<T>(
    caller: SimulatedController,
    timeoutMs: number,
    carryOut: () => T,
  ): Promise<T | 'refused' | 'unknown'> {
    return new Promise((resolve) => {
      caller.runAfter(timeoutMs, () => {
        resolve('unknown');
      });
      this.sim.after(this.sim.between(1, 8), () => {
        const { refused, slow } = this.faults();
        const result = this.sim.chance(refused) ? 'refused' : carryOut();
        const backMs = this.sim.chance(slow) ? this.sim.between(100, 2500) : this.sim.between(1, 8);
        caller.runAfter(backMs, () => {
          resolve(result);
        });
      });
    });
  }
}
