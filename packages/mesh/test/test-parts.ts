import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {PartAssembler, partBytes, splitMessage} from '@dogwooddeck/mesh/parts';

const lengths: ReadonlyArray<{readonly name: string; readonly bytes: number; readonly parts: number}> = [
	{name: 'an empty message', bytes: 0, parts: 1},
	{name: 'a short message', bytes: 10, parts: 1},
	{name: 'a message of exactly one part', bytes: partBytes, parts: 1},
	{name: 'a message of one byte more', bytes: partBytes + 1, parts: 2},
	{name: 'a long message', bytes: 10 * partBytes, parts: 10},
];

for (const {name, bytes, parts: count} of lengths) {
	test(`parts: ${name} is split and reassembled`, () => {
		const message = Buffer.from(Array.from({length: bytes}, (_, position) => position % 251));
		const assembler = new PartAssembler(10 * partBytes);
		for (const round of [1, 2]) {
			const parts = splitMessage(message);
			assert.equal(parts.length, count);
			const assembled = parts.map(part => assembler.add(part).unwrapOr(undefined));
			assert.deepEqual(assembled.slice(0, -1).filter(Boolean), [], `round ${round}`);
			assert.deepEqual(assembled.at(-1), message);
		}
	});
}

const refused: ReadonlyArray<{readonly name: string; readonly parts: readonly Buffer[]; readonly kind: FailureKind}> = [
	{name: 'no bytes', parts: [Buffer.alloc(0)], kind: FailureKind.malformed},
	{name: 'bytes that are not a part', parts: [Buffer.from('{}')], kind: FailureKind.malformed},
	{name: 'a message that is too long', parts: splitMessage(Buffer.alloc(100)), kind: FailureKind.tooLarge},
];

for (const {name, parts, kind} of refused) {
	test(`parts: ${name} is refused as ${kind}`, () => {
		const assembler = new PartAssembler(99);
		const results = parts.map(part => assembler.add(part));
		const last = results.at(-1)!;
		assert.ok(last.isErr);
		assert.equal(last.error.kind, kind);
	});
}
