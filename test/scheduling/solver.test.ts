import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { required } from '../../src/base/required.ts';
import { FlowNetwork } from '../../src/scheduling/solver.ts';
import { SEED } from '../helpers.ts';

/** Least cost of assigning each task to a slot or to none, by trying everything. */
function bruteForce(costs: number[][], slots: number[][], none: number): number {
  const used = slots.map(() => 0);
  const visit = (task: number): number => {
    if (task === costs.length) return 0;
    let best = none + visit(task + 1);
    slots.forEach((slotCosts, m) => {
      const at = required(used[m], 'machine');
      if (at >= slotCosts.length) return;
      used[m] = at + 1;
      best = Math.min(
        best,
        required(costs[task]?.[m], 'cost') + required(slotCosts[at], 'slot') + visit(task + 1),
      );
      used[m] = at;
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
      room: fc.array(fc.integer({ min: 0, max: 3 }), { minLength: machines, maxLength: machines }),
    }),
  );
  fc.assert(
    fc.property(shape, ({ costs, load, room }) => {
      const none = 1000;
      const slots = room.map((r, m) => Array.from({ length: r }, (_, k) => required(load[m], 'load') + k));
      const net = new FlowNetwork();
      const [source, sink, unscheduled] = [net.addNode(), net.addNode(), net.addNode()];
      const nodes = room.map(() => net.addNode());
      costs.forEach((row) => {
        const task = net.addNode();
        net.addArc(source, task, 1, 0);
        net.addArc(task, unscheduled, 1, none);
        row.forEach((c, m) => net.addArc(task, required(nodes[m], 'node'), 1, c));
      });
      slots.forEach((list, m) => {
        for (const c of list) net.addArc(required(nodes[m], 'node'), sink, 1, c);
      });
      net.addArc(unscheduled, sink, costs.length, 0);
      const solved = net.solve(source, sink, costs.length);
      assert.equal(solved.flow, costs.length);
      assert.equal(solved.cost, bruteForce(costs, slots, none));
      // One task after the other, each from its own node, costs no more in all.
      const again = new FlowNetwork();
      const [end, waiting] = [again.addNode(), again.addNode()];
      const places = room.map(() => again.addNode());
      const tasks = costs.map((row) => {
        const task = again.addNode();
        again.addArc(task, waiting, 1, none);
        row.forEach((c, m) => again.addArc(task, required(places[m], 'node'), 1, c));
        return task;
      });
      slots.forEach((list, m) => {
        for (const c of list) again.addArc(required(places[m], 'node'), end, 1, c);
      });
      again.addArc(waiting, end, costs.length, 0);
      let sum = 0;
      for (const task of tasks) sum += again.solve(task, end, 1).cost;
      assert.equal(sum, solved.cost);
    }),
    { seed: SEED, numRuns: 300 },
  );
});
