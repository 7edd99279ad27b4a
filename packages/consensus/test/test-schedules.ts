/**
 * Voters under seeded schedules of loss, delay, duplication, reordering, cuts,
 * crashes between append and sync, and lost folders.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import fc from 'fast-check';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {voterDueAt} from '@dogwooddeck/consensus/due';
import {entryAt} from '@dogwooddeck/consensus/log';
import {
	committedIndex, createVoter, foundCluster, founderFolder, quorumHeardAt, roleOf, stepVoter, termOf, voterSetOf, type VoterState,
} from '@dogwooddeck/consensus/voter';
import {
	type ConsensusEnvelope, type LogEntry, type VoterIdentity, type VoterSet,
} from '@dogwooddeck/consensus/message';
import {
	type ConsensusEffect, type ConsensusEvent, type ConsensusOptions, type SavedState, Role,
} from '@dogwooddeck/consensus/machine';

const stepMilliseconds = 10;
const options = {electionMilliseconds: 300, heartbeatMilliseconds: 50, entriesBeforeSnapshot: 40};

/** How likely each fault is, in thousandths a step or a message. */
type Faults = {
	readonly loss: number;
	readonly duplication: number;
	readonly longDelay: number;
	readonly crash: number;
	readonly pause: number;
	readonly cut: number;
	/** One direction between two voters, or both. */
	readonly link: number;
	readonly wipe: number;
	readonly handOver: number;
	readonly proposals: number;
	/** The longest time that a write takes. */
	readonly syncMilliseconds: number;
};

const calm: Faults = {
	loss: 0, duplication: 0, longDelay: 0, crash: 0, pause: 0, cut: 0, link: 0, wipe: 0, handOver: 0, proposals: 0, syncMilliseconds: 30,
};

type Write = {readonly syncedAt: number; readonly effect: Extract<ConsensusEffect, {kind: 'persist'}>};

type Mail = {readonly at: number; readonly envelope: ConsensusEnvelope};

type Node = {
	readonly name: string;
	identity: VoterIdentity;
	voter: VoterState | undefined;
	disk: SavedState;
	writes: Write[];
	machine: string[];
	startsAt: number;
	frozenUntil: number;
	lives: number;
};

function written(disk: SavedState, effect: Write['effect']): SavedState {
	const {hardState, entries, snapshot = disk.snapshot} = effect;
	const index = snapshot?.index ?? 0;
	const agrees = index === (disk.snapshot?.index ?? 0) || disk.entries.find(entry => entry.index === index)?.term === snapshot?.term;
	const kept = disk.entries.filter(entry => agrees && entry.index > index && entry.index < (entries[0]?.index ?? Infinity));
	return {hardState, entries: [...kept, ...entries], ...(snapshot === undefined ? {} : {snapshot})};
}

class Schedule {
	now = 0;
	readonly nodes: Node[];
	readonly cut = new Set<string>();
	readonly accepted = new Map<string, number>();
	readonly refused = new Map<string, string>();
	readonly readIndexes = new Map<string, number>();
	snapshotsSent = 0;
	readonly #random;
	#mail: Mail[] = [];
	readonly #leaders = new Map<number, string>();
	readonly #committed = new Map<number, string>();
	readonly #placed = new Map<string, {readonly name: string; readonly index: number; readonly term: number}>();
	readonly #reads = new Map<string, number>();
	#requests = 0;
	#highestAccepted = 0;
	#faultsNow: Faults = calm;

	readonly #edges: HandlerTable<ConsensusEffect, [Node], void> = {
		persist: (effect, node) => {
			const after = node.writes.at(-1)?.syncedAt ?? 0;
			node.writes.push({effect, syncedAt: Math.max(after, this.now + this.pick(this.#faultsNow.syncMilliseconds))});
		},
		send: ({envelope}, node) => {
			this.#checkSynced(envelope, node);
			this.#post(envelope);
		},
		apply: ({entries}, node) => {
			for (const entry of entries) {
				this.#apply(entry, node);
			}
		},
		restore({snapshot}, node) {
			node.machine = JSON.parse(snapshot.data) as string[];
		},
		placed: ({request, index, term}, node) => this.#placed.set(request, {name: `${node.name}/${node.lives}`, index, term}),
		refused: ({request, failure}) => this.refused.set(request, failure.kind),
		readReady: ({request, index}) => {
			assert.ok(index >= this.#reads.get(request)!, 'a read misses what was accepted before it');
			this.readIndexes.set(request, index);
		},
		snapshotWanted: ({index}, node) => {
			this.handle(node, {
				kind: 'snapshotTaken', now: this.now, index, data: JSON.stringify(node.machine),
			});
		},
		roleChanged: ({role, term}, node) => {
			if (role === Role.leader) {
				assert.equal(this.#leaders.get(term) ?? node.name, node.name, `two leaders in term ${term}`);
				this.#leaders.set(term, node.name);
				this.#checkLeases(node);
			}
		},
	};

	constructor(seed: number, names: readonly string[]) {
		this.#random = xoroshiro128plus(seed);
		this.nodes = names.map(name => ({
			name, identity: {name, folder: founderFolder}, voter: undefined, disk: foundCluster(names), writes: [], machine: [], startsAt: 0, frozenUntil: 0, lives: 0,
		}));
	}

	node(name: string): Node {
		return this.nodes.find(node => node.name === name)!;
	}

	/** Whether a process is stopped, with all its state: it returns as if nothing had happened. */
	isFrozen(name: string): boolean {
		return this.nodes.some(node => node.name === name && node.frozenUntil > this.now);
	}

	chance(thousandths: number): boolean {
		return uniformInt(this.#random, 0, 999) < thousandths;
	}

	pick(below: number): number {
		return uniformInt(this.#random, 0, below - 1);
	}

	leader(): Node | undefined {
		return this.nodes
			.filter(node => node.voter !== undefined && roleOf(node.voter) === Role.leader && !this.cut.has(node.name))
			.sort((one, other) => termOf(other.voter!) - termOf(one.voter!))[0];
	}

	handle(node: Node, event: ConsensusEvent): void {
		if (node.voter !== undefined) {
			const {state, effects} = stepVoter(node.voter, event);
			const dueAt = voterDueAt(node.voter);
			assert.ok(event.kind !== 'ticked' || effects.length === 0 || event.now >= dueAt, `a tick at ${event.now} did what was due at ${dueAt}`);
			node.voter = state;
			for (const effect of effects) {
				dispatch(this.#edges, effect, node);
			}
		}
	}

	propose(node: Node, payload = `p${this.#requests}`): string {
		const request = `r${this.#requests++}`;
		this.handle(node, {
			kind: 'proposed', now: this.now, request, payload,
		});
		return request;
	}

	read(node: Node): string {
		const request = `r${this.#requests++}`;
		this.#reads.set(request, this.#highestAccepted);
		this.handle(node, {kind: 'readRequested', now: this.now, request});
		return request;
	}

	changeVoters(node: Node, voterSet: VoterSet): string {
		const request = `r${this.#requests++}`;
		this.handle(node, {
			kind: 'voterChangeProposed', now: this.now, request, voterSet,
		});
		return request;
	}

	/** The process is gone; some of what was not synced may have reached the disk all the same. */
	crash(node: Node, silentMilliseconds: number): void {
		const reached = this.pick(node.writes.length + 1);
		node.disk = node.writes.slice(0, reached).reduce((disk, {effect}) => written(disk, effect), node.disk);
		Object.assign(node, {
			voter: undefined, writes: [], machine: [], startsAt: this.now + silentMilliseconds, frozenUntil: 0,
		});
	}

	wipe(node: Node, silentMilliseconds: number): void {
		this.crash(node, silentMilliseconds);
		node.disk = {hardState: {term: 0}, entries: []};
		node.identity = {name: node.name, folder: `folder-${this.#requests++}`};
	}

	run(milliseconds: number, faults: Faults = calm, until: () => boolean = () => false): boolean {
		const end = this.now + milliseconds;
		while (this.now < end && !until()) {
			this.now += stepMilliseconds;
			this.#fail(faults);
			this.#deliver();
			for (const node of this.nodes.filter(({name}) => !this.isFrozen(name))) {
				this.#live(node);
			}
		}

		return until();
	}

	/** The operator's part: takes lost folders out of the voter set and new ones in, one change at a time. */
	repair(): void {
		const leader = this.leader();
		if (leader === undefined) {
			return;
		}

		const {voters, learners} = voterSetOf(leader.voter!);
		const same = (one: VoterIdentity, other: VoterIdentity) => one.name === other.name && one.folder === other.folder;
		const lost = voters.find(voter => !same(this.node(voter.name).identity, voter));
		const joining = this.nodes.find(({identity}) => !voters.some(voter => same(voter, identity)))?.identity;
		const learns = joining !== undefined && learners.some(learner => same(learner, joining));
		if (lost !== undefined) {
			this.changeVoters(leader, {voters: voters.filter(voter => voter !== lost), learners});
		} else if (joining !== undefined) {
			this.changeVoters(leader, learns ? {voters: [...voters, joining], learners: []} : {voters, learners: [joining]});
		}
	}

	/** Whether every folder that the newest voter set names is there, and the set is committed. */
	isWhole(): boolean {
		const leader = this.leader();
		const voters = leader === undefined ? [] : voterSetOf(leader.voter!).voters;
		const index = leader?.voter?.log.voterSets.at(-1)?.index ?? Infinity;
		return voters.length === this.nodes.length
			&& index <= committedIndex(leader!.voter!)
			&& voters.every(voter => this.node(voter.name).identity.folder === voter.folder);
	}

	/** Ends all faults, and checks that every voter comes to the same state, with all that was accepted. */
	settle(): void {
		this.cut.clear();
		const settled = () => {
			if (!this.isWhole() && this.now % 200 === 0) {
				this.repair();
			}

			const leader = this.leader();
			return leader !== undefined && this.isWhole()
				&& this.nodes.every(({voter}) => voter !== undefined && committedIndex(voter) === leader.voter!.log.lastIndex);
		};

		assert.ok(this.run(60_000, calm, settled), 'the voters do not come to rest');
		for (const node of this.nodes) {
			assert.deepEqual(node.machine, this.nodes[0]!.machine, 'state machines differ');
			for (const payload of this.accepted.keys()) {
				assert.ok(node.machine.includes(payload), `accepted ${payload} is lost on ${node.name}`);
			}
		}
	}

	#checkSynced({message}: ConsensusEnvelope, node: Node): void {
		const {hardState, entries, snapshot} = node.disk;
		const claimsVote = message.kind === 'voteRequested' || (message.kind === 'voteAnswered' && message.granted);
		assert.ok(message.kind === 'preVoteRequested' || message.kind === 'preVoteAnswered' || hardState.term >= message.term, 'a term is sent before it is synced');
		assert.ok(!claimsVote || hardState.term > message.term || hardState.vote !== undefined, 'a vote is sent before it is synced');
		this.#checkConfirmed(message, node);
		const claimed = message.kind === 'appendAnswered' && message.accepted && hardState.term === message.term ? message.index : 0;
		assert.ok(claimed <= (entries.at(-1)?.index ?? snapshot?.index ?? 0), 'entries are confirmed before they are synced');
	}

	/** No leader relies on a quorum that elected another in a later term. */
	#checkLeases(elected: Node): void {
		for (const {name, voter} of this.nodes) {
			const heardAt = voter === undefined || termOf(voter) >= termOf(elected.voter!) ? undefined : quorumHeardAt(voter, this.now);
			assert.equal(heardAt, undefined, `${name} relies on a quorum that elected ${elected.name}`);
		}
	}

	/** What a member confirms is what the leader of the term has. */
	#checkConfirmed(message: ConsensusEnvelope['message'], node: Node): void {
		const leader = this.nodes.find(({voter}) => voter !== undefined && roleOf(voter) === Role.leader && termOf(voter) === message.term);
		if (message.kind === 'appendAnswered' && message.accepted && leader !== undefined) {
			const confirmed = node.disk.entries.find(({index}) => index === message.index);
			const expected = entryAt(leader.voter!.log, message.index);
			assert.ok(confirmed === undefined || expected === undefined || confirmed.term === expected.term, 'an entry is confirmed that the leader does not have');
		}
	}

	/** What is accepted is on the disks of a majority, but for folders that were lost since. */
	#checkMajority({index, term}: LogEntry, leader: Node): void {
		const {voters} = voterSetOf(leader.voter!);
		const holding = voters.filter(voter => {
			const {identity, disk} = this.node(voter.name);
			const lost = identity.folder !== voter.folder;
			return lost || index <= (disk.snapshot?.index ?? 0) || disk.entries.some(entry => entry.index === index && entry.term === term);
		});
		assert.ok(holding.length * 2 > voters.length, `entry ${index} is accepted before a majority has synced it`);
	}

	#apply(entry: LogEntry, node: Node): void {
		const text = JSON.stringify(entry);
		assert.equal(this.#committed.get(entry.index) ?? text, text, `entry ${entry.index} was changed after it was committed`);
		this.#committed.set(entry.index, text);
		if (entry.body.kind === 'command') {
			node.machine = [...node.machine, entry.body.payload];
		}

		for (const [request, {name, index, term}] of this.#placed) {
			if (name === `${node.name}/${node.lives}` && index === entry.index && term === entry.term) {
				this.#placed.delete(request);
				this.#accept(entry, node);
			}
		}
	}

	#accept(entry: LogEntry, node: Node): void {
		this.#checkMajority(entry, node);
		this.#highestAccepted = Math.max(this.#highestAccepted, entry.index);
		if (entry.body.kind === 'command') {
			this.accepted.set(entry.body.payload, entry.index);
		}
	}

	#post(envelope: ConsensusEnvelope): void {
		const copies = this.chance(this.#faultsNow.duplication) ? 2 : 1;
		this.snapshotsSent += envelope.message.kind === 'snapshotSent' ? 1 : 0;
		for (let copy = 0; copy < copies; copy++) {
			const delay = this.chance(this.#faultsNow.longDelay) ? this.pick(2000) : this.pick(40);
			if (!this.chance(this.#faultsNow.loss)) {
				this.#mail.push({at: this.now + delay, envelope});
			}
		}
	}

	#deliver(): void {
		const isDue = ({at, envelope}: Mail) => at <= this.now && !this.isFrozen(envelope.to.name);
		const due = this.#mail.filter(mail => isDue(mail));
		this.#mail = this.#mail.filter(mail => !isDue(mail));
		for (const {envelope} of due) {
			const {from, to} = envelope;
			const receiver = this.nodes.find(node => node.name === to.name);
			if (receiver !== undefined && [from.name, to.name, `${from.name}>${to.name}`].every(place => !this.cut.has(place))) {
				this.handle(receiver, {kind: 'received', now: this.now, envelope});
			}
		}
	}

	#live(node: Node): void {
		if (node.voter === undefined && this.now >= node.startsAt) {
			const voterOptions: ConsensusOptions = {...options, self: node.identity, seed: this.pick(1_000_000)};
			node.voter = createVoter(voterOptions, node.disk, this.now);
			node.machine = JSON.parse(node.disk.snapshot?.data ?? '[]') as string[];
			node.lives++;
		}

		const synced = node.writes.filter(({syncedAt}) => syncedAt <= this.now);
		node.writes = node.writes.slice(synced.length);
		node.disk = synced.reduce((disk, {effect}) => written(disk, effect), node.disk);
		if (synced.length > 0) {
			this.handle(node, {kind: 'persisted', now: this.now, ticket: synced.at(-1)!.effect.ticket});
		}

		this.handle(node, {kind: 'ticked', now: this.now});
	}

	#toggleCut(place: string): void {
		if (!this.cut.delete(place)) {
			this.cut.add(place);
		}
	}

	#fail(faults: Faults): void {
		this.#faultsNow = faults;
		const node = this.nodes[this.pick(this.nodes.length)]!;
		const actions: ReadonlyArray<readonly [number, () => unknown]> = [
			[faults.crash, () => {
				this.crash(node, this.pick(1500));
			}],
			[faults.cut, () => {
				this.#toggleCut(node.name);
			}],
			[faults.link, () => {
				const other = this.nodes[this.pick(this.nodes.length)]!;
				this.#toggleCut(`${node.name}>${other.name}`);
				this.#toggleCut(this.chance(500) ? `${other.name}>${node.name}` : `${node.name}>${node.name}`);
			}],
			[this.isWhole() ? faults.wipe : 0, () => {
				this.wipe(node, this.pick(500));
			}],
			[this.isWhole() ? 0 : faults.wipe * 10, () => {
				this.repair();
			}],
			[faults.pause, () => {
				node.frozenUntil = this.now + this.pick(2000);
			}],
			[faults.handOver, () => {
				this.handle(node, {kind: 'handOverRequested', now: this.now});
			}],
			[this.isFrozen(node.name) ? 0 : faults.proposals, () => this.propose(node)],
			[this.isFrozen(node.name) ? 0 : faults.proposals, () => this.read(node)],
		];
		for (const [likely, act] of actions) {
			if (this.chance(likely)) {
				act();
			}
		}
	}
}

const names3 = ['a', 'b', 'c'];
const names5 = ['a', 'b', 'c', 'd', 'e'];

function started(seed: number, names: readonly string[]): Schedule {
	const schedule = new Schedule(seed, names);
	assert.ok(schedule.run(5000, calm, () => schedule.isWhole()), 'no leader');
	return schedule;
}

function proposeMany(schedule: Schedule, count: number): void {
	for (let done = 0; done < count; done++) {
		schedule.propose(schedule.leader()!);
		schedule.run(20);
	}

	schedule.run(500);
}

const scenarios: ReadonlyArray<{readonly name: string; readonly play: (seed: number) => void}> = [
	{
		name: 'a single voter leads, accepts and answers reads',
		play(seed) {
			const schedule = started(seed, ['a']);
			proposeMany(schedule, 100);
			const read = schedule.read(schedule.leader()!);
			assert.equal(schedule.accepted.size, 100);
			assert.ok(schedule.readIndexes.has(read));
		},
	},
	{
		name: 'a leader that is cut off silently steps down, answers no read and accepts nothing',
		play(seed) {
			const schedule = started(seed, names3);
			const old = schedule.leader()!;
			schedule.cut.add(old.name);
			const read = schedule.read(old);
			const proposal = schedule.propose(old, 'lost');
			assert.ok(schedule.run(20_000, calm, () => schedule.leader() !== undefined));
			proposeMany(schedule, 20);
			schedule.run(20_000);
			assert.equal(schedule.refused.get(read), 'no-quorum');
			assert.equal(schedule.refused.get(proposal), 'outcome-unknown');
			assert.equal(schedule.refused.get(schedule.propose(old)), 'no-quorum');
			assert.equal(schedule.refused.get(schedule.read(old)), 'no-quorum');
			assert.equal(quorumHeardAt(old.voter!, schedule.now), undefined);
			assert.ok(!schedule.accepted.has('lost'));
			schedule.settle();
			assert.equal(schedule.accepted.size, 20);
		},
	},
	{
		name: 'a voter that returns after hundreds of entries gets a snapshot and the tail',
		play(seed) {
			const schedule = started(seed, names3);
			const away = schedule.nodes.find(node => node !== schedule.leader())!;
			schedule.crash(away, 30_000);
			proposeMany(schedule, 400);
			schedule.settle();
			assert.ok(schedule.snapshotsSent > 0);
			assert.equal(away.machine.length, 400);
		},
	},
	{
		name: 'a lost folder is another voter, and a second loss right after the repair loses nothing',
		play(seed) {
			const schedule = started(seed, names3);
			proposeMany(schedule, 60);
			const first = schedule.leader()!;
			schedule.wipe(first, 100);
			assert.ok(!schedule.isWhole());
			schedule.run(2000);
			assert.equal(roleOf(first.voter!), Role.learner);
			assert.ok(schedule.run(30_000, calm, () => {
				schedule.repair();
				return schedule.isWhole();
			}));
			schedule.wipe(schedule.nodes.find(node => node !== first)!, 100);
			schedule.settle();
			assert.equal(schedule.accepted.size, 60);
		},
	},
	{
		name: 'voters change one at a time, and learners only when they have caught up',
		play(seed) {
			const schedule = started(seed, names5);
			const leader = schedule.leader()!;
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
				assert.equal(schedule.refused.get(schedule.changeVoters(leader, voterSet)), expected);
			}

			schedule.run(500);
			assert.equal(schedule.refused.get(schedule.changeVoters(leader, {voters: [...voters, stranger], learners: []})), 'conflict');
		},
	},
	{
		name: 'a voter that was cut off for long returns without an election',
		play(seed) {
			const schedule = started(seed, names3);
			const leader = schedule.leader()!;
			const term = termOf(leader.voter!);
			schedule.cut.add(schedule.nodes.find(node => node !== leader)!.name);
			schedule.run(20_000);
			schedule.settle();
			assert.equal(termOf(leader.voter!), term);
			assert.equal(roleOf(leader.voter!), Role.leader);
		},
	},
	{
		name: 'a leader that was frozen answers no read from before',
		play(seed) {
			const schedule = started(seed, names3);
			proposeMany(schedule, 5);
			const old = schedule.leader()!;
			old.frozenUntil = schedule.now + 5000;
			assert.ok(schedule.run(5000, calm, () => schedule.leader() !== old));
			proposeMany(schedule, 5);
			old.frozenUntil = 0;
			const read = schedule.read(old);
			schedule.settle();
			assert.equal(schedule.refused.get(read), 'not-leader');
		},
	},
	{
		name: 'a voter votes for a log as new as its own, a learner only for a newer one',
		play(seed) {
			const schedule = started(seed, names3);
			schedule.settle();
			schedule.run(500);
			const {identity, voter} = schedule.nodes.find(node => node !== schedule.leader())!;
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
		name: 'leadership is handed over at once',
		play(seed) {
			const schedule = started(seed, names3);
			proposeMany(schedule, 5);
			const old = schedule.leader()!;
			schedule.handle(old, {kind: 'handOverRequested', now: schedule.now});
			assert.equal(schedule.refused.get(schedule.propose(old)), 'not-leader');
			const moved = () => schedule.leader() !== undefined && schedule.leader() !== old;
			assert.ok(schedule.run(options.electionMilliseconds, calm, moved));
			schedule.settle();
		},
	},
	{
		name: 'a hand-over that does not come about ends leadership all the same',
		play(seed) {
			const schedule = started(seed, names3);
			schedule.settle();
			const old = schedule.leader()!;
			schedule.handle(old, {kind: 'handOverRequested', now: schedule.now});
			schedule.cut.add(old.voter!.leadership!.handOver!.successor.name);
			schedule.run(options.electionMilliseconds + 50);
			assert.notEqual(roleOf(old.voter!), Role.leader);
			schedule.settle();
		},
	},
	{
		name: 'envelopes that are foreign or malformed change nothing',
		play(seed) {
			const schedule = started(seed, names3);
			const node = schedule.leader()!;
			const from = {name: 'b', folder: founderFolder};
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
				schedule.handle(node, {kind: 'received', now: schedule.now, envelope: envelope as ConsensusEnvelope});
				assert.deepEqual(node.voter, before);
			}
		},
	},
];

const seed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 40);

for (const {name, play} of scenarios) {
	test(`scenario: ${name} (seeds from ${seed})`, () => {
		fc.assert(fc.property(fc.integer({min: 0}), play), {seed, numRuns: 5, endOnFailure: true});
	});
}

const mixes: ReadonlyArray<{readonly name: string; readonly names: readonly string[]; readonly faults: Faults}> = [
	{
		name: 'lossy links', names: names3, faults: {
			...calm, loss: 200, duplication: 100, longDelay: 50, proposals: 200,
		},
	},
	{
		name: 'crashes and cuts', names: names3, faults: {
			...calm, loss: 50, duplication: 50, longDelay: 20, crash: 8, cut: 6, proposals: 200,
		},
	},
	{
		name: 'crashes and cuts of five', names: names5, faults: {
			...calm, loss: 50, longDelay: 20, crash: 12, cut: 8, proposals: 200,
		},
	},
	{
		name: 'lost folders and repairs', names: names3, faults: {
			...calm, loss: 30, longDelay: 20, crash: 3, cut: 3, wipe: 10, proposals: 200,
		},
	},
	{
		name: 'links that are cut in one direction or both',
		names: names3,
		faults: {
			...calm, loss: 20, longDelay: 20, crash: 1, link: 10, proposals: 10,
		},
	},
	{
		name: 'slow disks',
		names: names3,
		faults: {
			...calm, loss: 50, longDelay: 20, crash: 4, cut: 2, link: 20, proposals: 300, syncMilliseconds: 250,
		},
	},
	{
		name: 'frozen processes and hand-overs',
		names: names3,
		faults: {
			...calm, loss: 50, duplication: 50, longDelay: 50, pause: 10, handOver: 5, proposals: 200,
		},
	},
];

for (const {name, names, faults} of mixes) {
	test(`schedules: ${name} (seeds from ${seed}, ${runs} runs)`, context => {
		let accepted = 0;
		fc.assert(fc.property(fc.integer({min: 0}), scheduleSeed => {
			const schedule = new Schedule(scheduleSeed, names);
			schedule.run(15_000, faults);
			schedule.settle();
			accepted += schedule.accepted.size;
		}), {seed, numRuns: runs, endOnFailure: true});
		context.diagnostic(`seed ${seed}: ${accepted} proposals accepted in ${runs} schedules`);
		assert.ok(accepted > runs);
	});
}
