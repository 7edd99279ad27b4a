/**
 * Flow control of replication: how often a leader sends an entry to a member that
 * rejects messages which overtook it, and what else it sends while the entry is in flight.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ConsensusEffect, type ConsensusEvent} from '@dogwooddeck/consensus/voter-interface';
import {type ConsensusMessage, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {
	createVoter, bootstrapCluster, bootstrapFolder, stepVoter, type VoterState,
} from '@dogwooddeck/consensus/voter';

const [a, b] = ['a', 'b'].map(name => ({name, folder: bootstrapFolder})) as [VoterIdentity, VoterIdentity];
const heartbeatMilliseconds = 50;
const electedAt = 1000;

/** A leader whose only other member grants its votes, and confirms appends by itself only during the election. */
class Leader {
	state: VoterState = createVoter({
		self: a, electionMilliseconds: 300, heartbeatMilliseconds, entriesBeforeSnapshot: 100, seed: 1,
	}, bootstrapCluster(['a', 'b']), 0);

	appends: Array<Extract<ConsensusMessage, {readonly kind: 'appendRequested'}>> = [];
	/** The delivery numbers of the messages whose outcome the transport has to report. */
	deliveries: number[] = [];
	/** Whether the other member confirms appended entries at once. */
	confirmsAppends = true;

	constructor() {
		this.step({kind: 'ticked', now: electedAt});
		this.confirmsAppends = false;
	}

	step(event: ConsensusEvent): void {
		const next = stepVoter(this.state, event);
		this.state = next.state;
		for (const effect of next.effects) {
			this.#handleEffect(effect, event.now);
		}
	}

	answer(now: number, accepted: boolean, index: number): void {
		const {round} = this.appends.at(-1)!;
		this.#receive(now, {
			kind: 'appendAnswered', term: this.state.hardState.term, accepted, index, round,
		});
	}

	/** Reports the outcome of the message that was sent last. */
	endDelivery(now: number, arrived: boolean): void {
		this.step({
			kind: 'deliveryEnded', now, delivery: this.deliveries.at(-1)!, arrived,
		});
	}

	/** The number of times that an entry was sent. */
	sendCount(index: number): number {
		return this.appends.filter(({entries}) => entries.some(entry => entry.index === index)).length;
	}

	#receive(now: number, message: ConsensusMessage): void {
		this.step({kind: 'received', now, envelope: {from: b, to: a, message}});
	}

	#handleEffect(effect: ConsensusEffect, now: number): void {
		if (effect.kind === 'persist') {
			this.step({kind: 'persisted', now, ticket: effect.ticket});
		} else if (effect.kind === 'send') {
			this.deliveries = effect.delivery === undefined ? this.deliveries : [...this.deliveries, effect.delivery];
			this.#handleMessage(effect.envelope.message, now);
		}
	}

	#handleMessage(message: ConsensusMessage, now: number): void {
		const {term} = message;
		const vote = {preVoteRequested: 'preVoteAnswered', voteRequested: 'voteAnswered'} as const;
		if (message.kind === 'preVoteRequested' || message.kind === 'voteRequested') {
			this.#receive(now, {kind: vote[message.kind], term, granted: true});
			return;
		}

		if (message.kind === 'appendRequested') {
			this.appends.push(message);
			if (this.confirmsAppends) {
				this.answer(now, true, message.previousIndex + message.entries.length);
			}
		}
	}
}

/** An event after a large entry was sent; its time is in milliseconds after the election. */
type LeaderEvent = (leader: Leader, index: number) => void;

const rejectedAt = (after: number, lacks = 0): LeaderEvent => (leader, index) => {
	leader.answer(electedAt + after, false, index + lacks);
};

const outcomeAt = (after: number, arrived: boolean): LeaderEvent => leader => {
	leader.endDelivery(electedAt + after, arrived);
};

const heartbeatAt = (after: number): LeaderEvent => leader => {
	leader.step({kind: 'ticked', now: electedAt + after});
};

const acceptedAt = (after: number, matched: number): LeaderEvent => (leader, index) => {
	leader.answer(electedAt + after, true, index + matched);
};

const cases: ReadonlyArray<{readonly name: string; readonly events: readonly LeaderEvent[]; readonly sent: number}> = [
	{
		name: 'an in-flight entry is not sent again, however long it takes',
		events: [heartbeatAt(50), rejectedAt(60), heartbeatAt(100), rejectedAt(600), heartbeatAt(5000), rejectedAt(5060)],
		sent: 1,
	},
	{
		name: 'an entry that was given up is sent again once the member has answered a heartbeat',
		events: [outcomeAt(200, false), heartbeatAt(250), acceptedAt(260, -1)],
		sent: 2,
	},
	{
		name: 'an entry that was given up is not sent again before that, so that an unreachable member costs little',
		events: [outcomeAt(1, false), heartbeatAt(50), heartbeatAt(100), heartbeatAt(150)],
		sent: 1,
	},
	{
		name: 'an entry that was given up but did arrive is not sent again',
		events: [outcomeAt(200, false), heartbeatAt(250), acceptedAt(260, 0)],
		sent: 1,
	},
	{
		name: 'a rejection of a message that was sent before the entry arrived is ignored',
		events: [heartbeatAt(50), outcomeAt(200, true), rejectedAt(210)],
		sent: 1,
	},
	{
		name: 'an entry that arrived and is rejected afterwards is sent again',
		events: [heartbeatAt(50), outcomeAt(200, true), heartbeatAt(250), rejectedAt(310)],
		sent: 2,
	},
];

for (const {name, events, sent} of cases) {
	test(`delivery: ${name}`, () => {
		const leader = new Leader();
		leader.step({
			kind: 'proposed', now: electedAt, request: 'one', payload: 'x'.repeat(1_000_000),
		});
		const {lastIndex} = leader.state.log;
		assert.equal(leader.sendCount(lastIndex), 1);
		for (const event of events) {
			event(leader, lastIndex);
		}

		assert.equal(leader.sendCount(lastIndex), sent);
	});
}

const windows: ReadonlyArray<{readonly name: string; readonly lengths: readonly number[]; readonly sent: readonly number[]; readonly sentAfterArrival: readonly number[]}> = [
	{
		name: 'entries after a large one wait for it, and are sent together', lengths: [1_000_000, 100, 100], sent: [1, 0, 0], sentAfterArrival: [1, 1, 1],
	},
	{
		name: 'small entries are in flight concurrently', lengths: [100, 100, 100], sent: [1, 1, 1], sentAfterArrival: [1, 1, 1],
	},
	{
		name: 'a large entry waits for small ones in flight', lengths: [100, 1_000_000], sent: [1, 0], sentAfterArrival: [1, 1],
	},
];

for (const {name, lengths, sent, sentAfterArrival} of windows) {
	test(`delivery: ${name}`, () => {
		const leader = new Leader();
		const first = leader.state.log.lastIndex + 1;
		for (const [position, length] of lengths.entries()) {
			leader.step({
				kind: 'proposed', now: electedAt, request: `${position}`, payload: 'x'.repeat(length),
			});
		}

		const counts = () => lengths.map((_length, position) => leader.sendCount(first + position));
		assert.deepEqual(counts(), sent);
		leader.endDelivery(electedAt + 60, true);
		assert.deepEqual(counts(), sentAfterArrival);
	});
}

test('delivery: a member that lacks an entry before those in flight is sent it at once', () => {
	const leader = new Leader();
	const first = leader.state.log.lastIndex + 1;
	for (const [request, length] of [['one', 100], ['two', 1_000_000]] as const) {
		leader.step({
			kind: 'proposed', now: electedAt, request, payload: 'x'.repeat(length),
		});
	}

	leader.endDelivery(electedAt + 60, true);
	assert.deepEqual([leader.sendCount(first), leader.sendCount(first + 1)], [1, 1]);
	leader.step({kind: 'ticked', now: electedAt + heartbeatMilliseconds});
	leader.step({kind: 'ticked', now: electedAt + (2 * heartbeatMilliseconds)});
	for (const after of [110, 120]) {
		leader.answer(electedAt + after, false, first);
		assert.deepEqual([leader.sendCount(first), leader.sendCount(first + 1)], [2, 1]);
	}
});
