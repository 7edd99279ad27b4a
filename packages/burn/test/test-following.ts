import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Assignment, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {createFollowed, figuresOf, follow} from '@dogwooddeck/burn/following';

const service = 'team/service';
const slots = 2;
const endMilliseconds = 1000;

function owned(slot: number, name: string, fence = 1): Assignment {
	return {
		phase: 'granted', slot, fence, owner: {service, name, incarnation: 1},
	};
}

function revoked(slot: number, name: string): Assignment {
	return {
		phase: 'revoking', slot, fence: 1, revokedAt: 2, owner: {service, name, incarnation: 1},
	};
}

function free(slot: number): Assignment {
	return {phase: 'vacant', slot};
}

function table(assignments: readonly Assignment[], ...pinned: readonly number[]): ServiceAssignments {
	return {service, assignments, pinned: pinned.map(slot => ({key: `key-${slot}`, home: 0, slot}))};
}

type Observed = {
	readonly at: number;
	readonly table: ServiceAssignments;
	/** How long lost owners had been without contact, in milliseconds. */
	readonly silent?: number;
};

const cases: ReadonlyArray<{readonly name: string; readonly seen: readonly Observed[]; readonly unavailable: number; readonly moves: number; readonly imbalance: number; readonly owners: number}> = [
	{
		name: 'a slot that never had an owner is not unavailable',
		seen: [{at: 0, table: table([free(0), free(1)])}],
		unavailable: 0, moves: 0, imbalance: 0, owners: 0,
	},
	{
		name: 'a move counts, as does the time between the owners',
		seen: [
			{at: 0, table: table([owned(0, 'one'), owned(1, 'two')])},
			{at: 100, table: table([free(0), owned(1, 'two')])},
			{at: 140, table: table([owned(0, 'two'), owned(1, 'two')])},
		],
		unavailable: 40, moves: 1, imbalance: 1, owners: 1,
	},
	{
		name: 'a slot that returns to its owner is not a move',
		seen: [
			{at: 0, table: table([owned(0, 'one'), owned(1, 'two')])},
			{at: 100, table: table([free(0), owned(1, 'two')])},
			{at: 130, table: table([owned(0, 'one', 2), owned(1, 'two')])},
		],
		unavailable: 30, moves: 0, imbalance: 1, owners: 2,
	},
	{
		name: 'a time without an owner that is still open counts up to now',
		seen: [{at: 0, table: table([owned(0, 'one'), owned(1, 'two')])}, {at: 900, table: table([free(0), owned(1, 'two')])}],
		unavailable: 100, moves: 0, imbalance: 1, owners: 1,
	},
	{
		name: 'the slot of a lost owner is unavailable from the last contact',
		seen: [
			{at: 0, table: table([owned(0, 'one'), owned(1, 'two')])},
			{at: 500, table: table([free(0), owned(1, 'two')]), silent: 350},
			{at: 540, table: table([owned(0, 'two'), owned(1, 'two')]), silent: 350},
		],
		unavailable: 390, moves: 1, imbalance: 1, owners: 1,
	},
	{
		name: 'the time without contact of a lost owner counts once',
		seen: [
			{at: 0, table: table([owned(0, 'one'), owned(1, 'two')])},
			{at: 500, table: table([revoked(0, 'one'), owned(1, 'two')]), silent: 350},
			{at: 520, table: table([free(0), owned(1, 'two')]), silent: 350},
		],
		unavailable: 850, moves: 0, imbalance: 1, owners: 1,
	},
	{
		name: 'the slot of a key that is no longer pinned is not unavailable',
		seen: [
			{at: 0, table: table([owned(0, 'one'), owned(1, 'two'), owned(2, 'one')], 2)},
			{at: 100, table: table([owned(0, 'one'), owned(1, 'two'), free(2)])},
		],
		unavailable: 0, moves: 0, imbalance: 1, owners: 2,
	},
	{
		name: 'reuse of a slot for another key is not a move',
		seen: [
			{at: 0, table: table([owned(0, 'one'), owned(1, 'two'), owned(2, 'one')], 2)},
			{at: 100, table: table([owned(0, 'one'), owned(1, 'two'), free(2)])},
			{at: 200, table: table([owned(0, 'one'), owned(1, 'two'), owned(2, 'two')], 2)},
		],
		unavailable: 0, moves: 0, imbalance: 4 / 3, owners: 2,
	},
];

for (const {
	name, seen, unavailable, moves, imbalance, owners,
} of cases) {
	test(`ownership tracker: ${name}`, () => {
		let followed = createFollowed(service);
		for (const {at, table: now, silent = 0} of seen) {
			followed = follow(followed, {table: now, slots, silenceOf: () => silent}, at);
		}

		assert.deepEqual(figuresOf(followed, endMilliseconds), {
			service, unavailableSlotMilliseconds: unavailable, moves, slotImbalance: imbalance, owners,
		});
	});
}
