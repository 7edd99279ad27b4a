import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type ColdPace, createLeasePace, createTurnPace, equalPart, HighestCount,
} from '@dogwooddeck/gateway/cold-admission';
import {ColdLeases, leaseMilliseconds} from '@dogwooddeck/gateway/cold-lease';

type PaceStep = {readonly at: number; readonly wait: number; readonly sends?: boolean; readonly isForgotten?: boolean};
type PaceCase = {readonly name: string; readonly create: (random: () => number) => ColdPace; readonly random: number; readonly rate: number; readonly steps: readonly PaceStep[]};

const paces: readonly PaceCase[] = [
	{
		name: 'no lease', create: createLeasePace, random: 1, rate: 0, steps: [{at: 0, wait: Infinity}],
	},
	{
		name: 'a lease', create: createLeasePace, random: 1, rate: 5, steps: [{at: 0, wait: 0, sends: true}, {at: 0, wait: 200}, {at: 150, wait: 50}, {at: 200, wait: 0, sends: true}, {at: 210, wait: 190}],
	},
	{
		name: 'a lease that was not used for long', create: createLeasePace, random: 0, rate: 5, steps: [{at: 0, wait: 200}, {at: 9000, wait: 0, sends: true}, {at: 9000, wait: 200}],
	},
	{
		name: 'a lease of an upstream that was warm in between', create: createLeasePace, random: 0, rate: 5, steps: [{at: 0, wait: 200}, {at: 5000, wait: 200, isForgotten: true}],
	},
	{
		name: 'a turn', create: createTurnPace, random: 0.5, rate: 0.1, steps: [{at: 0, wait: 5000}, {at: 5000, wait: 0}, {at: 5999, wait: 0, sends: true}, {at: 5999, wait: 9001}, {at: 15_000, wait: 0}],
	},
	{
		name: 'a turn that lapsed', create: createTurnPace, random: 0.5, rate: 0.1, steps: [{at: 0, wait: 5000}, {at: 6000, wait: 9000}, {at: 36_000, wait: 9000}],
	},
	{
		name: 'turns in quick succession', create: createTurnPace, random: 0, rate: 5, steps: [{at: 0, wait: 0, sends: true}, {at: 100, wait: 100}, {at: 200, wait: 0}, {at: 390, wait: 0, sends: true}, {at: 390, wait: 10}, {at: 1010, wait: 0}],
	},
	{
		name: 'a turn at an upstream that was warm in between', create: createTurnPace, random: 0.5, rate: 0.1, steps: [{at: 0, wait: 5000}, {at: 5000, wait: 5000, isForgotten: true}],
	},
];

for (const {
	name, create, random, rate, steps,
} of paces) {
	test(`cold pace: ${name}`, () => {
		const pace = create(() => random);
		for (const {at, wait, sends = false, isForgotten = false} of steps) {
			if (isForgotten) {
				pace.keepOnly(() => false);
			}

			assert.ok(Math.abs(pace.waitFor('u', rate, at) - wait) < 1e-6 || pace.waitFor('u', rate, at) === wait, `at ${at}: ${pace.waitFor('u', rate, at)}`);
			if (sends) {
				pace.recordSend('u', rate, at);
			}
		}
	});
}

type LeaseEvent =
	| {readonly at: number; readonly opens: string}
	| {readonly at: number; readonly from: string; readonly sentAt: number; readonly names?: readonly string[]; readonly zone?: string; readonly members?: readonly string[]};
type LeaseCase = {readonly name: string; readonly events: readonly LeaseEvent[]; readonly fractions: ReadonlyArray<readonly [at: number, fraction: number]>};

/** The clock of each control instance is 5000 ms behind that of the entry. */
const leases: readonly LeaseCase[] = [
	{name: 'no message', events: [], fractions: [[5000, 0]]},
	{
		name: 'named by one', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}], fractions: [[5010, 1], [5000 + leaseMilliseconds - 1, 1], [5000 + leaseMilliseconds, 0]],
	},
	{
		name: 'another upstream is named', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['v'],
		}], fractions: [[5010, 0]],
	},
	{
		name: 'no longer named', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}, {at: 5260, from: 'c', sentAt: 255}], fractions: [[5260, 0]],
	},
	{
		name: 'named in time, and again in a message that was long under way', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}, {
			at: 7000, from: 'c', sentAt: 255, names: ['u'],
		}], fractions: [[7000, 0]],
	},
	{
		name: 'named in the first message, which was long under way', events: [{at: 5000, opens: 'c'}, {
			at: 7000, from: 'c', sentAt: 5, names: ['u'],
		}], fractions: [[7000, 0]],
	},
	{
		name: 'named after the control instance has restarted', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 100_000, names: ['u'],
		}, {at: 9000, opens: 'c'}, {
			at: 9010, from: 'c', sentAt: 1, names: ['u'],
		}], fractions: [[9010, 1]],
	},
	{
		name: 'named by one of another zone', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'], zone: 'y',
		}], fractions: [[5010, 0]],
	},
	{
		name: 'named by one of two', events: [{at: 5000, opens: 'c'}, {at: 5000, opens: 'd'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}, {at: 5010, from: 'd', sentAt: 5}], fractions: [[5010, 0.5]],
	},
	{
		name: 'named by both of two', events: [{at: 5000, opens: 'c'}, {at: 5000, opens: 'd'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}, {
			at: 5010, from: 'd', sentAt: 5, names: ['u'],
		}], fractions: [[5010, 1]],
	},
	{
		name: 'named by one, the other is in another zone', events: [{at: 5000, opens: 'c'}, {at: 5000, opens: 'd'}, {
			at: 5010, from: 'd', sentAt: 5, zone: 'y',
		}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}], fractions: [[5010, 1]],
	},
	{
		name: 'named by one, the zone of the other is not known', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'],
		}], fractions: [[5010, 1]],
	},
	{
		name: 'named by one, another is known by its address only', events: [{at: 5000, opens: 'c'}, {
			at: 5010, from: 'c', sentAt: 5, names: ['u'], members: ['c', 'd'],
		}], fractions: [[5010, 0.5]],
	},
];

for (const {name, events, fractions} of leases) {
	test(`cold leases: ${name}`, () => {
		const held = new ColdLeases('e');
		for (const event of events) {
			if ('opens' in event) {
				held.open(event.opens, event.at);
			} else {
				const {at, from, sentAt, names, zone = 'z', members = [...new Set(events.flatMap(other => 'opens' in other ? [other.opens] : []))]} = event;
				held.receive(from, {
					zone, sentAt, members, ...(names === undefined ? {} : {cold: {e: names, other: ['x']}}),
				}, at);
			}
		}

		for (const [at, fraction] of fractions) {
			assert.equal(held.fractionOf('u', 'z', at), fraction, `at ${at}`);
		}
	});
}

test('cold leases: changes are told once', () => {
	const held = new ColdLeases('e');
	held.open('c', 0);
	const message = {zone: 'z', members: ['c'], cold: {e: ['u', 'v']}};
	held.receive('c', {...message, sentAt: 1}, 2);
	assert.deepEqual(held.takeChanges(2), {gained: ['u', 'v'], lost: []});
	held.receive('c', {...message, sentAt: 251, cold: {e: ['v']}}, 252);
	assert.deepEqual(held.takeChanges(252), {gained: [], lost: ['u']});
	assert.deepEqual(held.takeChanges(253), {gained: [], lost: []});
	assert.deepEqual(held.takeChanges(300 + leaseMilliseconds), {gained: [], lost: ['v']});
});

test('cold admission: the equal part of an entry, by the highest recent count', () => {
	const entries = new HighestCount();
	const steps = [[0, 63, 63], [100, 12, 63], [9000, 40, 63], [10_001, 40, 40], [10_002, 70, 70]] as const;
	for (const [at, count, expected] of steps) {
		assert.equal(entries.record(count, at), expected, `at ${at}`);
	}

	assert.equal(equalPart(5.2, 0), 2.6);
	assert.equal(equalPart(5.2, 26), 0.1);
});
