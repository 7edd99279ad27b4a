import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type VoterIdentity, type VoterSet} from '@dogwooddeck/consensus/message';
import {voterChangeProblem} from '@dogwooddeck/consensus/voter-set';
import {
	lostLearnerMilliseconds, lostVoterMilliseconds, nextVoterSet, type VoterObservation,
} from '@dogwooddeck/replica/succession';

const now = 100_000;

function voter(name: string, folder = 'founder'): VoterIdentity {
	return {name, folder};
}

function seen(identity: VoterIdentity, ago = 100): VoterObservation {
	return {voter: identity, heardAt: now - ago};
}

const [one, two, three, four] = ['1', '2', '3', '4'].map(name => voter(name)) as [VoterIdentity, VoterIdentity, VoterIdentity, VoterIdentity];
const renewed = voter('2', 'new');

const cases: ReadonlyArray<{readonly name: string; readonly voterSet: VoterSet; readonly sightings: readonly VoterObservation[]; readonly next: VoterSet | undefined}> = [
	{
		name: 'nothing to do', voterSet: {voters: [one, two, three], learners: [four]}, sightings: [seen(one), seen(two), seen(three), seen(four)], next: undefined,
	},
	{
		name: 'a newcomer becomes a learner', voterSet: {voters: [one, two, three], learners: []}, sightings: [seen(one), seen(two), seen(three), seen(four)], next: {voters: [one, two, three], learners: [four]},
	},
	{
		name: 'a short silence replaces nobody', voterSet: {voters: [one, two, three], learners: [four]}, sightings: [seen(one), seen(two, lostVoterMilliseconds - 1), seen(three), seen(four)], next: undefined,
	},
	{
		name: 'a long silence brings the standby in first', voterSet: {voters: [one, two, three], learners: [four]}, sightings: [seen(one), seen(two, lostVoterMilliseconds + 1), seen(three), seen(four)], next: {voters: [one, two, three, four], learners: []},
	},
	{
		name: 'and then lets the lost one go', voterSet: {voters: [one, two, three, four], learners: []}, sightings: [seen(one), seen(two, lostVoterMilliseconds + 1), seen(three), seen(four)], next: {voters: [one, three, four], learners: []},
	},
	{
		name: 'without a standby the lost one stays', voterSet: {voters: [one, two, three], learners: []}, sightings: [seen(one), seen(two, lostVoterMilliseconds + 1), seen(three)], next: undefined,
	},
	{
		name: 'a lost disk is replaced by the standby', voterSet: {voters: [one, two, three], learners: [four, renewed]}, sightings: [seen(one), seen(two, 900), seen(renewed), seen(three), seen(four)], next: {voters: [one, two, three, four], learners: [renewed]},
	},
	{
		name: 'without a standby its own instance takes its place, after the old one has gone', voterSet: {voters: [one, two, three], learners: [renewed]}, sightings: [seen(one), seen(two, 900), seen(renewed), seen(three)], next: {voters: [one, three], learners: [renewed]},
	},
	{
		name: 'and then votes', voterSet: {voters: [one, three], learners: [renewed]}, sightings: [seen(one), seen(renewed), seen(three)], next: {voters: [one, three, renewed], learners: []},
	},
	{
		name: 'a learner that is gone is forgotten', voterSet: {voters: [one, two, three], learners: [four]}, sightings: [seen(one), seen(two), seen(three), seen(four, lostLearnerMilliseconds + 1)], next: {voters: [one, two, three], learners: []},
	},
];

for (const {name, voterSet, sightings, next} of cases) {
	test(`succession: ${name}`, () => {
		const found = nextVoterSet({
			now, self: one, voterSet, sightings, wantedVoters: 3,
		});
		assert.deepEqual(found, next);
		assert.equal(found === undefined ? undefined : voterChangeProblem(voterSet, found, one), undefined);
	});
}
