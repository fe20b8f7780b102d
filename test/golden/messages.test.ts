/** The exact bodies of messages exchanged with the state service, workers, users and the cloud. */
import assert from 'node:assert/strict';
import test from 'node:test';
import {
  CLOUD_PATHS,
  decodeCatalog,
  decodeMachineList,
  decodeProvisionedMachines,
  encodeProvisioningRequest,
  encodeTerminationRequest,
  isNoCapacity,
} from '../../src/wire/cloud.ts';
import {
  decodeConflict,
  decodeEvents,
  decodeLeaseId,
  decodeItem,
  decodeItems,
  decodeRevision,
  encodeLeaseRequest,
  encodeTransaction,
  isNoLease,
  STATE_PATHS,
} from '../../src/wire/state.ts';
import { encodeStatus } from '../../src/wire/user.ts';
import {
  decodeHeartbeat,
  encodeCommands,
  encodeHeartbeatResponse,
  encodeRedirect,
  type Command,
} from '../../src/wire/worker.ts';

/** A decoded value as JSON without field names, which are internal and may change. */
const decodedValues = (decoded: { ok: boolean; value?: unknown }): string =>
  decoded.ok ? JSON.stringify(withoutFieldNames(decoded.value)) : 'malformed';

function withoutFieldNames(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withoutFieldNames);
  return typeof value === 'object' && value !== null ? Object.values(value).map(withoutFieldNames) : value;
}

// ---- the state service ----

test('the body of a transaction', () => {
  assert.equal(
    encodeTransaction(
      [
        { key: 'leader', version: 0 },
        { key: 'o/req-1', version: 125 },
      ],
      [
        { put: 'leader', value: { node: 'hearth-2' }, lease: 77 },
        { put: 'fence', value: {} },
        { delete: 't/req-1/0' },
        { put: 'n', value: null },
      ],
    ),
    '{"if":[{"k":"leader","stamp":0},{"k":"o/req-1","stamp":125}],"then":[{"set":"leader","data":{"node":"hearth-2"},"permit":77},{"set":"fence","data":{}},{"drop":"t/req-1/0"},{"set":"n","data":null}]}',
  );
  assert.equal(encodeTransaction([], []), '{"if":[],"then":[]}');
});

test('the body of a lease request', () => {
  assert.equal(encodeLeaseRequest(3000), '{"ttlMs":3000}');
});

test('the paths of the state service', () => {
  const paths = [
    STATE_PATHS.key('o/req-1'),
    STATE_PATHS.list('o/', '', 500),
    STATE_PATHS.list('o/', 'o/req-1', 500),
    STATE_PATHS.transaction,
    STATE_PATHS.leases,
    STATE_PATHS.renew(77),
    STATE_PATHS.lease(77),
    STATE_PATHS.watch('o/', 131, 20_000),
  ];
  assert.equal(
    paths.join('\n'),
    [
      '/store/o/req-1',
      '/store?starts=o%2F&most=500',
      '/store?starts=o%2F&since=o%2Freq-1&most=500',
      '/multi',
      '/grants',
      '/grants/77/renew',
      '/grants/77',
      '/follow?starts=o%2F&since=131&holdMs=20000',
    ].join('\n'),
  );
});

test('answers of the state service are decoded', () => {
  const read = [
    decodedValues(decodeItem('{"k":"leader","data":{"n":1},"stamp":120,"permit":77}')),
    decodedValues(decodeItem('{"k":"term","data":null,"stamp":120}')),
    decodedValues(decodeItem('{"k":"term","data":1,"stamp":-1}')),
    decodedValues(decodeItem('{"k":"term"}')),
    decodedValues(
      decodeItems('{"rows":[{"k":"o/1","data":1,"stamp":2,"permit":null}],"hasNext":true,"ledger":9}'),
    ),
    decodedValues(decodeItems('{"rows":[],"hasNext":false}')),
    decodedValues(decodeRevision('{"ledger":131}')),
    decodedValues(decodeRevision('{"ledger":1.5}')),
    decodedValues(decodeConflict('{"failed":["leader","fence"]}')),
    decodedValues(decodeConflict('{"failed":"leader"}')),
    decodedValues(decodeLeaseId('{"permit":77}')),
    decodedValues(decodeLeaseId('{"permit":"77"}')),
    decodedValues(
      decodeEvents('{"ledger":9,"log":[{"set":"o/1","data":[1],"stamp":8},{"drop":"o/2","stamp":9}]}'),
    ),
    decodedValues(decodeEvents('{"ledger":9,"log":[{"stamp":8}]}')),
    String(isNoLease('{"error":"no such lease"}')),
    String(isNoLease('{"error":"other"}')),
  ];
  assert.equal(
    read.join('\n'),
    [
      '["leader",[1],120,77]',
      '["term",null,120,null]',
      'malformed',
      'malformed',
      '[[["o/1",1,2,null]],true,9]',
      'malformed',
      '131',
      'malformed',
      '["leader","fence"]',
      'malformed',
      '77',
      'malformed',
      '[9,[["o/1",false,[1],8],["o/2",true,null,9]]]',
      'malformed',
      'true',
      'false',
    ].join('\n'),
  );
});

// ---- workers ----

const COMMANDS: Command[] = [
  { op: 'start', jobId: 'req-000412', task: 3, attempt: 2 },
  { op: 'stop', jobId: 'req-000412', task: 4, attempt: 1, graceS: 4.5 },
  { op: 'stop', jobId: 'req-000412', task: 5, attempt: 9, graceS: 0 },
  { op: 'forget', jobId: 'req-000413', task: 99_999, attempt: 1 },
];

test('the response to a heartbeat of a worker', () => {
  assert.equal(
    encodeHeartbeatResponse(41, COMMANDS),
    '{"baton":41,"orders":[{"verb":"launch","loaf":"req-000412/3","try":2},{"verb":"stop","loaf":"req-000412/4","try":1,"windDownS":4.5},{"verb":"stop","loaf":"req-000412/5","try":9,"windDownS":0},{"verb":"clear","loaf":"req-000413/99999","try":1}]}',
  );
  assert.equal(encodeHeartbeatResponse(41, []), '{"baton":41,"orders":[]}');
});

test('commands that are sent to a worker outside of a heartbeat response', () => {
  assert.equal(
    encodeCommands(41, 3, COMMANDS),
    '{"baton":41,"shift":3,"orders":[{"verb":"launch","loaf":"req-000412/3","try":2},{"verb":"stop","loaf":"req-000412/4","try":1,"windDownS":4.5},{"verb":"stop","loaf":"req-000412/5","try":9,"windDownS":0},{"verb":"clear","loaf":"req-000413/99999","try":1}]}',
  );
  assert.equal(encodeCommands(41, 3, []), '{"baton":41,"shift":3,"orders":[]}');
});

test('the redirect of a worker to another controller', () => {
  assert.equal(encodeRedirect('hearth-2'), '{"foreman":"hearth-2"}');
  assert.equal(encodeRedirect(null), '{}');
});

const HEARTBEAT =
  '{"hearth":"n-000231","address":"10.1.0.232:9000","oven":"g8","yard":"a","borrowed":true,"shift":1,"tick":88,"baton":41,"warningS":12.5,"loaves":[{"loaf":"req-000412/3","try":2,"stage":"fetching"},{"loaf":"req-000412/4","try":1,"stage":"waiting","cause":null},{"loaf":"req-000412/5","try":1,"stage":"running","saved":true},{"loaf":"req-000412/6","try":1,"stage":"saving"}]}';
const heartbeatWithCause = (cause: string): string =>
  HEARTBEAT.replace(
    /"loaves":.*$/,
    `"loaves":[{"loaf":"req-1/0","try":1,"stage":"ended","cause":${cause}}]}`,
  );

test('heartbeats of workers are decoded', () => {
  assert.equal(
    decodedValues(decodeHeartbeat(HEARTBEAT)),
    '["n-000231","10.1.0.232:9000","g8","a",true,1,88,41,12.5,[["req-000412",3,2,"fetching",null,false],["req-000412",4,1,"waiting",null,false],["req-000412",5,1,"running",null,true],["req-000412",6,1,"saving",null,false]]]',
  );
  const bad = [
    HEARTBEAT.replace('"tick":88', '"tick":9007199254740993'),
    HEARTBEAT.replace('"shift":1,', ''),
    HEARTBEAT.replace('10.1.0.232:9000', '10.1.0.232'),
    HEARTBEAT.replace('n-000231', ''),
    HEARTBEAT.replace('req-000412/3', 'req-000412'),
    HEARTBEAT.replace('"stage":"saving"', '"stage":"resting"'),
    '[]',
    '{',
  ];
  for (const text of bad) assert.equal(decodedValues(decodeHeartbeat(text)), 'malformed', text);
});

test('each known cause of the end of a task is decoded to a reason of its own', () => {
  const wireCauses = ['done', 'stopped', 'peers', 'incomplete', 'error', 'full', 'busy', 'no_such'];
  const read = wireCauses.map((cause) => decodedValues(decodeHeartbeat(heartbeatWithCause(`"${cause}"`))));
  assert.equal(new Set(read).size, wireCauses.length);
  // An unknown or missing cause counts as an error of the task.
  const error = decodedValues(decodeHeartbeat(heartbeatWithCause('"error"')));
  assert.equal(decodedValues(decodeHeartbeat(heartbeatWithCause('"novelty"'))), error);
  assert.equal(decodedValues(decodeHeartbeat(heartbeatWithCause('null'))), error);
});

// ---- users and the cloud ----

test('the status of a job in answers to users', () => {
  const statuses = (['pending', 'running', 'done', 'cancelled'] as const).map((stage) =>
    encodeStatus('req-000412', { stage, done: 3, running: 1 }),
  );
  assert.equal(
    statuses.join('\n'),
    [
      '{"uid":"req-000412","stage":"pending","done":3,"running":1}',
      '{"uid":"req-000412","stage":"running","done":3,"running":1}',
      '{"uid":"req-000412","stage":"done","done":3,"running":1}',
      '{"uid":"req-000412","stage":"aborted","done":3,"running":1}',
    ].join('\n'),
  );
});

test('requests to the cloud', () => {
  const rental = { request: 'r-1', machineType: 'g8', zone: 'a', spot: true, count: 3 };
  assert.equal(
    encodeProvisioningRequest(rental),
    '{"booking":"r-1","oven":"g8","yard":"a","borrowed":true,"count":3}',
  );
  assert.equal(encodeTerminationRequest(['n-000001', 'n-000002']), '{"hearths":["n-000001","n-000002"]}');
  const paths = [
    CLOUD_PATHS.types,
    CLOUD_PATHS.provision,
    CLOUD_PATHS.terminate,
    CLOUD_PATHS.list('', 500),
    CLOUD_PATHS.list('n/1', 500),
  ];
  assert.equal(
    paths.join('\n'),
    [
      '/catalog',
      '/rentals',
      '/rentals/return',
      '/rentals?since=&most=500',
      '/rentals?since=n%2F1&most=500',
    ].join('\n'),
  );
});

test('answers of the cloud are decoded', () => {
  const machine = '"uid":"n-1","oven":"g8","yard":"a","borrowed":false';
  const read = [
    decodedValues(decodeProvisionedMachines('{"hearths":["n-1"]}')),
    decodedValues(decodeProvisionedMachines('{"hearths":[1]}')),
    decodedValues(
      decodeMachineList(
        `{"hearths":[{${machine},"address":"10.1.0.1:9000","stage":"starting","ageS":3},{${machine},"stage":"running"},{${machine},"stage":"failed"},{${machine},"stage":"novelty"}],"hasNext":true}`,
      ),
    ),
    decodedValues(decodeMachineList('{"hearths":[{}],"hasNext":false}')),
    decodedValues(
      decodeCatalog(
        '{"ovens":[{"name":"g8","cores":96,"accelerators":8,"memGb":768,"localGb":400,"pullGbPerS":0.5,"rate":24.5,"spotPrice":9.75,"startupS":90,"yards":["a","b"]},{"name":"c16","cores":16,"memGb":64,"rate":0.8,"yards":[]}]}',
      ),
    ),
    decodedValues(decodeCatalog('{"ovens":[{"name":"g8"}]}')),
    String(isNoCapacity('{"error":"no capacity"}')),
    String(isNoCapacity('{"error":"other"}')),
  ];
  assert.equal(
    read.join('\n'),
    [
      '["n-1"]',
      'malformed',
      '[[["n-1","10.1.0.1:9000","g8","a",false,"booting",3],["n-1","","g8","a",false,"running",0],["n-1","","g8","a",false,"failed",0],["n-1","","g8","a",false,"running",0]],true]',
      'malformed',
      '[["g8",96,8,768,400,0.5,24.5,9.75,90,["a","b"]],["c16",16,0,64,0,0,0.8,0.8,0,[]]]',
      'malformed',
      'true',
      'false',
    ].join('\n'),
  );
});
