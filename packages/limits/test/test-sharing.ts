/** Tests how demands for one limit are answered, also by a new leader. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CountedQuantity, LimitScope, WindowForm} from '@dogwooddeck/model/contract';
import {Divider, type LimitDemand} from '@dogwooddeck/model/share';
import {
	createSharing, shareMilliseconds, grantLimitShare, type SharingState,
} from '@dogwooddeck/limits/sharing';
import {type EffectiveLimit} from '@dogwooddeck/limits/unit';

const limit: EffectiveLimit = {
	amount: 100, intervalMilliseconds: 10_000, window: WindowForm.sliding, burst: 1, counts: CountedQuantity.requests, scope: LimitScope.deployment,
};

const commitmentMilliseconds = shareMilliseconds + limit.intervalMilliseconds + 1000;

function demand(holder: string, sequence: number, wanted: number, held = 0): LimitDemand {
	return {
		service: 'team/service', limit: 'limit', caller: '', divider: Divider.control, holder, sequence, wanted, held, usable: held,
	};
}

type TimedDemand = {readonly at: number; readonly demand: LimitDemand};

function amounts(state: SharingState, demands: readonly TimedDemand[], instances: number): readonly number[] {
	let next = state;
	return demands.map(({at, demand: one}) => {
		const answered = grantLimitShare(next, one, {limit, amount: limit.amount}, instances, at);
		next = answered.state;
		return answered.share?.amount ?? -1;
	});
}

const cases: ReadonlyArray<{readonly name: string; readonly state: SharingState; readonly demands: readonly TimedDemand[]; readonly instances?: number; readonly expected: readonly number[]}> = [
	{
		name: 'the limit of a new service is available at once',
		state: createSharing(0, []),
		demands: [{at: 1, demand: demand('one', 1, 40)}],
		expected: [80],
	},
	{
		name: 'the first holder leaves the rest to the next',
		state: createSharing(0, []),
		demands: [{at: 1, demand: demand('one', 1, 40)}, {at: 2, demand: demand('two', 1, 40)}],
		expected: [80, 20],
	},
	{
		name: 'the first holders leave a share to every expected instance',
		state: createSharing(0, []),
		demands: ['one', 'two', 'three', 'four'].map((name, position) => ({at: position, demand: demand(name, 1, 1)})),
		instances: 4,
		expected: [13, 13, 13, 13],
	},
	{
		name: 'one instance of four can use nearly all',
		state: createSharing(0, []),
		demands: [{at: 1, demand: demand('one', 1, 100)}],
		instances: 4,
		expected: [93],
	},
	{
		name: 'a new leader grants no new shares of a service that an earlier leader divided',
		state: createSharing(0, ['team/service']),
		demands: [{at: 1, demand: demand('one', 1, 40)}, {at: 2, demand: demand('two', 1, 40, 30)}],
		expected: [0, 30],
	},
	{
		name: 'a new leader divides once earlier shares no longer count',
		state: createSharing(0, ['team/service']),
		demands: [{at: commitmentMilliseconds, demand: demand('one', 1, 40)}],
		expected: [80],
	},
	{
		name: 'an outdated demand gets no share',
		state: createSharing(0, []),
		demands: [{at: 1, demand: demand('one', 2, 40)}, {at: 2, demand: demand('one', 1, 40)}],
		expected: [80, -1],
	},
];

for (const {
	name, state, demands, instances = 1, expected,
} of cases) {
	test(`sharing: ${name}`, () => {
		assert.deepEqual(amounts(state, demands, instances), expected);
	});
}
