import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import { FlowNetwork } from '../../src/scheduling/solver.ts';
import { SEED } from '../helpers.ts';

/** Least cost of assigning each task to a slot or to none, by trying all assignments. */
function bruteForce(costs: number[][], slots: number[][], unscheduledCost: number): number {
  const used = slots.map(() => 0);
  const visit = (task: number): number => {
    if (task === costs.length) return 0;
    let best = unscheduledCost + visit(task + 1);
    slots.forEach((slotCosts, machineIndex) => {
      const usedSlots = required(used[machineIndex], 'machine');
      if (usedSlots >= slotCosts.length) return;
      used[machineIndex] = usedSlots + 1;
      best = Math.min(
        best,
        required(costs[task]?.[machineIndex], 'cost') +
          required(slotCosts[usedSlots], 'slot') +
          visit(task + 1),
      );
      used[machineIndex] = usedSlots;
    });
    return best;
  };
  return visit(0);
}

test('successive shortest paths find the least cost of small networks', () => {
  const cost = fc.integer({ min: 0, max: 20 });
  const shape = fc.integer({ min: 1, max: 3 }).chain((machines) =>
    fc.record({
      costs: fc.array(fc.array(cost, { minLength: machines, maxLength: machines }), {
        minLength: 1,
        maxLength: 5,
      }),
      load: fc.array(fc.integer({ min: 0, max: 5 }), { minLength: machines, maxLength: machines }),
      slotCounts: fc.array(fc.integer({ min: 0, max: 3 }), { minLength: machines, maxLength: machines }),
    }),
  );
  fc.assert(
    fc.property(shape, ({ costs, load, slotCounts }) => {
      const unscheduledCost = 1000;
      const slots = slotCounts.map((r, m) =>
        Array.from({ length: r }, (_, k) => required(load[m], 'load') + k),
      );
      const net = new FlowNetwork();
      const [source, sink, unscheduled] = [net.addNode(), net.addNode(), net.addNode()];
      const nodes = slotCounts.map(() => net.addNode());
      costs.forEach((row) => {
        const task = net.addNode();
        net.addArc(source, task, 1, 0);
        net.addArc(task, unscheduled, 1, unscheduledCost);
        row.forEach((c, m) => net.addArc(task, required(nodes[m], 'node'), 1, c));
      });
      slots.forEach((list, machineIndex) => {
        for (const c of list) net.addArc(required(nodes[machineIndex], 'node'), sink, 1, c);
      });
      net.addArc(unscheduled, sink, costs.length, 0);
      const solved = net.solve(source, sink, costs.length);
      assert.equal(solved.flow, costs.length);
      assert.equal(solved.cost, bruteForce(costs, slots, unscheduledCost));
      // Solved for one task after the other, each from its own node, the total cost is the same.
      const sequential = new FlowNetwork();
      const [end, waiting] = [sequential.addNode(), sequential.addNode()];
      const places = slotCounts.map(() => sequential.addNode());
      const tasks = costs.map((row) => {
        const task = sequential.addNode();
        sequential.addArc(task, waiting, 1, unscheduledCost);
        row.forEach((c, m) => sequential.addArc(task, required(places[m], 'node'), 1, c));
        return task;
      });
      slots.forEach((list, machineIndex) => {
        for (const c of list) sequential.addArc(required(places[machineIndex], 'node'), end, 1, c);
      });
      sequential.addArc(waiting, end, costs.length, 0);
      let sum = 0;
      for (const task of tasks) sum += sequential.solve(task, end, 1).cost;
      assert.equal(sum, solved.cost);
    }),
    { seed: SEED, numRuns: 300 },
  );
});
