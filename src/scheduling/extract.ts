import { required } from '../base/required.ts';
import type { FlowNetwork } from './solver.ts';
import type { Target } from './targets.ts';
import {
  fits,
  groupFits,
  allocate,
  quotaFits,
  type TaskGroup,
  type MachineSnapshot,
  type Placement,
  type Resources,
  type RoundResult,
  type QuotaHeadroom,
} from './snapshot.ts';

/** An arc of the network over which a group's tasks can flow to a target. `group`: index into the round's groups. */
export interface Edge {
  group: number;
  target: Target;
  arc: number;
}

interface Member {
  view: MachineSnapshot;
  room: Resources;
  added: number;
  /** Images that tasks placed in this round bring to it. */
  images: Set<string>;
}

/** The equal machines of a target with what the round has put on them so far. */
class Members {
  private readonly lists = new Map<Target, Member[]>();

  constructor(private readonly fetchSteps: number) {}

  /**
   * Divides tasks among equal machines, each where it costs least; returns how many found room. A further task
   * costs a step, but an image is fetched once for all tasks on a machine: one task of a job on each of forty
   * machines once made forty fetches, and machines that fetched the images of four jobs at the same time.
   */
  place(target: Target, group: TaskGroup, count: number, placed: Placement[]): number {
    let list = this.lists.get(target);
    if (!list) {
      list = target.views.map((view) => ({ view, room: { ...view.free }, added: 0, images: new Set() }));
      this.lists.set(target, list);
    }
    const fetch =
      required(list[0], 'machine of the target').view.fetchS(group.image, group.imageGb) * this.fetchSteps;
    const given = new Map<Member, number>();
    let left = count;
    while (left > 0) {
      let best: Member | null = null;
      let bestCost = Infinity;
      for (const m of list) {
        const cost = m.added + (fetch > 0 && !m.images.has(group.image) ? fetch : 0);
        if (cost >= bestCost || groupFits(group, m.room, m.view.perAccelerator) === 0) continue;
        best = m;
        bestCost = cost;
        if (cost === 0) break;
      }
      if (!best) break;
      // What follows on the same machine costs less than the first there, as long as steps don't add up to more.
      const more = fetch > 0 ? Math.max(1, Math.floor(fetch)) : 1;
      const n = Math.min(left, more, groupFits(group, best.room, best.view.perAccelerator));
      allocate(best.room, group.need, n);
      best.added += n;
      best.images.add(group.image);
      left -= n;
      given.set(best, (given.get(best) ?? 0) + n);
    }
    for (const [m, n] of given) placed.push({ job: group.job, machine: m.view.machine, count: n });
    return count - left;
  }
}

/** Takes the placements out of the flow, in order of urgency, as far as room and limits really allow. */
export function extract(
  groups: readonly TaskGroup[],
  edges: readonly Edge[],
  net: FlowNetwork,
  teamRoom: readonly QuotaHeadroom[],
  costs: { rentRound: number; fetchSteps: number },
  result: RoundResult,
): number[] {
  const members = new Members(costs.fetchSteps);
  const teams = teamRoom.map((t) => ({ ...t }));
  const demand = new Map<number, number>();
  const dropped: number[] = [];
  const byGroup: Edge[][] = groups.map(() => []);
  for (const edge of edges) {
    if (net.flow(edge.arc) > 0) required(byGroup[edge.group], 'group of the edge').push(edge);
  }
  groups.forEach((group, index) => {
    const placed: Placement[] = [];
    let total = 0;
    let later = 0;
    const wants: { option: number; machines: number }[] = [];
    for (const edge of required(byGroup[index], 'edges of the group')) {
      const { target } = edge;
      const flow = net.flow(edge.arc);
      if (target.option) {
        wants.push({ option: target.option.option, machines: flow / fits(group.need, target.option.size) });
        later += flow;
      } else if (target.kind === 'later') {
        later += flow;
      } else {
        const team = required(teams[group.team], 'room of the team');
        const count = Math.min(flow, quotaFits(group.need, team));
        if (count <= 0) continue;
        const found = members.place(target, group, count, placed);
        team.cpus -= group.need.cpus * found;
        team.gpus -= group.need.gpus * found;
        total += found;
      }
    }
    for (const want of wants) demand.set(want.option, (demand.get(want.option) ?? 0) + want.machines);
    if (group.expected) {
      for (const p of placed) result.held.add(p.machine);
      return;
    }
    if (later > 0) result.awaiting.set(group.job, later);
    const missing = group.pending - total - later;
    if (missing > 0) result.unplaced.set(group.job, missing);
    else result.unplaced.delete(group.job);
    if (group.gang && total < group.pending) {
      // With the rest on its way the room found is kept; otherwise the gang steps back for this round.
      if (total > 0 && missing > 0) dropped.push(group.job);
      return;
    }
    result.placements.push(...placed);
  });
  for (const [option, amount] of demand) {
    // A small part of a further machine isn't worth one: those tasks find room when others end.
    const spared = amount > 1 ? costs.rentRound : 1e-6;
    result.demand.set(option, Math.max(1, Math.ceil(amount - spared)));
  }
  return dropped;
}
