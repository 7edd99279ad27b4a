import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import {decodeMessage, encodeMessage, largestMessageBytes} from '@dogwooddeck/mesh/encoding';

/** A log entry that changes routes. */
function change(routes: number): unknown {
	const changes = Array.from({length: routes}, (_, position) => {
		const value = {
			hostname: `h${position * 7919}.example`, pathPrefix: `/p${position * 104_729}/`, idempotent: true, timeoutMilliseconds: 1000, objectiveMilliseconds: 500, priority: 2, targets: [{service: 's', weight: 1}],
		};
		return {kind: 'route', name: `r${position}`, item: {version: 7, value, document: JSON.stringify(value)}};
	});
	return {body: {kind: 'command', payload: JSON.stringify([{kind: 'itemsChanged', changes}])}};
}

const cases: ReadonlyArray<{readonly name: string; readonly value: unknown; readonly maximumShare: number}> = [
	{name: 'a short message', value: {kind: 'preVoteAnswered', term: 3, granted: true}, maximumShare: 1},
	{name: 'a change of 500 routes', value: change(500), maximumShare: 0.2},
	{name: 'text with multibyte characters', value: {text: 'é€𝄞'.repeat(1000)}, maximumShare: 0.2},
];

for (const {name, value, maximumShare} of cases) {
	test(`encoding: ${name} is decoded to the same value, and its encoded size is at most ${maximumShare} of its JSON`, () => {
		const bytes = encodeMessage(value);
		assert.deepEqual(decodeMessage(bytes), value);
		assert.ok(bytes.length <= maximumShare * Buffer.byteLength(JSON.stringify(value)), `${bytes.length}`);
	});
}

const refused: ReadonlyArray<{readonly name: string; readonly bytes: Buffer}> = [
	{name: 'an empty message', bytes: Buffer.alloc(0)},
	{name: 'a message that is neither JSON nor compressed', bytes: Buffer.from([7, 7, 7])},
	{name: 'a truncated compressed message', bytes: encodeMessage(change(50)).subarray(0, 200)},
	{name: 'a short message that decompresses to more than the maximum size', bytes: Buffer.concat([Buffer.of(1), deflateRawSync(Buffer.alloc(largestMessageBytes + 1))])},
];

for (const {name, bytes} of refused) {
	test(`encoding: ${name} is refused`, () => {
		assert.throws(() => decodeMessage(bytes), Error);
	});
}
