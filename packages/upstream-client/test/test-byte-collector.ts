/** A body that comes in small pieces takes little more memory than its bytes. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {ByteCollector} from '@dogwooddeck/upstream-client/byte-collector';

const cases: ReadonlyArray<{readonly name: string; readonly pieces: readonly number[]; readonly expectedBytes?: number; readonly maximumBytes?: number}> = [
	{name: 'no piece', pieces: []},
	{name: 'an empty piece', pieces: [0]},
	{name: 'one small piece', pieces: [1]},
	{name: 'one large piece', pieces: [300_000]},
	{name: 'many small pieces', pieces: Array.from({length: 20_000}, () => 7)},
	{name: 'pieces that grow', pieces: Array.from({length: 600}, (_, position) => position)},
	{name: 'large and small pieces by turns', pieces: Array.from({length: 40}, (_, position) => position % 2 === 0 ? 70_000 : 1)},
	{name: 'as many bytes as expected', pieces: [1000, 2000, 3000], expectedBytes: 6000},
	{name: 'fewer bytes than expected', pieces: [1000], expectedBytes: 6000},
	{name: 'more bytes than expected', pieces: [5000, 5000], expectedBytes: 6000},
	{name: 'a long body in large pieces', pieces: Array.from({length: 60}, () => 65_000), maximumBytes: 4_000_000},
	{name: 'a long body in odd pieces, to its greatest length', pieces: Array.from({length: 120}, (_, position) => position % 2 === 0 ? 99_999 : 1), maximumBytes: 6_000_000},
	{name: 'a long body in one piece', pieces: [3_000_000], maximumBytes: 4_000_000},
	{name: 'a body that is longer than said', pieces: [1_500_000, 1_500_000], maximumBytes: 2_000_000},
];

function bytesOf(length: number, start: number): Buffer {
	return Buffer.from(Uint8Array.from({length}, (_, position) => (start + position) % 251));
}

for (const {
	name, pieces, expectedBytes, maximumBytes,
} of cases) {
	test(`byte collector: ${name}`, () => {
		const collector = new ByteCollector(expectedBytes, maximumBytes);
		let total = 0;
		for (const length of pieces) {
			collector.add(bytesOf(length, total));
			total += length;
			assert.equal(collector.length, total);
		}

		const bytes = collector.take();
		assert.ok(bytes.equals(bytesOf(total, 0)));
		assert.equal(collector.length, 0);
		assert.equal(collector.take().length, 0);
	});
}

test('byte collector: a piece may change after it was added', () => {
	const collector = new ByteCollector();
	const piece = Buffer.from('before');
	collector.add(piece);
	piece.write('after!');
	assert.equal(collector.take().toString(), 'before');
});
