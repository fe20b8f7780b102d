/**
 * The exact keys and values in the state service. A controller reads what earlier versions wrote, so these literals
 * are recorded output of the code and must never be adapted to a change of it.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import { RateBudget } from '../../src/store/budget.ts';
import { defaultOptions } from '../../src/config/options.ts';
import { Catalog, encodeStoredCatalog, decodeStoredCatalog } from '../../src/fleet/catalog.ts';
import { Archive } from '../../src/jobs/archive.ts';
import { StartWatermarks } from '../../src/jobs/start-watermarks.ts';
import { TerminalStateCache } from '../../src/jobs/terminal-state-cache.ts';
import { Job } from '../../src/jobs/job.ts';
import {
  encodeStartWatermarks,
  encodeChunk,
  encodeTerminalRecord,
  encodeOpenRecord,
  decodeStartWatermarks,
  decodeChunk,
  decodeTerminalRecord,
  decodeOpenRecord,
} from '../../src/jobs/records.ts';
import { UserRequests } from '../../src/jobs/user-requests.ts';
import { Election } from '../../src/leadership/election.ts';
import { KEYS } from '../../src/store/keys.ts';
import { LeaderWriter } from '../../src/store/leader-writer.ts';
import type { DeferredWrite, ReadyWrite } from '../../src/store/write-queues.ts';
import { decodeCatalog } from '../../src/wire/cloud.ts';
import { encodeTransaction, type Mutation, type Item } from '../../src/wire/state.ts';
import { decodeJob } from '../../src/wire/user.ts';
import { MachineRegistry } from '../../src/workers/machine-registry.ts';
import { failTest, FakeClock, silent } from '../helpers.ts';
import { ScriptedStateService } from './state-service.ts';

/** Mutations as they are sent to the state service. */
const encodeMutations = (changes: readonly Mutation[]): string => encodeTransaction([], changes);
const item = (key: string, text: string): Item => ({ key, value: JSON.parse(text), version: 1, lease: null });
/** Values that are invalid as records of every type. */
const INVALID_RECORDS = [
  'null',
  'true',
  '7',
  '"x"',
  '[]',
  '{}',
  '{"b":null}',
  '{"s":"gone"}',
  '{"at":"now"}',
];

test('the keys of all records', () => {
  const keys = [
    KEYS.leader,
    KEYS.term,
    KEYS.fence,
    KEYS.catalog,
    KEYS.openPrefix,
    KEYS.open('req-000412'),
    KEYS.archived('req-000412'),
    KEYS.completionsPrefix,
    KEYS.completions('req-000412', 24),
    KEYS.startWatermarksPrefix,
    KEYS.startWatermarks(3),
    KEYS.machineRegistryPrefix,
    KEYS.machineRegistry(12),
  ];
  assert.equal(
    keys.join(' '),
    'leader term fence catalog o/ o/req-000412 f/req-000412 t/ t/req-000412/24 b/ b/3 m/ m/12',
  );
});

// ---- open jobs ----

const GANG =
  '{"uid":"req-000412","batch":"train","crew":"vision","shape":"ensemble","rank":"urgent","loaves":16,"cores":8,"accelerators":1,"memGb":64,"recipe":"img-07","imageGb":6.2,"ovens":["g8"],"yard":null,"samePlace":true,"apart":false,"borrowed":true,"bakeS":240,"proofS":30,"coolS":4,"dueS":900}';
const ARRAY =
  '{"dueS":null,"coolS":0,"proofS":0,"bakeS":0.5,"borrowed":false,"apart":true,"samePlace":false,"yard":"a","ovens":null,"imageGb":0,"recipe":"ünï/1","memGb":0.25,"accelerators":0,"cores":1.5,"loaves":100000,"rank":"low","shape":"array","crew":"other","batch":"b","uid":"req-1"}';
const DAEMON =
  '{"uid":"req-00000000000000000009","batch":"serve","crew":"other","shape":"daemon","rank":"critical","loaves":1,"cores":0,"accelerators":0,"memGb":0,"recipe":"r","imageGb":1e-7,"samePlace":false,"apart":false,"borrowed":false,"bakeS":9007199254740991,"proofS":1,"coolS":1,"extra":{"kept":false}}';
const STANDARD = GANG.replace('"urgent"', '"standard"').replace('["g8"]', '["g8","g4","c16"]');

const OPEN_RECORDS = {
  gang: '{"at":1800000000123,"job":{"uid":"req-000412","batch":"train","crew":"vision","shape":"ensemble","rank":"urgent","loaves":16,"cores":8,"accelerators":1,"memGb":64,"ovens":["g8"],"yard":null,"samePlace":true,"apart":false,"borrowed":true,"recipe":"img-07","imageGb":6.2,"bakeS":240,"proofS":30,"coolS":4,"dueS":900}}',
  array:
    '{"at":1800000000123,"job":{"uid":"req-1","batch":"b","crew":"other","shape":"array","rank":"low","loaves":100000,"cores":1.5,"accelerators":0,"memGb":0.25,"ovens":null,"yard":"a","samePlace":false,"apart":true,"borrowed":false,"recipe":"ünï/1","imageGb":0,"bakeS":0.5,"proofS":0,"coolS":0,"dueS":null}}',
  daemon:
    '{"at":1800000000123,"job":{"uid":"req-00000000000000000009","batch":"serve","crew":"other","shape":"daemon","rank":"critical","loaves":1,"cores":0,"accelerators":0,"memGb":0,"samePlace":false,"apart":false,"borrowed":false,"recipe":"r","imageGb":1e-7,"bakeS":9007199254740991,"proofS":1,"coolS":1}}',
  standard:
    '{"at":1800000000123,"job":{"uid":"req-000412","batch":"train","crew":"vision","shape":"ensemble","rank":"standard","loaves":16,"cores":8,"accelerators":1,"memGb":64,"ovens":["g8","g4","c16"],"yard":null,"samePlace":true,"apart":false,"borrowed":true,"recipe":"img-07","imageGb":6.2,"bakeS":240,"proofS":30,"coolS":4,"dueS":900}}',
};

const openRecordText = (submission: string): string => {
  const job = decodeJob(submission);
  assert.ok(job.ok);
  return JSON.stringify(encodeOpenRecord(job.value, 1_800_000_000_123));
};

test('the open record of an ensemble', () => {
  assert.equal(openRecordText(GANG), OPEN_RECORDS.gang);
});

test('the open record of an array that was submitted with its fields in another order', () => {
  assert.equal(openRecordText(ARRAY), OPEN_RECORDS.array);
});

test('the open record of a daemon: omitted fields stay omitted, unknown fields are dropped', () => {
  assert.equal(openRecordText(DAEMON), OPEN_RECORDS.daemon);
});

test('the open record of a job with several machine types', () => {
  assert.equal(openRecordText(STANDARD), OPEN_RECORDS.standard);
});

test('open records are decoded and encoded again unchanged', () => {
  for (const [name, text] of Object.entries(OPEN_RECORDS)) {
    const record = decodeOpenRecord(JSON.parse(text));
    assert.ok(record, name);
    assert.equal(JSON.stringify(encodeOpenRecord(record.job, record.createdAtWallMs)), text, name);
    assert.equal(record.createdAtWallMs, 1_800_000_000_123);
    assert.equal(decodeTerminalRecord(JSON.parse(text)), null, name);
  }
});

test('an open record is decoded even if it would be refused as a new submission', () => {
  const text = OPEN_RECORDS.gang
    .replace('"crew":"vision"', '"crew":""')
    .replace('"bakeS":240', '"bakeS":1e300')
    .replace('["g8"]', '[""]');
  const record = decodeOpenRecord(JSON.parse(text));
  assert.ok(record);
  assert.equal(
    JSON.stringify(encodeOpenRecord(record.job, record.createdAtWallMs)),
    text.replace('1e300', '1e+300'),
  );
});

test('a malformed open record is decoded to null', () => {
  for (const text of INVALID_RECORDS) assert.equal(decodeOpenRecord(JSON.parse(text)), null, text);
  const { gang } = OPEN_RECORDS;
  const damaged = [
    gang.replace('"at":1800000000123', '"at":null'),
    gang.replace('"at":1800000000123,', ''),
    gang.replace('"uid":"req-000412"', '"uid":"job-000412"'),
    gang.replace('"shape":"ensemble"', '"shape":"swarm"'),
    gang.replace('"rank":"urgent"', '"rank":"top"'),
    gang.replace('"loaves":16', '"loaves":0'),
    gang.replace('"loaves":16', '"loaves":100001'),
    gang.replace('"loaves":16', '"loaves":1.5'),
    gang.replace('"cores":8', '"cores":-1'),
    gang.replace('"samePlace":true', '"samePlace":1'),
    gang.replace('"recipe":"img-07",', ''),
    gang.replace(/"job":.*}$/, '"job":null}'),
  ];
  for (const text of damaged) {
    assert.notEqual(text, gang);
    assert.equal(decodeOpenRecord(JSON.parse(text)), null, text);
  }
});

// ---- terminal records ----

test('the encoding of terminal records', () => {
  assert.equal(JSON.stringify(encodeTerminalRecord('done', 16)), '{"s":"done","n":16}');
  assert.equal(JSON.stringify(encodeTerminalRecord('cancelled', 0)), '{"s":"cancelled","n":0}');
});

test('terminal records are decoded and encoded again unchanged', () => {
  for (const text of ['{"s":"done","n":16}', '{"s":"cancelled","n":0}', '{"s":"done","n":100000}']) {
    const status = decodeTerminalRecord(JSON.parse(text));
    assert.ok(status && (status.stage === 'done' || status.stage === 'cancelled'), text);
    assert.equal(JSON.stringify(encodeTerminalRecord(status.stage, status.done)), text);
    assert.equal(status.running, 0);
    assert.equal(decodeOpenRecord(JSON.parse(text)), null, text);
  }
});

test('a malformed terminal record is decoded to null', () => {
  const damaged = [
    '{"s":"done"}',
    '{"n":3}',
    '{"s":"done","n":1.5}',
    '{"s":"running","n":1}',
    '{"s":"gone","n":1}',
    '{"s":"done","n":"1"}',
  ];
  for (const text of [...INVALID_RECORDS, ...damaged])
    assert.equal(decodeTerminalRecord(JSON.parse(text)), null, text);
});

test('the oldest terminal records move from the keys of the open records to the archive in one transaction', () => {
  const pushed: ReadyWrite[] = [];
  const archive = new Archive({
    maxUnarchived: 1,
    maxMutations: 6,
    isWriterIdle: () => true,
    enqueueWrite: (job) => pushed.push(job),
    enqueue: (command) => {
      command();
    },
  });
  archive.add('req-000001', encodeTerminalRecord('done', 16));
  archive.add('req-000002', encodeTerminalRecord('cancelled', 3));
  archive.add('req-000003', encodeTerminalRecord('done', 1));
  archive.tick();
  assert.equal(
    pushed.map((job) => encodeMutations(job.mutations)).join('\n'),
    '{"if":[],"then":[{"drop":"o/req-000001"},{"set":"f/req-000001","data":{"s":"done","n":16}},{"drop":"o/req-000002"},{"set":"f/req-000002","data":{"s":"cancelled","n":3}}]}',
  );
});

// ---- start watermarks ----

test('a page of start watermarks is decoded and encoded again unchanged', () => {
  for (const text of ['{"b":[]}', '{"b":[["req-000001",16],["req-000002",0],["req-000003",100000]]}']) {
    const entries = decodeStartWatermarks(JSON.parse(text));
    assert.ok(entries);
    assert.equal(JSON.stringify(encodeStartWatermarks(entries)), text);
  }
});

test('a malformed page of start watermarks is decoded to null', () => {
  const damaged = [
    '{"b":"damaged"}',
    '{"b":[["req-000001"]]}',
    '{"b":[["req-000001",1,2]]}',
    '{"b":[["req-000001",-1]]}',
    '{"b":[["req-000001",1.5]]}',
    '{"b":[["req-000001","1"]]}',
    '{"b":[[1,1]]}',
    '{"b":[null]}',
    '{"b":{"req-000001":1}}',
  ];
  for (const text of [...INVALID_RECORDS, ...damaged])
    assert.equal(decodeStartWatermarks(JSON.parse(text)), null, text);
});

/**
 * Creates start watermarks. `commitQueued` commits the queued writes in order and returns each as the line of JSON that
 * is sent.
 */
function createStartWatermarks(pageBytes: number): {
  watermarks: StartWatermarks;
  commitQueued: () => string;
} {
  const queue: DeferredWrite[] = [];
  const watermarks = new StartWatermarks({
    pageBytes,
    enqueueWrite: (job) => queue.push(job),
    enqueue: (command) => {
      command();
    },
  });
  const commitQueued = (): string =>
    queue
      .splice(0)
      .map((job) => {
        const line = encodeMutations([job.build()]);
        job.onCommitted();
        return line;
      })
      .join('\n');
  return { watermarks, commitQueued };
}

test('the pages of start watermarks that are written as jobs start and end', () => {
  const { watermarks, commitQueued } = createStartWatermarks(80);
  const durable: string[] = [];
  const raise = (id: string, watermark: number): void => {
    watermarks.raise(id, watermark, () => durable.push(`${id} ${watermark}`));
  };
  raise('req-000001', 16);
  raise('req-000002', 4);
  raise('req-000003', 1);
  raise('req-000001', 8);
  const lines = [commitQueued()];
  raise('req-000001', 32);
  lines.push(commitQueued());
  watermarks.drop('req-000002');
  lines.push(commitQueued());
  raise('req-000004', 2);
  raise('req-000005', 3);
  lines.push(commitQueued());
  assert.equal(
    lines.join('\n--\n'),
    [
      '{"if":[],"then":[{"set":"b/0","data":{"b":[["req-000001",16],["req-000002",4]]}}]}',
      '{"if":[],"then":[{"set":"b/1","data":{"b":[["req-000003",1]]}}]}',
      '--',
      '{"if":[],"then":[{"set":"b/0","data":{"b":[["req-000001",32],["req-000002",4]]}}]}',
      '--',
      '',
      '--',
      '{"if":[],"then":[{"set":"b/0","data":{"b":[["req-000001",32],["req-000004",2]]}}]}',
      '{"if":[],"then":[{"set":"b/1","data":{"b":[["req-000003",1],["req-000005",3]]}}]}',
    ].join('\n'),
  );
  assert.equal(
    durable.join(', '),
    'req-000001 16, req-000002 4, req-000001 8, req-000003 1, req-000001 32, req-000004 2, req-000005 3',
  );
});

test('start watermarks of an earlier leader are restored; a malformed page is reported and never overwritten', () => {
  const { watermarks, commitQueued } = createStartWatermarks(80);
  const malformed: string[] = [];
  const found = watermarks.restore(
    [
      item('b/0', '{"b":"damaged"}'),
      item('b/1', '{"b":[["req-000001",16],["req-000009",2]]}'),
      item('b/2', '{"b":[["req-000001",24]]}'),
      item('b/x', '{"b":[["req-000002",1]]}'),
      item('b/-1', '{"b":[["req-000003",1]]}'),
    ],
    (id) => id !== 'req-000009',
    (key) => malformed.push(key),
  );
  assert.equal(JSON.stringify([...found.watermarks]), '[["req-000001",24]]');
  assert.equal(found.hasUnreadablePage, true);
  assert.equal(malformed.join(' '), 'b/0 b/x b/-1');
  for (const id of ['req-000001', 'req-000004', 'req-000005', 'req-000006', 'req-000007'])
    watermarks.raise(id, 48, () => undefined);
  assert.equal(
    commitQueued(),
    [
      '{"if":[],"then":[{"set":"b/2","data":{"b":[["req-000001",48],["req-000004",48]]}}]}',
      '{"if":[],"then":[{"set":"b/1","data":{"b":[["req-000001",16],["req-000005",48]]}}]}',
      '{"if":[],"then":[{"set":"b/3","data":{"b":[["req-000006",48],["req-000007",48]]}}]}',
    ].join('\n'),
  );
});

// ---- completed tasks ----

test('the completion chunks of a job', () => {
  const submission = decodeJob(ARRAY.replace('100000', '9000'));
  assert.ok(submission.ok);
  const job = new Job(submission.value, 0, 0, 0);
  for (const task of [0, 1, 7, 8, 4095, 4096, 8191, 8192, 8999]) job.markDone(task);
  const chunks = [0, 1, 2].map((chunk) => JSON.stringify(encodeChunk(job.chunkBits(chunk))));
  assert.equal(
    chunks[0],
    '{"b":"gwEAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAIA="}',
  );
  assert.equal(
    chunks[1],
    '{"b":"AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAIA="}',
  );
  assert.equal(
    chunks[2],
    '{"b":"AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAIA="}',
  );
  const later = new Job(submission.value, 0, 0, 0);
  chunks.forEach((text, chunk) => {
    const bits = decodeChunk(JSON.parse(text));
    assert.ok(bits);
    later.markChunkDurable(chunk, bits);
    assert.equal(JSON.stringify(encodeChunk(later.chunkBits(chunk))), text);
  });
  assert.equal(later.doneCount, 9);
});

test('the completion chunk of a small job', () => {
  const submission = decodeJob(GANG);
  assert.ok(submission.ok);
  const job = new Job(submission.value, 0, 0, 0);
  for (const task of [0, 2, 15]) job.markDone(task);
  assert.equal(JSON.stringify(encodeChunk(job.chunkBits(0))), '{"b":"BYA="}');
  const bits = decodeChunk(JSON.parse('{"b":"BYA="}'));
  assert.ok(bits);
  assert.equal(JSON.stringify(encodeChunk(bits)), '{"b":"BYA="}');
});

test('a malformed completion chunk is decoded to null; damaged base64 is decoded as far as possible', () => {
  for (const text of [...INVALID_RECORDS, '{"b":7}', '{"b":[1]}']) {
    assert.equal(decodeChunk(JSON.parse(text)), null, text);
  }
  const damaged = decodeChunk({ b: 'BY!A' });
  assert.ok(damaged);
  assert.equal(Buffer.from(damaged).toString('hex'), '0580');
  assert.equal(decodeChunk({ b: '' })?.length, 0);
});

// ---- machines ----

const machine = (number: number) => ({
  name: `n-${String(number).padStart(6, '0')}`,
  address: `10.1.0.${number}:9000`,
  machineType: 'g8',
  zone: number % 2 === 0 ? 'a' : 'b',
  spot: number % 3 === 0,
});

/**
 * Creates a machine registry. `commitQueued` commits the queued writes and returns each as the line of JSON that is sent.
 */
function createRegistry(pageBytes: number): { machines: MachineRegistry; commitQueued: () => string } {
  const queue: string[] = [];
  const onCommittedCallbacks: (() => void)[] = [];
  const machines = new MachineRegistry({
    pageBytes,
    enqueueWrite: (job, urgent) => {
      queue.push(`${urgent ? 'urgent' : 'calm'} ${encodeMutations(job.mutations)}`);
      onCommittedCallbacks.push(job.onCommitted);
    },
    enqueue: (command) => {
      command();
    },
  });
  const commitQueued = (): string => {
    for (const onCommitted of onCommittedCallbacks.splice(0)) onCommitted();
    return queue.splice(0).join('\n');
  };
  return { machines, commitQueued };
}

test('the pages of the machine registry that are written as machines are registered and removed', () => {
  const { machines, commitQueued } = createRegistry(120);
  const lines: string[] = [];
  const flush = (calm: boolean): void => {
    machines.flush(calm);
    lines.push(`-- ${commitQueued()}`);
  };
  const durable: number[] = [];
  const register = (number: number): void => {
    machines.register(machine(number), () => durable.push(number));
  };
  register(1);
  flush(false);
  for (const number of [2, 3, 4, 5, 6]) register(number);
  flush(false);
  machines.remove('n-000003');
  flush(false);
  flush(true);
  register(7);
  machines.remove('n-000001');
  machines.remove('n-000002');
  machines.remove('n-000009');
  flush(false);
  machines.remove('n-000005');
  machines.remove('n-000006');
  machines.remove('n-000007');
  flush(true);
  assert.equal(
    lines.join('\n'),
    [
      '-- urgent {"if":[],"then":[{"set":"m/0","data":{"m":[["n-000001","10.1.0.1:9000","g8","b",false]]}}]}',
      '-- urgent {"if":[],"then":[{"set":"m/0","data":{"m":[["n-000001","10.1.0.1:9000","g8","b",false],["n-000002","10.1.0.2:9000","g8","a",false]]}}]}',
      'urgent {"if":[],"then":[{"set":"m/1","data":{"m":[["n-000003","10.1.0.3:9000","g8","b",true],["n-000004","10.1.0.4:9000","g8","a",false]]}}]}',
      'urgent {"if":[],"then":[{"set":"m/2","data":{"m":[["n-000005","10.1.0.5:9000","g8","b",false],["n-000006","10.1.0.6:9000","g8","a",true]]}}]}',
      '-- ',
      '-- calm {"if":[],"then":[{"set":"m/1","data":{"m":[["n-000004","10.1.0.4:9000","g8","a",false]]}}]}',
      '-- urgent {"if":[],"then":[{"set":"m/1","data":{"m":[["n-000004","10.1.0.4:9000","g8","a",false],["n-000007","10.1.0.7:9000","g8","b",false]]}}]}',
      '-- calm {"if":[],"then":[{"drop":"m/0"}]}',
      'calm {"if":[],"then":[{"set":"m/1","data":{"m":[["n-000004","10.1.0.4:9000","g8","a",false]]}}]}',
      'calm {"if":[],"then":[{"drop":"m/2"}]}',
    ].join('\n'),
  );
  assert.equal(durable.join(' '), '1 2 3 4 5 6 7');
});

test('the machine registry of an earlier leader is decoded and encoded again unchanged', () => {
  const page =
    '{"m":[["n-000002","10.1.0.2:9000","g8","a",false],["n-000001","10.1.0.1:9000","c16","b",true]]}';
  const { machines, commitQueued } = createRegistry(4000);
  const malformed: string[] = [];
  const found = machines.restore([item('m/0', page)], (key) => malformed.push(key));
  assert.equal(
    JSON.stringify(found.map((identity): unknown[] => Object.values(identity))),
    '[["n-000002","10.1.0.2:9000","g8","a",false],["n-000001","10.1.0.1:9000","c16","b",true]]',
  );
  assert.deepEqual(malformed, []);
  machines.register(machine(1), () => undefined);
  machines.flush(false);
  assert.equal(
    commitQueued(),
    'urgent {"if":[],"then":[{"set":"m/0","data":{"m":[["n-000002","10.1.0.2:9000","g8","a",false],["n-000001","10.1.0.1:9000","c16","b",true]]}}]}',
  );
});

test('a malformed page of the machine registry is reported, and only its machines are left out', () => {
  const { machines } = createRegistry(4000);
  const malformed: string[] = [];
  const entry = '["n-000001","10.1.0.1:9000","g8","a",false]';
  const found = machines.restore(
    [
      ...INVALID_RECORDS.map((text, index) => item(`m/${index}`, text)),
      item('m/20', '{"m":7}'),
      item('m/21', '{"m":[["n-000001","10.1.0.1:9000","g8","a"]]}'),
      item('m/22', '{"m":[["n-000001","10.1.0.1:9000","g8","a",0]]}'),
      item('m/x', `{"m":[${entry}]}`),
      item('m/-1', `{"m":[${entry}]}`),
      item('m/23', '{"m":[]}'),
      item('m/2', '{"m":[["n-000002","10.1.0.2:9000","c16","b",true]]}'),
    ],
    (key) => malformed.push(key),
  );
  assert.equal(found.map((identity) => identity.name).join(' '), 'n-000002');
  assert.equal(malformed.join(' '), 'm/0 m/1 m/2 m/3 m/4 m/5 m/6 m/7 m/8 m/20 m/21 m/22 m/x m/-1');
});

// ---- the catalog ----

const CLOUD_CATALOG =
  '{"ovens":[{"name":"g8","cores":96,"accelerators":8,"memGb":768,"localGb":400,"pullGbPerS":0.5,"rate":24.5,"spotPrice":9.75,"startupS":90,"yards":["a","b"]},{"name":"c16","cores":16,"memGb":64,"rate":0.8,"yards":[],"novelty":1}]}';

const CATALOG =
  '{"types":[{"name":"g8","cpus":96,"gpus":8,"memory":768,"cacheGb":400,"fetchGbPerS":0.5,"price":24.5,"spotPrice":9.75,"bootS":90,"zones":["a","b"]},{"name":"c16","cpus":16,"gpus":0,"memory":64,"cacheGb":0,"fetchGbPerS":0,"price":0.8,"spotPrice":0.8,"bootS":0,"zones":[]}]}';

test('the catalog record', () => {
  const types = decodeCatalog(CLOUD_CATALOG);
  assert.ok(types.ok);
  assert.equal(JSON.stringify(encodeStoredCatalog(new Catalog(types.value))), CATALOG);
});

test('the catalog record is decoded and encoded again unchanged', () => {
  const catalog = decodeStoredCatalog(JSON.parse(CATALOG));
  assert.ok(catalog);
  assert.equal(JSON.stringify(encodeStoredCatalog(catalog)), CATALOG);
});

test('a malformed catalog record is decoded to null', () => {
  const text = CATALOG;
  const damaged = [
    '{"types":[]}',
    '{"types":{}}',
    text.replace('"price":24.5,', ''),
    text.replace('"zones":[]', '"zones":[1]'),
  ];
  for (const bad of [...INVALID_RECORDS, ...damaged]) {
    assert.notEqual(bad, text);
    assert.equal(decodeStoredCatalog(JSON.parse(bad)), null, bad);
  }
});

// ---- leadership, at the level of requests to the state service ----

interface ElectionHarness {
  election: Election;
  service: ScriptedStateService;
  pauses: number[];
  /** Runs the election until it acquires leadership, or for the given number of pauses. */
  run: (pauses: number) => Promise<void>;
  /** Term, version and lease id of the acquired leadership; empty if there is none. */
  acquiredLeadership: () => string;
}

/** An election on a scripted state service. Pauses end at once and advance the clock. */
function createElection(records: Record<string, string>): ElectionHarness {
  const clock = new FakeClock();
  const pauses: number[] = [];
  let pausesLeft = 0;
  const won: string[] = [];
  const service = new ScriptedStateService((request) => {
    if (request.startsWith('GET /store/')) {
      const key = request.slice('GET /store/'.length);
      const record = records[key];
      return record === undefined ? [404, '{"ledger":130}'] : [200, record];
    }
    if (request.startsWith('POST /grants/')) return [200, '{}'];
    if (request.startsWith('POST /grants')) return [200, '{"permit":77}'];
    if (request.startsWith('POST /multi')) return [200, '{"ledger":131}'];
    if (request.startsWith('DELETE ')) return [204, ''];
    return [410, ''];
  });
  const { leadership } = defaultOptions();
  const election = new Election({
    node: 'hearth-2',
    nonce: 'nonce-1',
    store: service.createStore(() => clock.now()),
    clock,
    random: () => 0.5,
    options: { ttlMs: leadership.lease_ms, renewMs: leadership.renew_ms },
    events: { acquired: (held) => won.push(Object.values(held).join(' ')), lost: () => undefined },
    log: silent,
    pause: (ms) => {
      pauses.push(ms);
      clock.at += ms;
      pausesLeft -= 1;
      return pausesLeft < 0 ? new Promise(() => undefined) : new Promise((resolve) => setImmediate(resolve));
    },
    requestPeerLeases: null,
    onFault: (error) => {
      assert.ifError(error);
    },
  });
  return {
    election,
    service,
    pauses,
    run: async (count) => {
      pausesLeft = count;
      election.start();
      while (pausesLeft >= 0 && won.length === 0) await new Promise((resolve) => setImmediate(resolve));
    },
    acquiredLeadership: () => won.join(' '),
  };
}

test('the first leader and term records, and the renewal and revocation of the lease', async () => {
  const { election, service, run, acquiredLeadership } = createElection({});
  await run(200);
  assert.equal(acquiredLeadership(), '1024 1 131 77');
  await new Promise((resolve) => setImmediate(resolve));
  await new Promise((resolve) => setImmediate(resolve));
  election.stepDown('ends');
  assert.equal(
    [...new Set(service.mutatingRequests())].join('\n'),
    [
      'POST /grants {"ttlMs":3000}',
      'POST /multi {"if":[{"k":"leader","stamp":0},{"k":"term","stamp":0}],"then":[{"set":"leader","data":{"node":"hearth-2","term":1024,"nonce":"nonce-1"},"permit":77},{"set":"term","data":{"n":1024}}]}',
      'POST /grants/77/renew {}',
      'DELETE /grants/77',
    ].join('\n'),
  );
});

test('the leader and term records of a later term', async () => {
  const { service, run, acquiredLeadership, election } = createElection({
    term: '{"k":"term","data":{"n":41},"stamp":120,"permit":null}',
  });
  await run(500);
  election.stop();
  assert.equal(acquiredLeadership(), '1065 42 131 77');
  const transaction = service.mutatingRequests().find((request) => request.startsWith('POST /multi'));
  assert.equal(
    transaction,
    'POST /multi {"if":[{"k":"leader","stamp":0},{"k":"term","stamp":120}],"then":[{"set":"leader","data":{"node":"hearth-2","term":1065,"nonce":"nonce-1"},"permit":77},{"set":"term","data":{"n":1065}}]}',
  );
});

test('the lease of a leader record that this node wrote in an earlier run is revoked', async () => {
  const { service, run } = createElection({
    leader: '{"k":"leader","data":{"node":"hearth-2","term":41,"nonce":"nonce-0"},"stamp":121,"permit":76}',
  });
  await run(1);
  assert.equal(
    [...new Set(service.requests)].join('\n'),
    ['GET /store/leader', 'DELETE /grants/76'].join('\n'),
  );
});

test('the node that a leader record names becomes the known leader', async () => {
  const { service, run, election } = createElection({
    leader: '{"k":"leader","data":{"node":"hearth-1","term":41,"nonce":"nonce-9"},"stamp":121,"permit":76}',
  });
  await run(1);
  assert.equal(election.leaderName(), 'hearth-1');
  assert.equal(
    [...new Set(service.requests)].join('\n'),
    ['GET /store/leader', 'GET /follow?starts=leader&since=121&holdMs=20000'].join('\n'),
  );
});

test('no election is attempted while the leader record is malformed', async () => {
  for (const data of [
    ...INVALID_RECORDS,
    '{"node":"hearth-1","term":1.5,"nonce":"n"}',
    '{"node":"hearth-1","term":1}',
  ]) {
    const { service, run, pauses, election } = createElection({
      leader: `{"k":"leader","data":${data},"stamp":121,"permit":76}`,
    });
    await run(20);
    assert.deepEqual(service.mutatingRequests(), [], data);
    assert.equal(election.leaderName(), null);
    assert.deepEqual([...new Set(pauses)], [500]);
  }
});

test('no election is attempted while the term record is malformed', async () => {
  for (const data of [...INVALID_RECORDS, '{"n":1.5}', '{"n":"1"}']) {
    const { service, run, acquiredLeadership } = createElection({
      term: `{"k":"term","data":${data},"stamp":120,"permit":null}`,
    });
    await run(300);
    assert.deepEqual(service.mutatingRequests(), [], data);
    assert.equal(acquiredLeadership(), '');
  }
});

test('every write of a leader updates the fence, on condition that the leader key and the fence are unchanged', async () => {
  const clock = new FakeClock();
  const now = (): number => clock.now();
  const service: ScriptedStateService = new ScriptedStateService(() => [
    200,
    `{"ledger":${200 + service.requests.length}}`,
  ]);
  const client = service.createStore(now);
  const writer = new LeaderWriter({
    onError: failTest,
    host: {
      compareAndSwap: (conditions, mutations, timeoutMs) =>
        client.compareAndSwap(conditions, mutations, 'lease', timeoutMs),
      readVersion: () => Promise.resolve({ kind: 'refused' }),
      onLeadershipLost: () => assert.fail('lost'),
      pause: (ms) => {
        clock.at += ms;
        return Promise.resolve();
      },
    },
    leaderVersion: 131,
    fenceVersion: 0,
    limits: { maxMutations: 4, maxBytes: 8000 },
    budget: new RateBudget(30, now),
    log: silent,
  });
  const push = (
    mutations: ReadyWrite['mutations'],
    priority: 'ends' | 'starts' | 'progress' | 'background',
  ): void => {
    writer.enqueue({ kind: 'ready', mutations, onCommitted: () => undefined }, priority);
  };
  push([{ put: KEYS.completions('req-000002', 0), value: encodeChunk(Buffer.from([5, 128])) }], 'progress');
  push([{ delete: KEYS.machineRegistry(3) }], 'background');
  push(
    [
      { put: KEYS.open('req-000001'), value: encodeTerminalRecord('done', 16) },
      { delete: KEYS.completions('req-000001', 0) },
    ],
    'ends',
  );
  writer.enqueue(
    {
      kind: 'deferred',
      maxBytes: 100,
      build: () => ({ put: KEYS.startWatermarks(0), value: encodeStartWatermarks([['req-000003', 16]]) }),
      onCommitted: () => undefined,
    },
    'starts',
  );
  for (let turn = 0; turn < 20; turn++) await new Promise((resolve) => setImmediate(resolve));
  assert.equal(
    service.requests.join('\n'),
    [
      'POST /multi {"if":[{"k":"leader","stamp":131},{"k":"fence","stamp":0}],"then":[{"set":"o/req-000001","data":{"s":"done","n":16}},{"drop":"t/req-000001/0"},{"set":"b/0","data":{"b":[["req-000003",16]]}},{"set":"fence","data":{}}]}',
      'POST /multi {"if":[{"k":"leader","stamp":131},{"k":"fence","stamp":201}],"then":[{"set":"t/req-000002/0","data":{"b":"BYA="}},{"drop":"m/3"},{"set":"fence","data":{}}]}',
    ].join('\n'),
  );
});

// ---- users' requests, at the same level ----

/** The user requests of a controller that knows no leader, on a state service with the given records. */
function createUserRequests(records: Record<string, string>): {
  requests: UserRequests;
  service: ScriptedStateService;
} {
  const clock = new FakeClock();
  const service = new ScriptedStateService((request) => {
    if (!request.startsWith('GET ')) return [200, '{"ledger":131}'];
    const key = request.slice('GET /store/'.length);
    const record = records[key];
    if (record === undefined) return [404, '{"ledger":130}'];
    return [200, `{"k":"${key}","data":${record},"stamp":125,"permit":null}`];
  });
  const client = service.createStore(() => clock.now());
  const types = decodeCatalog(CLOUD_CATALOG);
  assert.ok(types.ok);
  const catalog = new Catalog(types.value);
  const requests = new UserRequests({
    onError: failTest,
    clock,
    options: defaultOptions(),
    store: client,
    terminalStates: new TerminalStateCache(10),
    submissionBudget: new RateBudget(100, () => 0),
    teams: [{ name: 'vision', cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 }],
    catalog: () => catalog,
    leader: () => null,
    beginLeaderlessWrite: () =>
      Promise.resolve({
        term: 41,
        commit: (conditions, changes, urgency) => client.compareAndSwap(conditions, changes, urgency),
        abandon: () => undefined,
      }),
    callLeader: () => Promise.resolve(null),
    callOthers: () => Promise.resolve(null),
  });
  return { requests, service };
}

interface UserAnswer {
  status: number;
  body: string;
}
const formatAnswer = (answer: UserAnswer): string => `${answer.status} ${answer.body}`;
const submit = ({ requests }: { requests: UserRequests }, body: string): Promise<string> =>
  new Promise((resolve) => {
    requests.submit(body, (answer) => {
      resolve(formatAnswer(answer));
    });
  });
const poll = ({ requests }: { requests: UserRequests }, id: string): Promise<string> =>
  new Promise((resolve) => {
    requests.poll(id, (answer) => {
      resolve(formatAnswer(answer));
    });
  });
const cancel = ({ requests }: { requests: UserRequests }, id: string): Promise<string> =>
  new Promise((resolve) => {
    requests.cancel(id, (answer) => {
      resolve(formatAnswer(answer));
    });
  });

test('a submission writes the open record on condition that the job has no record', async () => {
  const side = createUserRequests({});
  assert.equal(await submit(side, GANG), '201 {"uid":"req-000412","stage":"pending","done":0,"running":0}');
  assert.equal(
    side.service.requests.join('\n'),
    'POST /multi {"if":[{"k":"o/req-000412","stamp":0},{"k":"f/req-000412","stamp":0}],"then":[{"set":"o/req-000412","data":{"at":1800000000000,"job":{"uid":"req-000412","batch":"train","crew":"vision","shape":"ensemble","rank":"urgent","loaves":16,"cores":8,"accelerators":1,"memGb":64,"ovens":["g8"],"yard":null,"samePlace":true,"apart":false,"borrowed":true,"recipe":"img-07","imageGb":6.2,"bakeS":240,"proofS":30,"coolS":4,"dueS":900}}}]}',
  );
});

test('a cancellation without a leader replaces the open record by the terminal record', async () => {
  const side = createUserRequests({ 'o/req-000412': OPEN_RECORDS.gang });
  assert.equal(
    await cancel(side, 'req-000412'),
    '200 {"uid":"req-000412","stage":"aborted","done":0,"running":0}',
  );
  assert.equal(
    side.service.requests.join('\n'),
    [
      'GET /store/o/req-000412',
      'POST /multi {"if":[{"k":"o/req-000412","stamp":125}],"then":[{"set":"o/req-000412","data":{"s":"cancelled","n":0}}]}',
    ].join('\n'),
  );
});

test('answers to users for each stored record of a job, also a malformed one', async () => {
  const states = [
    await poll(createUserRequests({ 'o/req-000412': OPEN_RECORDS.gang }), 'req-000412'),
    await poll(createUserRequests({ 'o/req-000412': '{"s":"done","n":16}' }), 'req-000412'),
    await poll(createUserRequests({ 'f/req-000412': '{"s":"cancelled","n":3}' }), 'req-000412'),
    await poll(createUserRequests({}), 'req-000412'),
    // A malformed record under the open key still shows that the job exists. With a malformed archived record, its
    // outcome is unknown.
    await poll(createUserRequests({ 'o/req-000412': '{"at":7}' }), 'req-000412'),
    await poll(createUserRequests({ 'f/req-000412': '{"at":7}' }), 'req-000412'),
    await cancel(createUserRequests({ 'o/req-000412': '{"at":7}' }), 'req-000412'),
  ];
  assert.equal(
    states.join('\n'),
    [
      '200 {"uid":"req-000412","stage":"pending","done":0,"running":0}',
      '200 {"uid":"req-000412","stage":"done","done":16,"running":0}',
      '200 {"uid":"req-000412","stage":"aborted","done":3,"running":0}',
      '404 {"error":"no such job"}',
      '200 {"uid":"req-000412","stage":"pending","done":0,"running":0}',
      '503 {"error":"state not known now"}',
      '503 {"error":"can not be cancelled now"}',
    ].join('\n'),
  );
});
