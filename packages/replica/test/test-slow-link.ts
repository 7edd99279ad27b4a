/**
 * Voters in two regions: the messages between them share a slow link, on which a call
 * is given up when its deadline passes. Committed changes must reach the far region in time.
 */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {bootstrapCluster, bootstrapFolder} from '@dogwooddeck/consensus/bootstrap';
import {type ConsensusEnvelope, messageCharacters} from '@dogwooddeck/consensus/message';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Storage} from '@dogwooddeck/storage/folder';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err, ok, type Result} from 'true-myth/result';
import {deliveryTimeout} from '@dogwooddeck/replica/delivery-timeout';
import {createStateHolder, type ReplicatedMachine} from '@dogwooddeck/replica/state-holder';
import {startVoter, type VoterRunner} from '@dogwooddeck/replica/voter-runner';

const silentLog: Log = {
	event: () => undefined, warning: () => undefined, error: () => undefined,
};

type CounterState = {readonly applied: number};

const machine: ReplicatedMachine<CounterState, undefined> = {
	empty: {applied: 0},
	apply: (_state, _payload, index) => ({state: {applied: index}, answers: [ok(undefined)]}),
	encode: state => JSON.stringify(state),
	decode: data => ok(JSON.parse(data) as CounterState),
};

const storage = {persist: async () => ok(undefined), close: async () => undefined} as unknown as Storage;

const names = ['near', 'leader', 'far'];
const stepMilliseconds = 5;
/** One-way delay between the regions. */
const delayMilliseconds = 30;
/** The overhead of a message: its header and transport framing. */
const overheadCharacters = 300;

type Transfer = {
	readonly envelope: ConsensusEnvelope;
	readonly deadline: number;
	readonly settle: (result: Result<undefined, Failure>) => void;
	remaining: number;
};

const deadlineExceeded = failure(FailureKind.unreachable, 'the deadline has passed');

/** A link whose concurrent transfers share its bandwidth. */
class SlowLink {
	/** The total number of characters that were passed to the link. */
	totalCharacters = 0;
	#transfers: Transfer[] = [];

	constructor(readonly charactersPerMillisecond: number) {}

	async carry(envelope: ConsensusEnvelope, now: number): Promise<Result<undefined, Failure>> {
		const characters = overheadCharacters + messageCharacters(envelope.message);
		this.totalCharacters += characters;
		return new Promise(resolve => {
			this.#transfers.push({
				envelope, deadline: now + deliveryTimeout(envelope.message), settle: resolve, remaining: characters,
			});
		});
	}

	/** Advances the time by one step; returns the transfers that have completed. */
	advance(now: number): readonly Transfer[] {
		let capacity = stepMilliseconds * this.charactersPerMillisecond;
		let open = this.#transfers;
		while (capacity > 0 && open.length > 0) {
			const share = capacity / open.length;
			for (const transfer of open) {
				const carried = Math.min(share, transfer.remaining);
				transfer.remaining -= carried;
				capacity -= carried;
			}

			capacity = Math.floor(capacity);
			open = open.filter(({remaining}) => remaining > 0);
		}

		const arrived = this.#transfers.filter(({remaining}) => remaining <= 0);
		const expired = this.#transfers.filter(({remaining, deadline}) => remaining > 0 && deadline <= now);
		this.#transfers = this.#transfers.filter(transfer => !arrived.includes(transfer) && !expired.includes(transfer));
		for (const {settle} of expired) {
			settle(err(deadlineExceeded));
		}

		return arrived;
	}
}

type Regions = {
	readonly run: (milliseconds: number, each?: (now: number) => void) => Promise<void>;
	readonly leader: () => VoterRunner<undefined> | undefined;
	readonly applied: (name: string) => number;
	readonly link: SlowLink;
	readonly stop: () => Promise<void>;
};

/** Starts three voters; `far` is on the other side of the link. */
function startRegions(context: TestContext, charactersPerMillisecond: number): Regions {
	let now = 1000;
	context.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	context.mock.method(performance, 'now', () => now);
	const link = new SlowLink(charactersPerMillisecond);
	const voters = new Map<string, VoterRunner<undefined>>();
	const holders = new Map(names.map(name => [name, createStateHolder(machine)]));
	let nearMessages: Array<{readonly envelope: ConsensusEnvelope; readonly settle: (result: Result<undefined, Failure>) => void}> = [];
	const delayed: Array<{readonly at: number; readonly act: () => void}> = [];

	async function send(envelope: ConsensusEnvelope): Promise<Result<undefined, Failure>> {
		const crosses = (envelope.from.name === 'far') !== (envelope.to.name === 'far');
		if (crosses) {
			return link.carry(envelope, now);
		}

		return new Promise(resolve => {
			nearMessages.push({envelope, settle: resolve});
		});
	}

	for (const [seed, name] of names.entries()) {
		voters.set(name, startVoter({
			options: {
				self: {name, folder: bootstrapFolder},
				electionMilliseconds: 750,
				heartbeatMilliseconds: 150,
				// The near voters start elections first, so that one of them becomes leader.
				firstElectionMilliseconds: name === 'far' ? 5000 : 250,
				startupVoteDelayMilliseconds: 0,
				entriesBeforeSnapshot: 1000,
				seed,
			},
			saved: bootstrapCluster(names),
			storage,
			holder: holders.get(name)!,
			log: silentLog,
			send,
			roleChanged: () => undefined,
			storageFailed(failed) {
				assert.fail(failed.detail);
			},
		}));
	}

	async function step(): Promise<void> {
		now += stepMilliseconds;
		context.mock.timers.tick(stepMilliseconds);
		const arrived = nearMessages;
		nearMessages = [];
		for (const {envelope, settle} of arrived) {
			voters.get(envelope.to.name)!.receive(envelope);
			settle(ok(undefined));
		}

		for (const {envelope, settle} of link.advance(now)) {
			delayed.push({
				at: now + delayMilliseconds,
				act() {
					voters.get(envelope.to.name)!.receive(envelope);
				},
			}, {
				at: now + (2 * delayMilliseconds),
				act() {
					settle(ok(undefined));
				},
			});
		}

		for (const due of delayed.filter(({at}) => at <= now)) {
			delayed.splice(delayed.indexOf(due), 1);
			due.act();
		}

		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	return {
		link,
		leader: () => [...voters.values()].find(voter => voter.isLeader()),
		applied: name => holders.get(name)!.state().applied,
		async run(milliseconds, each) {
			for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
				await step();
				each?.(now);
			}
		},
		async stop() {
			await Promise.all([...voters.values()].map(async voter => voter.stop()));
		},
	};
}

/** A change has to be applied everywhere this long after it was acknowledged. */
const applyDeadlineMilliseconds = 2500;

const cases: ReadonlyArray<{readonly name: string; readonly charactersPerMillisecond: number; readonly largeCharacters: number; readonly smallCharacters: number}> = [
	{
		name: 'small changes', charactersPerMillisecond: 500, largeCharacters: 2000, smallCharacters: 2000,
	},
	{
		name: 'a large change and small ones after it', charactersPerMillisecond: 500, largeCharacters: 300_000, smallCharacters: 2000,
	},
	{
		name: 'a change that takes longer than the timeout of a small message', charactersPerMillisecond: 250, largeCharacters: 300_000, smallCharacters: 2000,
	},
];

for (const {name, charactersPerMillisecond, largeCharacters, smallCharacters} of cases) {
	test(`slow link: ${name} reach the far region in time`, async context => {
		const regions = startRegions(context, charactersPerMillisecond);
		await regions.run(3000);
		const leading = regions.leader()!;
		/** The leader's commit index over time. */
		const committed: Array<{readonly at: number; readonly index: number}> = [];
		let proposed = 0;
		let latest = 0;
		await regions.run(8000, now => {
			committed.push({at: now, index: leading.committed()});
			if (now >= latest + 250 && proposed < 12) {
				void leading.propose('x'.repeat(proposed === 0 ? largeCharacters : smallCharacters));
				proposed += 1;
				latest = now;
			}

			const due = committed.findLast(({at}) => at <= now - applyDeadlineMilliseconds)?.index ?? 0;
			assert.ok(regions.applied('far') >= due, `far has applied ${regions.applied('far')}, and ${due} was committed ${applyDeadlineMilliseconds} ms ago`);
		});
		assert.equal(regions.applied('far'), leading.committed());
		assert.ok(regions.link.totalCharacters < 2 * (largeCharacters + (12 * smallCharacters) + (overheadCharacters * 400)), `${regions.link.totalCharacters} characters were passed to the link`);
		await regions.stop();
	});
}
