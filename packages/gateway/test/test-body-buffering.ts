import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BodyBuffering, shortBodyBytes} from '@dogwooddeck/gateway/body-buffering';

const maxBytes = 1_000_000;
const reservedBytes = 2 * shortBodyBytes;
const long = shortBodyBytes + 1;

/** Each body comes in pieces; the pieces of all bodies come by turns. */
const cases: ReadonlyArray<{readonly name: string; readonly bodies: ReadonlyArray<readonly number[]>; readonly whole: readonly boolean[]}> = [
	{name: 'one body', bodies: [[600_000, 400_000]], whole: [true]},
	{name: 'one body that is longer than all may be', bodies: [[600_000, 600_000, 600_000]], whole: [true]},
	{name: 'bodies that fit together', bodies: [[200_000, 200_000], [300_000, 300_000]], whole: [true, true]},
	{name: 'a long body beside one that takes all', bodies: [[1_000_000], [long]], whole: [true, false]},
	{name: 'short bodies beside one that takes all', bodies: [[1_000_000], [shortBodyBytes], [shortBodyBytes], [1]], whole: [true, true, true, false]},
	{name: 'a body that is no longer short', bodies: [[1_000_000], [shortBodyBytes, 1]], whole: [true, false]},
	{name: 'a body beside one that is too long', bodies: [[2_000_000], [long]], whole: [true, false]},
	{name: 'short bodies beside one that is too long', bodies: [[2_000_000], [shortBodyBytes], [shortBodyBytes], [1]], whole: [true, true, true, false]},
	{name: 'bodies that grow together', bodies: [[400_000, 400_000], [400_000, 400_000]], whole: [false, true]},
	{name: 'a thousand bodies at once', bodies: Array.from({length: 1000}, () => [100_000]), whole: Array.from({length: 1000}, (_, position) => position < 10)},
];

for (const {name, bodies, whole} of cases) {
	test(`body buffering: ${name}`, () => {
		const buffering = new BodyBuffering(maxBytes, reservedBytes);
		const kept = bodies.map(() => 0);
		const isWhole = bodies.map(() => true);
		const turns = Math.max(...bodies.map(pieces => pieces.length));
		for (let turn = 0; turn < turns; turn += 1) {
			for (const [position, pieces] of bodies.entries()) {
				const bytes = pieces[turn];
				if (bytes === undefined || !isWhole[position]) {
					continue;
				}

				if (buffering.tryKeep(bytes, kept[position]!)) {
					kept[position]! += bytes;
				} else {
					isWhole[position] = false;
					buffering.release(kept[position]!);
					kept[position] = 0;
				}
			}
		}

		assert.deepEqual(isWhole, whole);
		for (const bytes of kept) {
			buffering.release(bytes);
		}

		assert.equal(buffering.bytes, 0);
	});
}
