import assert from 'node:assert/strict';
import test from 'node:test';
import { parse } from 'yaml';
import { required } from '../../src/base/required.ts';
import { defaultOptions, parseOptions } from '../../src/config/options.ts';
import { ConfigError, parseSettings } from '../../src/config/settings.ts';
import { SETTINGS } from './sample.ts';

test('settings are parsed, and unknown fields are ignored', () => {
  const settings = parseSettings(JSON.stringify({ ...SETTINGS, novelty: 1 }));
  assert.equal(settings.host_name, 'hearth-0');
});

test('an invalid settings file is rejected with the name of the field', () => {
  const invalid = structuredClone(SETTINGS) as { settings: { workers: { lease_s: unknown } } };
  invalid.settings.workers.lease_s = 'long';
  assert.throws(() => parseSettings(JSON.stringify(invalid)), /settings\.workers\.lease_s/);
  assert.throws(() => parseSettings('{'), ConfigError);
});

test('a limit below its minimum is rejected with its name, and the minimum itself is accepted', () => {
  const limits: [string, string, number, number][] = [
    ['limits', 'sockets', 31, 32],
    ['state', 'txn_ops', 2, 3],
    ['state', 'value_kb', 0.5, 1],
    ['state', 'rps', 0, 1],
    ['state', 'write_rps', 0.5, 1],
  ];
  for (const [section, field, tooSmall, enough] of limits) {
    const settings = structuredClone(SETTINGS) as unknown as {
      settings: Record<string, Record<string, number>>;
    };
    const fields = required(settings.settings[section], section);
    fields[field] = tooSmall;
    assert.throws(() => parseSettings(JSON.stringify(settings)), new RegExp(`settings.${section}.${field}`));
    fields[field] = enough;
    parseSettings(JSON.stringify(settings));
  }
});

test('missing options have their defaults; unknown keys and values out of bounds are errors', () => {
  const options = parseOptions(parse('fleet:\n  idle_s: 7\n'));
  assert.equal(options.fleet.idle_s, 7);
  assert.equal(options.scheduling.takeover_wait_s, defaultOptions().scheduling.takeover_wait_s);
  assert.throws(() => parseOptions({ fleet: { idel_s: 7 } }), /idel_s/);
  assert.throws(() => parseOptions({ fleets: {} }), /fleets/);
  assert.throws(() => parseOptions({ fleet: { idle_s: -1 } }), /idle_s/);
});
