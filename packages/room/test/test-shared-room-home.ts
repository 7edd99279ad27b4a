import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RefusalCause} from '@dogwooddeck/room/message';
import {lostAfterMilliseconds, RoomShare} from '@dogwooddeck/room/room-share';

type Case = {
	readonly name: string;
	readonly homeZones: readonly string[];
	/** Zones whose keepers were asked and have answered nothing. */
	readonly lost: readonly string[];
	readonly expected: {readonly kind: string; readonly zone?: string; readonly isForeign?: boolean};
};

const own = 'a';
const now = 10_000;
const terms = {
	priority: 0, startBy: now + 300, deadline: now + 2000, otherZones: ['d'],
};

const cases: readonly Case[] = [
	{
		name: 'the own zone', homeZones: [own], lost: [], expected: {kind: 'ask', zone: own, isForeign: false},
	},
	{
		name: 'a route that does not allow the own zone', homeZones: ['b', 'c'], lost: [], expected: {kind: 'ask', zone: 'b', isForeign: false},
	},
	{
		name: 'the first keeper is lost', homeZones: ['b', 'c'], lost: ['b'], expected: {kind: 'ask', zone: 'c', isForeign: false},
	},
	{
		name: 'all keepers are lost', homeZones: ['b', 'c'], lost: ['b', 'c'], expected: {kind: 'alone'},
	},
];

for (const {
	name, homeZones, lost, expected,
} of cases) {
	test(`shared room, the zone that is asked first: ${name}`, () => {
		const share = new RoomShare('entry/1', own);
		for (const zone of lost) {
			share.request({...terms, homeZones: [zone]}, now - lostAfterMilliseconds - 1);
		}

		share.advance(now);
		const decision = share.request({...terms, homeZones}, now);
		assert.deepEqual(decision.kind === 'ask' ? {kind: decision.kind, zone: decision.zone, isForeign: decision.ask.isForeign} : {kind: decision.kind}, expected);
	});
}

test('shared room: a zone that was asked in place of the first one refuses, and the first one is asked again and may let it wait', () => {
	const share = new RoomShare('entry/1', own);
	const asked = share.request({...terms, homeZones: ['b']}, now);
	assert.ok(asked.kind === 'ask');
	const elsewhere = share.answer({
		kind: 'elsewhere', entry: 'entry/1', ask: asked.ask.ask, term: 1, zone: 'd',
	}, now + 1);
	assert.ok(elsewhere.kind === 'ask' && elsewhere.zone === 'd' && elsewhere.ask.isForeign);
	const again = share.answer({
		kind: 'refuse', entry: 'entry/1', ask: elsewhere.ask.ask, term: 1, cause: RefusalCause.noTimeToWait, retryWithin: 10,
	}, now + 2);
	assert.ok(again.kind === 'ask' && again.zone === 'b' && !again.ask.isForeign && again.ask.otherZones.length === 0);
});
