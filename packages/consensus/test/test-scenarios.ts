/**
 * Fixed scenarios of elections, partitions, voter changes and leadership transfer,
 * each simulated with several seeds.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {noFaults, options} from './faults.js';
import {
	threeNames, fiveNames, proposeMany, startSimulation,
} from './start-simulation.js';
import {Role} from '@dogwooddeck/consensus/voter-interface';
import {
	createVoter, bootstrapFolder, quorumContactAt, roleOf, stepVoter, termOf, voterSetOf, type VoterState,
} from '@dogwooddeck/consensus/voter';
import {type ConsensusEnvelope, type VoterSet} from '@dogwooddeck/consensus/message';

const scenarios: ReadonlyArray<{readonly name: string; readonly run: (seed: number) => void}> = [
	{
		name: 'a single voter becomes leader, accepts proposals and answers reads',
		run(seed) {
			const simulation = startSimulation(seed, ['a']);
			proposeMany(simulation, 100);
			const read = simulation.read(simulation.leader()!);
			assert.equal(simulation.accepted.size, 100);
			assert.ok(simulation.readIndexes.has(read));
		},
	},
	{
		name: 'a partitioned leader steps down, answers no read and accepts no proposal',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			const oldLeader = simulation.leader()!;
			simulation.partitioned.add(oldLeader.name);
			const read = simulation.read(oldLeader);
			const proposal = simulation.propose(oldLeader, 'lost');
			assert.ok(simulation.run(20_000, noFaults, () => simulation.leader() !== undefined));
			proposeMany(simulation, 20);
			simulation.run(20_000);
			assert.equal(simulation.refused.get(read), 'no-quorum');
			assert.equal(simulation.refused.get(proposal), 'outcome-unknown');
			assert.equal(simulation.refused.get(simulation.propose(oldLeader)), 'no-quorum');
			assert.equal(simulation.refused.get(simulation.read(oldLeader)), 'no-quorum');
			assert.equal(quorumContactAt(oldLeader.voter!, simulation.now), undefined);
			assert.ok(!simulation.accepted.has('lost'));
			simulation.converge();
			assert.equal(simulation.accepted.size, 20);
		},
	},
	{
		name: 'a voter that restarts hundreds of entries behind receives a snapshot and the later entries',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			const downNode = simulation.nodes.find(node => node !== simulation.leader())!;
			simulation.crash(downNode, 30_000);
			proposeMany(simulation, 400);
			simulation.converge();
			assert.ok(simulation.snapshotsSent > 0);
			assert.equal(downNode.machine.length, 400);
		},
	},
	{
		name: 'a new folder counts as another voter, and a second lost folder right after the repair loses no entry',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			proposeMany(simulation, 60);
			const first = simulation.leader()!;
			simulation.loseDisk(first, 100);
			assert.ok(!simulation.isVoterSetComplete());
			simulation.run(2000);
			assert.equal(roleOf(first.voter!), Role.learner);
			assert.ok(simulation.run(30_000, noFaults, () => {
				simulation.repair();
				return simulation.isVoterSetComplete();
			}));
			simulation.loseDisk(simulation.nodes.find(node => node !== first)!, 100);
			simulation.converge();
			assert.equal(simulation.accepted.size, 60);
		},
	},
	{
		name: 'voters change one at a time, and learners become voters only after they have caught up',
		run(seed) {
			const simulation = startSimulation(seed, fiveNames);
			const leader = simulation.leader()!;
			const {voters} = voterSetOf(leader.voter!);
			const others = voters.filter(voter => voter.name !== leader.name);
			const stranger = {name: 'x', folder: 'x'};
			const cases: ReadonlyArray<readonly [VoterSet, string | undefined]> = [
				[{voters: [...voters, stranger], learners: []}, 'conflict'],
				[{voters: voters.filter(voter => !others.slice(0, 2).includes(voter)), learners: []}, 'conflict'],
				[{voters: others, learners: []}, 'conflict'],
				[{voters, learners: [stranger]}, undefined],
				[{voters, learners: []}, 'conflict'],
			];
			for (const [voterSet, expected] of cases) {
				assert.equal(simulation.refused.get(simulation.changeVoters(leader, voterSet)), expected);
			}

			simulation.run(500);
			assert.equal(simulation.refused.get(simulation.changeVoters(leader, {voters: [...voters, stranger], learners: []})), 'conflict');
		},
	},
	{
		name: 'a voter that was partitioned for a long time returns without causing an election',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			const leader = simulation.leader()!;
			const term = termOf(leader.voter!);
			simulation.partitioned.add(simulation.nodes.find(node => node !== leader)!.name);
			simulation.run(20_000);
			simulation.converge();
			assert.equal(termOf(leader.voter!), term);
			assert.equal(roleOf(leader.voter!), Role.leader);
		},
	},
	{
		name: 'a leader that was paused answers no read after another was elected',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			proposeMany(simulation, 5);
			const oldLeader = simulation.leader()!;
			oldLeader.pausedUntil = simulation.now + 5000;
			assert.ok(simulation.run(5000, noFaults, () => simulation.leader() !== oldLeader));
			proposeMany(simulation, 5);
			oldLeader.pausedUntil = 0;
			const read = simulation.read(oldLeader);
			simulation.converge();
			assert.equal(simulation.refused.get(read), 'not-leader');
		},
	},
	{
		name: 'a voter votes for a log at least as recent as its own, a learner only for a newer one',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			simulation.converge();
			simulation.run(500);
			const {identity, voter} = simulation.nodes.find(node => node !== simulation.leader())!;
			const {term} = voter!.hardState;
			const {lastIndex} = voter!.log;
			const learnerSet = {voters: [identity], learners: [{name: 'x', folder: 'x'}]};
			const learner = createVoter({...options, self: learnerSet.learners[0]!, seed}, {
				hardState: {term}, entries: [], snapshot: {
					index: lastIndex, term, voterSet: learnerSet, data: '',
				},
			}, 0);
			const cases: ReadonlyArray<readonly [VoterState, number, number, boolean]> = [
				[voter!, lastIndex, term, true],
				[voter!, lastIndex - 1, term, false],
				[voter!, lastIndex + 9, term - 1, false],
				[learner, lastIndex, term, false],
				[learner, lastIndex + 1, term, true],
			];
			for (const [state, index, lastTerm, granted] of cases) {
				const message = {
					kind: 'preVoteRequested', term: term + 1, lastIndex: index, lastTerm,
				} as const;
				const event = {kind: 'received', now: 100_000, envelope: {from: {name: 'z', folder: 'z'}, to: state.options.self, message}} as const;
				const answers = stepVoter(state, event).effects.flatMap(effect => effect.kind === 'send' ? [effect.envelope.message] : []);
				assert.deepEqual(answers.map(answer => answer.kind === 'preVoteAnswered' && answer.granted), [granted]);
			}
		},
	},
	{
		name: 'a leadership transfer takes less than an election timeout',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			proposeMany(simulation, 5);
			const oldLeader = simulation.leader()!;
			simulation.handle(oldLeader, {kind: 'handOverRequested', now: simulation.now});
			assert.equal(simulation.refused.get(simulation.propose(oldLeader)), 'not-leader');
			const hasMoved = () => simulation.leader() !== undefined && simulation.leader() !== oldLeader;
			assert.ok(simulation.run(options.electionMilliseconds, noFaults, hasMoved));
			simulation.converge();
		},
	},
	{
		name: 'a leader whose leadership transfer fails steps down all the same',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			simulation.converge();
			const oldLeader = simulation.leader()!;
			simulation.handle(oldLeader, {kind: 'handOverRequested', now: simulation.now});
			simulation.partitioned.add(oldLeader.voter!.leadership!.transfer!.successor.name);
			simulation.run(options.electionMilliseconds + 50);
			assert.notEqual(roleOf(oldLeader.voter!), Role.leader);
			simulation.converge();
		},
	},
	{
		name: 'misaddressed and malformed envelopes are ignored',
		run(seed) {
			const simulation = startSimulation(seed, threeNames);
			const node = simulation.leader()!;
			const from = {name: 'b', folder: bootstrapFolder};
			const message = {kind: 'voteAnswered', term: 99, granted: false} as const;
			const envelopes: readonly unknown[] = [
				{from, to: {name: node.name, folder: 'other'}, message},
				{from: node.identity, to: node.identity, message},
				{from, to: node.identity, message: {kind: 'toString', term: 99}},
				{from, to: node.identity, message: {...message, term: -1}},
				{from, to: node.identity, message: undefined},
				{from: undefined, to: node.identity, message},
				{
					from, to: node.identity, message: {
						kind: 'appendRequested', term: 99, previousIndex: 0, previousTerm: 0, entries: [null], committed: 0, round: 1,
					},
				},
				{
					from, to: node.identity, message: {
						kind: 'snapshotSent', term: 99, snapshot: {index: 5}, round: 1,
					},
				},
			];
			for (const envelope of envelopes) {
				const before = node.voter;
				simulation.handle(node, {kind: 'received', now: simulation.now, envelope: envelope as ConsensusEnvelope});
				assert.deepEqual(node.voter, before);
			}
		},
	},
];

const seed = Number(process.env.SEED ?? 1);

for (const {name, run: play} of scenarios) {
	test(`scenario: ${name} (seeds from ${seed})`, () => {
		fc.assert(fc.property(fc.integer({min: 0}), play), {seed, numRuns: 5, endOnFailure: true});
	});
}
