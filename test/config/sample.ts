/** The contents of a valid settings file. */
export const SETTINGS = {
  host_name: 'hearth-0',
  location: 'a',
  serve_on: '127.0.0.1:8080',
  mesh_addr: '127.0.0.1:8081',
  seeds: [],
  endpoints: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
  settings: {
    nodes: 1,
    zones: ['a', 'b'],
    teams: [
      { name: 'vision', cpus: 0, cpus_max: 0, gpus: 4, gpus_max: 16 },
      { name: 'other', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    ],
    objectives: [],
    workers: { report_s: 3, lease_s: 20, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 40 },
    state: { rps: 100, write_rps: 30, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 4, list_lag_s: 4 },
    limits: { cores: 0.1, memory_mb: 200, sockets: 1000 },
    clock_off_ms: 50,
  },
};
