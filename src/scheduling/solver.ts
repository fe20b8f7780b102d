/**
 * Min-cost flow by successive shortest paths with potentials (Dijkstra). Costs are non-negative integers.
 * Nodes and arcs are dense indices; arcs 2k and 2k+1 are a pair of opposite directions. The arrays are kept
 * between rounds, since allocating them for each round costs more than filling them.
 */
export class FlowNetwork {
  private nodeCount = 0;
  private arcCount = 0;
  /** By node: the first of its outgoing arcs, or -1. */
  private firstArc = new Int32Array(256);
  /** By arc: the next outgoing arc of the same node, or -1. */
  private nextArc = new Int32Array(4096);
  private to = new Int32Array(4096);
  private residualCapacity = new Int32Array(4096);
  private cost = new Int32Array(4096);
  private potential = new Float64Array(256);
  private distance = new Float64Array(256).fill(Infinity);
  /** By node: the arc by which the shortest path of the current search arrives. */
  private arrivalArc = new Int32Array(256);
  private settled = new Uint8Array(256);
  private readonly heap = new Heap();
  /** Nodes that the current search has reached. */
  private readonly reachedNodes: number[] = [];

  /** Empties the network for the next round. */
  reset(): void {
    this.nodeCount = 0;
    this.arcCount = 0;
  }

  addNode(): number {
    if (this.nodeCount === this.firstArc.length) this.growNodeArrays();
    this.firstArc[this.nodeCount] = -1;
    this.potential[this.nodeCount] = 0;
    this.nodeCount += 1;
    return this.nodeCount - 1;
  }

  private growNodeArrays(): void {
    const newLength = this.firstArc.length * 2;
    this.firstArc = growArray(this.firstArc);
    const potential = new Float64Array(newLength);
    potential.set(this.potential);
    this.potential = potential;
    this.distance = new Float64Array(newLength).fill(Infinity);
    this.arrivalArc = new Int32Array(newLength);
    this.settled = new Uint8Array(newLength);
  }

  /** Adds an arc and its reverse; returns the index of the arc. */
  addArc(from: number, to: number, capacity: number, cost: number): number {
    const arc = this.arcCount;
    if (arc + 2 > this.to.length) {
      this.nextArc = growArray(this.nextArc);
      this.to = growArray(this.to);
      this.residualCapacity = growArray(this.residualCapacity);
      this.cost = growArray(this.cost);
    }
    this.addDirectedArc(from, to, capacity, cost);
    this.addDirectedArc(to, from, 0, -cost);
    return arc;
  }

  private addDirectedArc(from: number, to: number, capacity: number, cost: number): void {
    const arc = this.arcCount++;
    this.to[arc] = to;
    this.residualCapacity[arc] = capacity;
    this.cost[arc] = cost;
    this.nextArc[arc] = this.firstArc[from]!;
    this.firstArc[from] = arc;
  }

  /** Flow on an arc after `solve`. */
  flow(arc: number): number {
    return this.residualCapacity[arc + 1]!;
  }

  /**
   * Sends up to `amount` from a source to the sink at least cost; stops after a first path when `isExpired`. It can be
   * called for one source after another: earlier flow is rerouted where that is cheaper, so that the flow of all
   * sources together has the least cost. Each search goes from one source to the sink, so that it visits only a small
   * part of the network.
   */
  solve(
    source: number,
    sink: number,
    amount: number,
    isExpired: () => boolean = () => false,
  ): { flow: number; cost: number } {
    const { to, residualCapacity, arrivalArc } = this;
    let flow = 0;
    let cost = 0;
    // Each source gets at least one path, so that a round without time left still serves each group a little.
    while (flow < amount && (flow === 0 || !isExpired())) {
      if (!this.search(source, sink)) break;
      let pathFlow = amount - flow;
      for (let node = sink; node !== source; node = to[arrivalArc[node]! ^ 1]!) {
        pathFlow = Math.min(pathFlow, residualCapacity[arrivalArc[node]!]!);
      }
      for (let node = sink; node !== source; node = to[arrivalArc[node]! ^ 1]!) {
        const arc = arrivalArc[node]!;
        residualCapacity[arc]! -= pathFlow;
        residualCapacity[arc ^ 1]! += pathFlow;
        cost += pathFlow * this.cost[arc]!;
      }
      flow += pathFlow;
    }
    return { flow, cost };
  }

  /** Finds the shortest path by reduced costs and updates the potentials; false if the sink can't be reached. */
  private search(source: number, sink: number): boolean {
    const {
      firstArc,
      nextArc,
      to,
      residualCapacity,
      cost,
      potential,
      distance,
      arrivalArc,
      settled,
      heap,
      reachedNodes,
    } = this;
    distance[source] = 0;
    reachedNodes.push(source);
    heap.clear();
    heap.push(0, source);
    let found = false;
    while (heap.size > 0) {
      const node = heap.pop();
      if (settled[node]) continue;
      settled[node] = 1;
      if (node === sink) {
        found = true;
        break;
      }
      const baseDistance = distance[node]! + potential[node]!;
      for (let arc = firstArc[node]!; arc >= 0; arc = nextArc[arc]!) {
        if (residualCapacity[arc]! <= 0) continue;
        const target = to[arc]!;
        if (settled[target]) continue;
        const newDistance = baseDistance + cost[arc]! - potential[target]!;
        if (newDistance < distance[target]!) {
          if (distance[target] === Infinity) reachedNodes.push(target);
          distance[target] = newDistance;
          arrivalArc[target] = arc;
          heap.push(newDistance, target);
        }
      }
    }
    const sinkDistance = distance[sink]!;
    for (const node of reachedNodes) {
      // Only potentials of nodes nearer than the sink change: those of all others would change by the same amount.
      if (found && settled[node]) potential[node]! += distance[node]! - sinkDistance;
      distance[node] = Infinity;
      settled[node] = 0;
    }
    reachedNodes.length = 0;
    return found;
  }
}

function growArray(array: Int32Array): Int32Array<ArrayBuffer> {
  const larger = new Int32Array(array.length * 2);
  larger.set(array);
  return larger;
}

/** A binary heap of nodes by least key; it may contain a node more than once. */
class Heap {
  private readonly keys: number[] = [];
  private readonly nodes: number[] = [];

  get size(): number {
    return this.keys.length;
  }

  clear(): void {
    this.keys.length = 0;
    this.nodes.length = 0;
  }

  push(key: number, node: number): void {
    let index = this.keys.length;
    this.keys.push(key);
    this.nodes.push(node);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.keys[parent]! <= key) break;
      this.keys[index] = this.keys[parent]!;
      this.nodes[index] = this.nodes[parent]!;
      index = parent;
    }
    this.keys[index] = key;
    this.nodes[index] = node;
  }

  pop(): number {
    const topNode = this.nodes[0]!;
    const key = this.keys.pop()!;
    const node = this.nodes.pop()!;
    const size = this.keys.length;
    if (size === 0) return topNode;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= size) break;
      if (child + 1 < size && this.keys[child + 1]! < this.keys[child]!) child += 1;
      if (this.keys[child]! >= key) break;
      this.keys[index] = this.keys[child]!;
      this.nodes[index] = this.nodes[child]!;
      index = child;
    }
    this.keys[index] = key;
    this.nodes[index] = node;
    return topNode;
  }
}
