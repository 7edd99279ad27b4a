/**
 * How often a leader sends an entry to a member that refuses what overtook it.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ConsensusEffect, type ConsensusEvent} from '@dogwooddeck/consensus/machine';
import {type ConsensusMessage, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {
	createVoter, foundCluster, founderFolder, stepVoter, type VoterState,
} from '@dogwooddeck/consensus/voter';

const [a, b] = ['a', 'b'].map(name => ({name, folder: founderFolder})) as [VoterIdentity, VoterIdentity];
const heartbeatMilliseconds = 50;
const electedAt = 1000;

/** A leader whose only other member answers at once, until the entry of a case is proposed. */
class Leader {
	state: VoterState = createVoter({
		self: a, electionMilliseconds: 300, heartbeatMilliseconds, entriesBeforeSnapshot: 100, seed: 1,
	}, foundCluster(['a', 'b']), 0);

	appends: Array<Extract<ConsensusMessage, {readonly kind: 'appendRequested'}>> = [];
	/** Whether the other member confirms what is appended. */
	confirms = true;

	constructor() {
		this.step({kind: 'ticked', now: electedAt});
		this.confirms = false;
	}

	step(event: ConsensusEvent): void {
		const next = stepVoter(this.state, event);
		this.state = next.state;
		for (const effect of next.effects) {
			this.#carryOut(effect, event.now);
		}
	}

	answer(now: number, accepted: boolean, index: number): void {
		const {round} = this.appends.at(-1)!;
		this.#receive(now, {
			kind: 'appendAnswered', term: this.state.hardState.term, accepted, index, round,
		});
	}

	/** How often an entry was sent. */
	sent(index: number): number {
		return this.appends.filter(({entries}) => entries.some(entry => entry.index === index)).length;
	}

	#receive(now: number, message: ConsensusMessage): void {
		this.step({kind: 'received', now, envelope: {from: b, to: a, message}});
	}

	#carryOut(effect: ConsensusEffect, now: number): void {
		if (effect.kind === 'persist') {
			this.step({kind: 'persisted', now, ticket: effect.ticket});
		} else if (effect.kind === 'send') {
			this.#hear(effect.envelope.message, now);
		}
	}

	#hear(message: ConsensusMessage, now: number): void {
		const {term} = message;
		const vote = {preVoteRequested: 'preVoteAnswered', voteRequested: 'voteAnswered'} as const;
		if (message.kind === 'preVoteRequested' || message.kind === 'voteRequested') {
			this.#receive(now, {kind: vote[message.kind], term, granted: true});
			return;
		}

		if (message.kind === 'appendRequested') {
			this.appends.push(message);
			if (this.confirms) {
				this.answer(now, true, message.previousIndex + message.entries.length);
			}
		}
	}
}

const cases: ReadonlyArray<{
	readonly name: string;
	readonly characters: number;
	/** When the heartbeat that overtook the entry is refused, after the entry was sent. */
	readonly refusedAfter: number;
	/** The index that the refusal names, after the entry's. */
	readonly lacks: number;
	readonly sent: number;
}> = [
	{
		name: 'a large entry that is on its way is not sent again', characters: 1_000_000, refusedAfter: 60, lacks: 0, sent: 1,
	},
	{
		name: 'a large entry that must have arrived is sent again', characters: 1_000_000, refusedAfter: 600, lacks: 0, sent: 2,
	},
	{
		name: 'a small entry is sent again at the first refusal', characters: 100, refusedAfter: 60, lacks: 0, sent: 2,
	},
	{
		name: 'a member that lacks earlier entries gets them at once', characters: 1_000_000, refusedAfter: 60, lacks: -1, sent: 2,
	},
];

for (const {name, characters, refusedAfter, lacks, sent} of cases) {
	test(`transit: ${name}`, () => {
		const leader = new Leader();
		leader.step({
			kind: 'proposed', now: electedAt, request: 'one', payload: 'x'.repeat(characters),
		});
		const {lastIndex} = leader.state.log;
		assert.equal(leader.sent(lastIndex), 1);
		leader.step({kind: 'ticked', now: electedAt + heartbeatMilliseconds});
		leader.answer(electedAt + refusedAfter, false, lastIndex + lacks);
		assert.equal(leader.sent(lastIndex), sent);
	});
}

test('transit: an entry that overtook a large one and was refused is sent again once that has arrived', () => {
	const leader = new Leader();
	for (const [request, characters] of [['one', 1_000_000], ['two', 100]] as const) {
		leader.step({
			kind: 'proposed', now: electedAt, request, payload: 'x'.repeat(characters),
		});
	}

	const {lastIndex} = leader.state.log;
	leader.answer(electedAt + 60, false, lastIndex - 1);
	assert.deepEqual([leader.sent(lastIndex - 1), leader.sent(lastIndex)], [1, 1]);
	leader.answer(electedAt + 70, true, lastIndex - 1);
	leader.answer(electedAt + 80, false, lastIndex);
	assert.deepEqual([leader.sent(lastIndex - 1), leader.sent(lastIndex)], [1, 2]);
});
