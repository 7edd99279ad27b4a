/**
 * A deterministic simulation of a cluster under seeded schedules of message loss,
 * delay, duplication and reordering, network partitions, crashes between append and
 * sync, and lost folders.
 */
import assert from 'node:assert/strict';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	type DeliverySender, noFaults, type Faults, deliveryTimeoutMilliseconds, type MessageInTransit, type SimulatedNode, options, type DeliveryOutcome, stepMilliseconds, applyWrite,
} from './faults.js';
import {
	checkDue, checkLeases, checkMajority, checkSynced,
} from './invariants.js';
import {
	type ConsensusEffect, type ConsensusEvent, type ConsensusOptions, Role,
} from '@dogwooddeck/consensus/voter-interface';
import {
	committedIndex, createVoter, bootstrapCluster, bootstrapFolder, roleOf, stepVoter, termOf, voterSetOf,
} from '@dogwooddeck/consensus/voter';
import {
	type ConsensusEnvelope, type LogEntry, type VoterSet,
} from '@dogwooddeck/consensus/message';
import {includesVoter, sameVoter} from '@dogwooddeck/consensus/voter-set';

/** Simulates voters, their disks and their links under seeded faults, and checks the invariants at each step. */
export class Simulation {
	now = 0;
	readonly nodes: SimulatedNode[];
	readonly partitioned = new Set<string>();
	readonly accepted = new Map<string, number>();
	readonly refused = new Map<string, string>();
	readonly readIndexes = new Map<string, number>();
	snapshotsSent = 0;
	readonly #random;
	#inTransit: MessageInTransit[] = [];
	#outcomes: DeliveryOutcome[] = [];
	readonly #leaders = new Map<number, string>();
	readonly #committed = new Map<number, string>();
	readonly #placed = new Map<string, {readonly name: string; readonly index: number; readonly term: number}>();
	readonly #minimumReadIndexes = new Map<string, number>();
	#requests = 0;
	#highestAccepted = 0;
	#faults: Faults = noFaults;

	readonly #effectHandlers: HandlerTable<ConsensusEffect, [SimulatedNode], void> = {
		persist: (effect, node) => {
			const after = node.writes.at(-1)?.syncedAt ?? 0;
			node.writes.push({effect, syncedAt: Math.max(after, this.now + this.pick(this.#faults.syncMilliseconds))});
		},
		send: ({envelope, delivery}, node) => {
			checkSynced(envelope, node, this.nodes);
			this.#send(envelope, delivery === undefined ? undefined : {node, incarnation: node.incarnation, delivery});
		},
		apply: ({entries}, node) => {
			for (const entry of entries) {
				this.#apply(entry, node);
			}
		},
		restore({snapshot}, node) {
			node.machine = JSON.parse(snapshot.data) as string[];
		},
		placed: ({request, index, term}, node) => this.#placed.set(request, {name: `${node.name}/${node.incarnation}`, index, term}),
		refused: ({request, failure}) => this.refused.set(request, failure.kind),
		readReady: ({request, index}) => {
			assert.ok(index >= this.#minimumReadIndexes.get(request)!, 'a read index is before an entry that was accepted before the read');
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
				checkLeases(node, this.nodes, this.now);
			}
		},
	};

	constructor(seed: number, names: readonly string[]) {
		this.#random = xoroshiro128plus(seed);
		this.nodes = names.map(name => ({
			name, identity: {name, folder: bootstrapFolder}, voter: undefined, disk: bootstrapCluster(names), writes: [], machine: [], startsAt: 0, pausedUntil: 0, incarnation: 0,
		}));
	}

	node(name: string): SimulatedNode {
		return this.nodes.find(node => node.name === name)!;
	}

	/** Whether a process is paused; it resumes with its state unchanged. */
	isPaused(name: string): boolean {
		return this.nodes.some(node => node.name === name && node.pausedUntil > this.now);
	}

	chance(thousandths: number): boolean {
		return uniformInt(this.#random, 0, 999) < thousandths;
	}

	pick(below: number): number {
		return uniformInt(this.#random, 0, below - 1);
	}

	leader(): SimulatedNode | undefined {
		return this.nodes
			.filter(node => node.voter !== undefined && roleOf(node.voter) === Role.leader && !this.partitioned.has(node.name))
			.sort((one, other) => termOf(other.voter!) - termOf(one.voter!))[0];
	}

	handle(node: SimulatedNode, event: ConsensusEvent): void {
		if (node.voter !== undefined) {
			const {state, effects} = stepVoter(node.voter, event);
			checkDue(node.voter, event, effects);
			node.voter = state;
			for (const effect of effects) {
				dispatch(this.#effectHandlers, effect, node);
			}
		}
	}

	propose(node: SimulatedNode, payload = `p${this.#requests}`): string {
		const request = `r${this.#requests++}`;
		this.handle(node, {
			kind: 'proposed', now: this.now, request, payload,
		});
		return request;
	}

	read(node: SimulatedNode): string {
		const request = `r${this.#requests++}`;
		this.#minimumReadIndexes.set(request, this.#highestAccepted);
		this.handle(node, {kind: 'readRequested', now: this.now, request});
		return request;
	}

	changeVoters(node: SimulatedNode, voterSet: VoterSet): string {
		const request = `r${this.#requests++}`;
		this.handle(node, {
			kind: 'voterChangeProposed', now: this.now, request, voterSet,
		});
		return request;
	}

	/** Crashes a process. Any prefix of its unsynced writes may have reached the disk. */
	crash(node: SimulatedNode, downMilliseconds: number): void {
		const reached = this.pick(node.writes.length + 1);
		node.disk = node.writes.slice(0, reached).reduce((disk, {effect}) => applyWrite(disk, effect), node.disk);
		Object.assign(node, {
			voter: undefined, writes: [], machine: [], startsAt: this.now + downMilliseconds, pausedUntil: 0,
		});
	}

	loseDisk(node: SimulatedNode, downMilliseconds: number): void {
		this.crash(node, downMilliseconds);
		node.disk = {hardState: {term: 0}, entries: []};
		node.identity = {name: node.name, folder: `folder-${this.#requests++}`};
	}

	run(milliseconds: number, faults: Faults = noFaults, until: () => boolean = () => false): boolean {
		const end = this.now + milliseconds;
		while (this.now < end && !until()) {
			this.now += stepMilliseconds;
			this.#injectFaults(faults);
			this.#deliver();
			this.#reportOutcomes();
			for (const node of this.nodes.filter(({name}) => !this.isPaused(name))) {
				this.#runNode(node);
			}
		}

		return until();
	}

	/** Acts as the operator: removes lost folders from the voter set and adds new ones, one change at a time. */
	repair(): void {
		const leader = this.leader();
		if (leader === undefined) {
			return;
		}

		const {voters, learners} = voterSetOf(leader.voter!);
		const lost = voters.find(voter => !sameVoter(this.node(voter.name).identity, voter));
		const joining = this.nodes.find(({identity}) => !includesVoter(voters, identity))?.identity;
		const isLearner = joining !== undefined && includesVoter(learners, joining);
		if (lost !== undefined) {
			this.changeVoters(leader, {voters: voters.filter(voter => voter !== lost), learners});
		} else if (joining !== undefined) {
			this.changeVoters(leader, isLearner ? {voters: [...voters, joining], learners: []} : {voters, learners: [joining]});
		}
	}

	/** Whether the newest voter set is committed and includes the current folder of every node. */
	isVoterSetComplete(): boolean {
		const leader = this.leader();
		const voters = leader === undefined ? [] : voterSetOf(leader.voter!).voters;
		const index = leader?.voter?.log.voterSets.at(-1)?.index ?? Infinity;
		return voters.length === this.nodes.length
			&& index <= committedIndex(leader!.voter!)
			&& voters.every(voter => this.node(voter.name).identity.folder === voter.folder);
	}

	/** Ends all faults, and checks that all voters converge to the same state, which includes every accepted proposal. */
	converge(): void {
		this.partitioned.clear();
		const hasConverged = () => {
			if (!this.isVoterSetComplete() && this.now % 200 === 0) {
				this.repair();
			}

			const leader = this.leader();
			return leader !== undefined && this.isVoterSetComplete()
				&& this.nodes.every(({voter}) => voter !== undefined && committedIndex(voter) === leader.voter!.log.lastIndex);
		};

		assert.ok(this.run(60_000, noFaults, hasConverged), 'the voters do not converge');
		for (const node of this.nodes) {
			assert.deepEqual(node.machine, this.nodes[0]!.machine, 'state machines differ');
			for (const payload of this.accepted.keys()) {
				assert.ok(node.machine.includes(payload), `accepted proposal ${payload} is lost on ${node.name}`);
			}
		}
	}

	#apply(entry: LogEntry, node: SimulatedNode): void {
		const text = JSON.stringify(entry);
		assert.equal(this.#committed.get(entry.index) ?? text, text, `entry ${entry.index} was changed after it was committed`);
		this.#committed.set(entry.index, text);
		if (entry.body.kind === 'command') {
			node.machine = [...node.machine, entry.body.payload];
		}

		for (const [request, {name, index, term}] of this.#placed) {
			if (name === `${node.name}/${node.incarnation}` && index === entry.index && term === entry.term) {
				this.#placed.delete(request);
				this.#accept(entry, node);
			}
		}
	}

	#accept(entry: LogEntry, node: SimulatedNode): void {
		checkMajority(entry, node, this.nodes);
		this.#highestAccepted = Math.max(this.#highestAccepted, entry.index);
		if (entry.body.kind === 'command') {
			this.accepted.set(entry.body.payload, entry.index);
		}
	}

	#send(envelope: ConsensusEnvelope, sender: DeliverySender | undefined): void {
		if (sender !== undefined) {
			this.#outcomes.push({at: this.now + deliveryTimeoutMilliseconds, sender, arrived: false});
		}

		const copies = this.chance(this.#faults.duplication) ? 2 : 1;
		this.snapshotsSent += envelope.message.kind === 'snapshotSent' ? 1 : 0;
		for (let copy = 0; copy < copies; copy++) {
			const delay = this.chance(this.#faults.longDelay) ? this.pick(2000) : this.pick(40);
			if (!this.chance(this.#faults.loss)) {
				this.#inTransit.push({at: this.now + delay, envelope, sender});
			}
		}
	}

	#deliver(): void {
		const isDue = ({at, envelope}: MessageInTransit) => at <= this.now && !this.isPaused(envelope.to.name);
		const due = this.#inTransit.filter(mail => isDue(mail));
		this.#inTransit = this.#inTransit.filter(mail => !isDue(mail));
		for (const {envelope, sender} of due) {
			const {from, to} = envelope;
			const receiver = this.nodes.find(node => node.name === to.name);
			if (receiver !== undefined && [from.name, to.name, `${from.name}>${to.name}`].every(place => !this.partitioned.has(place))) {
				const isRunning = receiver.voter !== undefined;
				this.handle(receiver, {kind: 'received', now: this.now, envelope});
				if (sender !== undefined && !this.chance(this.#faults.loss)) {
					this.#outcomes.push({at: this.now + this.pick(40), sender, arrived: isRunning});
				}
			}
		}
	}

	/** Reports the outcomes of messages to their senders, unless the sender has restarted since. */
	#reportOutcomes(): void {
		const isDue = ({at, sender}: DeliveryOutcome) => at <= this.now && !this.isPaused(sender.node.name);
		const due = this.#outcomes.filter(receipt => isDue(receipt));
		this.#outcomes = this.#outcomes.filter(receipt => !isDue(receipt));
		for (const {sender: {node, incarnation, delivery}, arrived} of due) {
			if (node.incarnation === incarnation) {
				this.handle(node, {
					kind: 'deliveryEnded', now: this.now, delivery, arrived,
				});
			}
		}
	}

	#runNode(node: SimulatedNode): void {
		if (node.voter === undefined && this.now >= node.startsAt) {
			const voterOptions: ConsensusOptions = {...options, self: node.identity, seed: this.pick(1_000_000)};
			node.voter = createVoter(voterOptions, node.disk, this.now);
			node.machine = JSON.parse(node.disk.snapshot?.data ?? '[]') as string[];
			node.incarnation++;
		}

		const synced = node.writes.filter(({syncedAt}) => syncedAt <= this.now);
		node.writes = node.writes.slice(synced.length);
		node.disk = synced.reduce((disk, {effect}) => applyWrite(disk, effect), node.disk);
		if (synced.length > 0) {
			this.handle(node, {kind: 'persisted', now: this.now, ticket: synced.at(-1)!.effect.ticket});
		}

		this.handle(node, {kind: 'ticked', now: this.now});
	}

	#togglePartition(place: string): void {
		if (!this.partitioned.delete(place)) {
			this.partitioned.add(place);
		}
	}

	#injectFaults(faults: Faults): void {
		this.#faults = faults;
		const node = this.nodes[this.pick(this.nodes.length)]!;
		const actions: ReadonlyArray<readonly [number, () => unknown]> = [
			[faults.crash, () => {
				this.crash(node, this.pick(1500));
			}],
			[faults.partition, () => {
				this.#togglePartition(node.name);
			}],
			[faults.linkPartition, () => {
				const other = this.nodes[this.pick(this.nodes.length)]!;
				this.#togglePartition(`${node.name}>${other.name}`);
				this.#togglePartition(this.chance(500) ? `${other.name}>${node.name}` : `${node.name}>${node.name}`);
			}],
			[this.isVoterSetComplete() ? faults.diskLoss : 0, () => {
				this.loseDisk(node, this.pick(500));
			}],
			[this.isVoterSetComplete() ? 0 : faults.diskLoss * 10, () => {
				this.repair();
			}],
			[faults.pause, () => {
				node.pausedUntil = this.now + this.pick(2000);
			}],
			[faults.leadershipTransfer, () => {
				this.handle(node, {kind: 'handOverRequested', now: this.now});
			}],
			[this.isPaused(node.name) ? 0 : faults.proposals, () => this.propose(node)],
			[this.isPaused(node.name) ? 0 : faults.proposals, () => this.read(node)],
		];
		for (const [probability, act] of actions) {
			if (this.chance(probability)) {
				act();
			}
		}
	}
}
