/**
 * The randomized election timeout: voters with similar seeds must not split the votes again and again.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ConsensusOptions} from '@dogwooddeck/consensus/voter-interface';
import {drawElectionTimeout} from '@dogwooddeck/consensus/election';
import {createVoter} from '@dogwooddeck/consensus/voter';

const electionMilliseconds = 750;
const draws = 40;

/** Two voters that start elections within a round trip between regions split the votes. */
const roundTripMilliseconds = 60;

/** Voters that lose their leader at the same time may split the votes twice in a row, rarely more often. */
const maxConsecutiveSplits = 4;

function timeoutOf(seed: number, draw: number): number {
	const options: ConsensusOptions = {
		self: {name: 'a', folder: 'f'}, electionMilliseconds, heartbeatMilliseconds: 150, entriesBeforeSnapshot: 100, seed,
	};
	return drawElectionTimeout(options, draw);
}

function consecutiveSplits(one: number, other: number): number {
	let longest = 0;
	let current = 0;
	for (let draw = 0; draw < draws; draw += 1) {
		const isSplit = Math.abs(timeoutOf(one, draw) - timeoutOf(other, draw)) < roundTripMilliseconds;
		current = isSplit ? current + 1 : 0;
		longest = Math.max(longest, current);
	}

	return longest;
}

const pairs: ReadonlyArray<{readonly name: string; readonly one: number; readonly other: number}> = [
	{name: 'consecutive seeds', one: 1, other: 2},
	{name: 'seeds an election timeout apart', one: 1000, other: 1750},
	{name: 'seeds that differ only in the highest bit', one: 5, other: 5 + (2 ** 30)},
	{name: 'seeds that differ by ten', one: 1_789_530_772, other: 1_789_530_782},
	{name: 'seeds derived from addresses', one: 912_345_678, other: 1_512_345_660},
];

for (const {name, one, other} of pairs) {
	test(`election timeout: voters with ${name} do not start elections together again and again`, () => {
		assert.ok(consecutiveSplits(one, other) <= maxConsecutiveSplits, `${consecutiveSplits(one, other)} consecutive elections within a round trip`);
	});
}

test('election timeout: draws cover the range from one to two times electionMilliseconds', () => {
	const timeouts = Array.from({length: 400}, (_value, draw) => timeoutOf(7, draw));
	assert.ok(Math.min(...timeouts) >= electionMilliseconds && Math.min(...timeouts) < electionMilliseconds * 1.1);
	assert.ok(Math.max(...timeouts) <= electionMilliseconds * 2 && Math.max(...timeouts) > electionMilliseconds * 1.9);
});

const starts: ReadonlyArray<{readonly name: string; readonly fields: Partial<ConsensusOptions>; readonly electionBefore: number; readonly votesAfter: number}> = [
	{
		name: 'after the usual timeout', fields: {}, electionBefore: electionMilliseconds * 2, votesAfter: electionMilliseconds,
	},
	{
		name: 'sooner if the options say so', fields: {firstElectionMilliseconds: 100, startupVoteDelayMilliseconds: 0}, electionBefore: 200, votesAfter: 0,
	},
];

for (const {name, fields, electionBefore, votesAfter} of starts) {
	test(`election timeout: the first election after a start comes ${name}`, () => {
		const options: ConsensusOptions = {
			self: {name: 'a', folder: 'f'}, electionMilliseconds, heartbeatMilliseconds: 150, entriesBeforeSnapshot: 100, seed: 3, ...fields,
		};
		const state = createVoter(options, {hardState: {term: 1}, entries: []}, 1000);
		assert.ok(state.electionAt <= 1000 + electionBefore);
		assert.equal(state.leaderContactAt + electionMilliseconds, 1000 + votesAfter);
	});
}
