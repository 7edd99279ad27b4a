import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	burst, longestPiece, LoopShare, ownBurst, share,
} from '@dogwooddeck/loop-share/loop-share';

/** The sender of a piece, and the time since the piece before it. */
type Piece = readonly [peer: string, gap: number];

function repeat(count: number, ...pieces: Piece[]): Piece[] {
	return Array.from({length: count}, () => pieces).flat();
}

const cases: ReadonlyArray<{readonly name: string; readonly pieces: readonly Piece[]; readonly throttled: readonly string[]}> = [
	{name: 'a peer that sends a few pieces', pieces: repeat(15, ['a', longestPiece]), throttled: []},
	{name: 'many peers that send a piece each', pieces: Array.from({length: 10_000}, (_, position): Piece => [`${position}`, 0.002]), throttled: []},
	{name: 'many peers that send a few pieces each', pieces: Array.from({length: 1000}, (_, position): Piece[] => repeat(10, [`${position}`, 0.02])).flat(), throttled: []},
	{name: 'a peer on a slow line', pieces: repeat(10_000, ['a', 1]), throttled: []},
	{name: 'one that sends pieces without end', pieces: repeat(10_000, ['a', 0.002]), throttled: ['a']},
	{name: 'a few pieces beside pieces without end', pieces: [...repeat(10_000, ['a', 0.002]), ...repeat(10, ['b', 0.002])], throttled: ['a']},
	{name: 'two that send pieces without end by turns', pieces: [...repeat(2000, ['a', 0.002]), ...repeat(4000, ['b', 0.002]), ...repeat(1000, ['a', 0.002])], throttled: ['b', 'a']},
	{name: 'a process that does not run for a second', pieces: [...repeat(10, ['a', 0.002]), ['a', 1000], ...repeat(10, ['b', 0.002]), ['b', 1000]], throttled: []},
];

for (const {name, pieces, throttled} of cases) {
	test(`loop share: ${name}`, () => {
		const loop = new LoopShare<string>();
		let now = 0;
		const seen: string[] = [];
		for (const [peer, gap] of pieces) {
			now += gap;
			if (loop.charge(peer, now)) {
				seen.push(peer);
			}
		}

		assert.deepEqual(seen, throttled);
	});
}

const greedyCases: ReadonlyArray<{readonly peers: number; readonly pieceMilliseconds: number; readonly piecesOfRead: number}> = [
	{peers: 1, pieceMilliseconds: 0.001, piecesOfRead: 2700},
	{peers: 10, pieceMilliseconds: 0.002, piecesOfRead: 2700},
	{peers: 60, pieceMilliseconds: 0.002, piecesOfRead: 10_900},
	{peers: 60, pieceMilliseconds: 0.02, piecesOfRead: 10_900},
];
const playedMilliseconds = 60_000;

/** Guards against a loop that a few peers keep for themselves: others are late, or taken for the cause. */
for (const {peers, pieceMilliseconds, piecesOfRead} of greedyCases) {
	test(`loop share: ${peers} peers with ${piecesOfRead} pieces of ${pieceMilliseconds} ms at each read`, () => {
		const loop = new LoopShare<string>();
		const reads = new Map<string, number>();
		const readMilliseconds = pieceMilliseconds * piecesOfRead;
		let ready = Array.from({length: peers}, (_, position) => `${position}`);
		let now = 0;
		let taken = 0;
		while (now < playedMilliseconds) {
			const turn = ready;
			ready = [];
			for (const peer of turn) {
				reads.set(peer, (reads.get(peer) ?? 0) + 1);
				let isThrottled = false;
				for (let piece = 0; piece < piecesOfRead; piece += 1) {
					now += pieceMilliseconds;
					isThrottled = loop.charge(peer, now) || isThrottled;
				}

				taken += readMilliseconds;
				if (!isThrottled) {
					ready.push(peer);
				}
			}

			now += 1;
			const next = loop.takeNext(now);
			if (next !== undefined) {
				ready.push(next);
			}
		}

		// Each peer may read once before it is known; one read goes on beyond the share.
		const unknown = (peers + 1) * readMilliseconds;
		assert.ok(taken <= (share * now) + burst + (peers * ownBurst) + unknown, `${taken} of ${now} ms`);
		const counts = [...reads.values()];
		assert.equal(counts.length, peers);
		assert.ok(Math.max(...counts) <= Math.min(...counts) + 2, 'peers take turns');
	});
}

/** Sends pieces of several peers until each is throttled. */
function throttleAll(loop: LoopShare<string>, peers: readonly string[]): number {
	let now = 0;
	for (const peer of peers) {
		for (let piece = 0; piece < 5000; piece += 1) {
			now += 0.002;
			loop.charge(peer, now);
		}
	}

	return now;
}

const longWait = 1000;
const endCases: ReadonlyArray<{readonly name: string; readonly act: (loop: LoopShare<string>) => void; readonly wait: number; readonly next: string | undefined}> = [
	{
		name: 'a throttled peer waits', act: () => undefined, wait: 1, next: undefined,
	},
	{
		name: 'the peer that was throttled first is continued first', act: () => undefined, wait: longWait, next: 'a',
	},
	{
		name: 'a peer whose connection has closed is not continued', act(loop) {
			loop.forget('a');
		}, wait: longWait, next: 'b',
	},
	{
		name: 'what a closed peer took counts on', act(loop) {
			loop.forget('a');
		}, wait: 1, next: undefined,
	},
	{
		name: 'a peer is continued once the loop had nothing to do', act(loop) {
			loop.recordIdle();
		}, wait: 0, next: 'a',
	},
];

for (const {name, act, wait, next} of endCases) {
	test(`loop share: ${name}`, () => {
		const loop = new LoopShare<string>();
		const now = throttleAll(loop, ['a', 'b']);
		act(loop);
		assert.equal(loop.takeNext(now + wait), next);
	});
}
