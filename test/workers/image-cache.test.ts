import assert from 'node:assert/strict';
import test from 'node:test';
import { ImageCache } from '../../src/workers/image-cache.ts';

test('fetches run one after the other, and an abandoned fetch leaves no image on the machine', () => {
  const images = new ImageCache();
  images.noteFetch('first', 10_000, 1000);
  images.noteFetch('second', 5000, 2000);
  assert.deepEqual([images.getReadyAt('first'), images.getReadyAt('second')], [11_000, 16_000]);
  assert.equal(images.fetchingUntil, 16_000);
  images.abandonFetch('second', 3000);
  assert.equal(images.has('second'), false);
  assert.equal(images.fetchingUntil, 11_000);
  images.notePresent('first', 9000);
  assert.equal(images.getReadyAt('first'), 9000, 'the image was complete earlier than expected');
  images.clear();
  assert.deepEqual([...images.keys()], []);
});
