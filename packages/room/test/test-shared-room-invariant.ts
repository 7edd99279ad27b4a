/**
 * What instances have in flight at an upstream stays within its places, while
 * messages are lost, delayed and duplicated, and keepers freeze, thaw and change.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {RoomKeeper} from '@dogwooddeck/room/keeper';
import {type KeeperAnswer, type KeeperRequest} from '@dogwooddeck/room/message';
import {type RoomDecision, RoomShare} from '@dogwooddeck/room/room-share';
import {dividePlaces, UpstreamRoom} from '@dogwooddeck/room/upstream-room';

const seed = 20_261_206;
const own = ['own 0', 'own 1', 'own 2', 'own 3', 'own 4'];
const cutOff = new Set(['own 0', 'own 1', 'own 2']);
const foreign = ['other 0', 'other 1'];
const upstreams = ['one', 'two'];
const longestMilliseconds = 800;
const tenureMilliseconds = 300;
const places = dividePlaces(2, 6);
const zone = 'zone';
const placesPerEntry = 2;
const stepMilliseconds = 5;

type Trouble = {
	readonly lossShare: number;
	readonly duplicateShare: number;
	readonly longestDelay: number;
	readonly freezes: boolean;
	readonly changes: boolean;
	/** Some instances reach only the keeper before the newest one. */
	readonly splits: boolean;
};

/** A small deterministic generator: each schedule is one whole number. */
function generator(start: number): () => number {
	let state = start + 1;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

function runSteps(step: () => void, count: number): void {
	for (let one = 0; one < count; one++) {
		step();
	}
}

/** Plays one schedule; returns the most that was in flight by kept places, own and foreign, and the number of requests that were sent. */
function play(trouble: Trouble, schedule: number): {readonly own: number; readonly foreign: number; readonly sent: number} {
	const random = generator(schedule);
	const due: Array<{readonly at: number; readonly run: () => void}> = [];
	const shares = new Map([...own, ...foreign].map(name => [name, new RoomShare(name, zone, placesPerEntry)]));
	const inFlight = new Map<string, {readonly upstream: string; readonly isForeign: boolean}>();
	const most = {own: 0, foreign: 0, sent: 0};
	let now = 0;
	let term = 0;
	let frozenUntil = 0;
	let keepers: RoomKeeper[] = [];
	let nextChangeAt = 0;

	const after = (milliseconds: number, run: () => void) => {
		due.push({at: now + milliseconds, run});
	};

	const message = (run: () => void) => {
		const copies = random() < trouble.duplicateShare ? [0, 1] : [0];
		for (const _copy of copies.filter(() => random() >= trouble.lossShare)) {
			after(1 + (random() * trouble.longestDelay), run);
		}
	};

	const runDue = () => {
		const ready = due.filter(({at}) => at <= now);
		due.splice(0, due.length, ...due.filter(({at}) => at > now));
		for (const {run} of ready) {
			run();
		}
	};

	const replaceKeeper = () => {
		const created = new RoomKeeper({
			term: ++term, startedAt: now, longestMilliseconds: term === 1 ? 0 : longestMilliseconds, own, foreign, placesPerEntry,
		});
		created.setUpstreams(upstreams.map(id => new UpstreamRoom(id, places)));
		// Every older one has had its last tenure, which is over now; it may be thawed later.
		keepers = [created, ...keepers].slice(0, 2);
	};

	const tell = (request: KeeperRequest, handled: (keeper: RoomKeeper) => void = () => undefined) => {
		const [keeper, old] = keepers;
		const isCutOff = trouble.splits && cutOff.has(request.entry);
		const target = old !== undefined && (isCutOff || random() < 0.3) ? old : keeper!;
		message(() => {
			due.push({
				at: Math.max(now, frozenUntil), run() {
					deliver(target.handle(request, now));
					handled(target);
				},
			});
		});
	};

	const release = (entry: string, ask: number) => {
		const released = shares.get(entry)!.release(ask, {took: 20, hasFailed: false});
		if (released !== undefined) {
			tell(released.release);
		}
	};

	const deadlines = new Map<string, number>();
	const handlers: HandlerTable<RoomDecision, [entry: string, ask: number], void> = {
		ask({ask}) {
			tell(ask);
		},
		send({upstream}, entry, ask) {
			const key = `${entry} ${ask}`;
			const left = deadlines.get(key)! - now;
			inFlight.set(key, {upstream, isForeign: foreign.includes(entry)});
			most.sent += 1;
			after(random() < 0.2 ? left : Math.min(left, 10 + (random() * 100)), () => {
				inFlight.delete(key);
				release(entry, ask);
			});
		},
		alone(_decision, entry, ask) {
			release(entry, ask);
		},
		refuse() {
			// Nothing is asked for any more.
		},
		ignore() {
			// It was decided on before.
		},
	};

	const decide = (entry: string, ask: number, decision: RoomDecision) => {
		dispatch(handlers, decision, entry, ask);
	};

	const take = (answer: KeeperAnswer) => {
		decide(answer.entry, answer.ask, shares.get(answer.entry)!.answer(answer, now));
	};

	const deliver = (answers: readonly KeeperAnswer[]) => {
		for (const answer of answers) {
			message(() => {
				take(answer);
			});
		}
	};

	const advanceKeepers = () => {
		if (now >= nextChangeAt) {
			replaceKeeper();
			nextChangeAt = trouble.changes ? now + tenureMilliseconds + (random() * 1200) : Infinity;
		}

		if (trouble.freezes && random() < 0.01) {
			frozenUntil = now + (random() * 700);
		}

		if (now >= frozenUntil) {
			// A tenure ends before the successor starts.
			keepers[0]!.setTenure(Math.min(now + tenureMilliseconds, nextChangeAt));
			for (const keeper of keepers) {
				deliver(keeper.advance(now));
			}
		}
	};

	const arrive = (entry: string, share: RoomShare) => {
		const deadline = now + (longestMilliseconds * random());
		const decision = share.request({
			priority: Math.floor(random() * 3), startBy: now + (random() * 300), deadline, homeZones: [zone], otherZones: [],
		}, now);
		if (decision.kind === 'ask') {
			const ask = {...decision.ask, isForeign: foreign.includes(entry)};
			deadlines.set(`${entry} ${ask.ask}`, deadline);
			tell(ask);
		}
	};

	const report = (entry: string, share: RoomShare) => {
		const sent = {...share.report(zone, now), isForeign: foreign.includes(entry)};
		tell(sent, keeper => {
			const answer = keeper.answerReport(sent);
			message(() => {
				share.reported(zone, answer, now);
			});
		});
		for (const ask of share.advance(now)) {
			release(entry, ask);
		}
	};

	const step = () => {
		advanceKeepers();
		for (const [entry, share] of shares) {
			if (random() < 0.2) {
				arrive(entry, share);
			}

			if (now % 50 === 0) {
				report(entry, share);
			}
		}

		runDue();
		for (const upstream of upstreams) {
			const there = [...inFlight.values()].filter(one => one.upstream === upstream);
			const others = there.filter(({isForeign}) => isForeign).length;
			most.own = Math.max(most.own, there.length - others);
			most.foreign = Math.max(most.foreign, others);
		}

		now += stepMilliseconds;
	};

	runSteps(step, 1000);

	return most;
}

const calm: Trouble = {
	lossShare: 0, duplicateShare: 0, longestDelay: 5, freezes: false, changes: false, splits: false,
};

const cases: ReadonlyArray<{readonly name: string; readonly trouble: Trouble; readonly leastSent: number}> = [
	// Half of what two upstreams with two slots and one more place each can take in 5 s at 130 ms.
	{name: 'a calm time', trouble: calm, leastSent: 115},
	{
		name: 'messages are lost and duplicated', trouble: {
			...calm, lossShare: 0.1, duplicateShare: 0.2, longestDelay: 60,
		}, leastSent: 20,
	},
	{name: 'the keeper freezes and thaws', trouble: {...calm, freezes: true}, leastSent: 50},
	{name: 'keepers follow each other', trouble: {...calm, changes: true}, leastSent: 50},
	{name: 'instances are cut off with the old keeper', trouble: {...calm, changes: true, splits: true}, leastSent: 1},
	{
		name: 'all of it', trouble: {
			lossShare: 0.1, duplicateShare: 0.1, longestDelay: 100, freezes: true, changes: true, splits: true,
		}, leastSent: 1,
	},
];

for (const {name, trouble, leastSent} of cases) {
	test(`shared room: what is in flight stays within the places: ${name} (seed ${seed})`, () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), schedule => {
			const most = play(trouble, schedule);
			assert.ok(most.own <= places.own, `${most.own} in flight of ${places.own} places`);
			assert.ok(most.foreign <= places.foreign, `${most.foreign} in flight from other zones, of ${places.foreign} places`);
			assert.ok(most.sent >= leastSent, `${most.sent} sent`);
		}), {seed, numRuns: 60});
	});
}
