/**
 * Min-cost flow by successive shortest paths with potentials (Dijkstra). Costs are non-negative integers.
 * Nodes and arcs are dense indices; arc 2k and 2k+1 are a pair of opposite directions.
 */
export class FlowNetwork {
  private readonly head: number[] = [];
  private readonly next: number[] = [];
  private readonly to: number[] = [];
  private readonly cap: number[] = [];
  private readonly cost: number[] = [];

  addNode(): number {
    this.head.push(-1);
    return this.head.length - 1;
  }

  addArc(from: number, to: number, capacity: number, cost: number): number {
    const arc = this.to.length;
    this.half(from, to, capacity, cost);
    this.half(to, from, 0, -cost);
    return arc;
  }

  private half(from: number, to: number, capacity: number, cost: number): void {
    this.to.push(to);
    this.cap.push(capacity);
    this.cost.push(cost);
    this.next.push(this.head[from]!);
    this.head[from] = this.to.length - 1;
  }

  /** Flow on an arc after `solve`. */
  flow(arc: number): number {
    return this.cap[arc + 1]!;
  }

  /** Sends up to `amount` from source to sink at least cost; stops early when `expired` says so. */
  solve(
    source: number,
    sink: number,
    amount: number,
    expired: () => boolean = () => false,
  ): { flow: number; cost: number } {
    const n = this.head.length;
    const potential = new Float64Array(n);
    const distance = new Float64Array(n);
    const via = new Int32Array(n);
    const settled = new Uint8Array(n);
    const heap = new Heap();
    let flow = 0;
    let cost = 0;
    while (flow < amount && !expired()) {
      distance.fill(Infinity);
      settled.fill(0);
      distance[source] = 0;
      via[source] = -1;
      heap.clear();
      heap.push(0, source);
      while (heap.size > 0) {
        const node = heap.pop();
        if (settled[node]) continue;
        settled[node] = 1;
        if (node === sink) break;
        const base = distance[node]! + potential[node]!;
        for (let arc = this.head[node]!; arc >= 0; arc = this.next[arc]!) {
          if (this.cap[arc]! <= 0) continue;
          const target = this.to[arc]!;
          if (settled[target]) continue;
          const reached = base + this.cost[arc]! - potential[target]!;
          if (reached < distance[target]!) {
            distance[target] = reached;
            via[target] = arc;
            heap.push(reached, target);
          }
        }
      }
      const length = distance[sink]!;
      if (length === Infinity) break;
      for (let i = 0; i < n; i++) potential[i]! += Math.min(distance[i]!, length);
      let push = amount - flow;
      for (let node = sink; node !== source; node = this.to[via[node]! ^ 1]!) {
        push = Math.min(push, this.cap[via[node]!]!);
      }
      for (let node = sink; node !== source; node = this.to[via[node]! ^ 1]!) {
        const arc = via[node]!;
        this.cap[arc]! -= push;
        this.cap[arc ^ 1]! += push;
        cost += push * this.cost[arc]!;
      }
      flow += push;
    }
    return { flow, cost };
  }
}

/** A binary heap of (key, node); nodes may stand in it more than once. */
class Heap {
  private readonly keys: number[] = [];
  private readonly items: number[] = [];

  get size(): number {
    return this.keys.length;
  }

  clear(): void {
    this.keys.length = 0;
    this.items.length = 0;
  }

  push(key: number, item: number): void {
    let at = this.keys.length;
    this.keys.push(key);
    this.items.push(item);
    while (at > 0) {
      const up = (at - 1) >> 1;
      if (this.keys[up]! <= key) break;
      this.keys[at] = this.keys[up]!;
      this.items[at] = this.items[up]!;
      at = up;
    }
    this.keys[at] = key;
    this.items[at] = item;
  }

  pop(): number {
    const top = this.items[0]!;
    const key = this.keys.pop()!;
    const item = this.items.pop()!;
    const size = this.keys.length;
    if (size === 0) return top;
    let at = 0;
    for (;;) {
      let child = at * 2 + 1;
      if (child >= size) break;
      if (child + 1 < size && this.keys[child + 1]! < this.keys[child]!) child += 1;
      if (this.keys[child]! >= key) break;
      this.keys[at] = this.keys[child]!;
      this.items[at] = this.items[child]!;
      at = child;
    }
    this.keys[at] = key;
    this.items[at] = item;
    return top;
  }
}
