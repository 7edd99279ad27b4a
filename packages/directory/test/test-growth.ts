/**
 * The cost of a plan must grow linearly with the number of upstreams, not
 * quadratically.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {createGrantingState, recordContact} from '@dogwooddeck/key-lease/granting';
import {keyCount, type KeyRange} from '@dogwooddeck/key-lease/range';
import {planDirectory} from '@dogwooddeck/directory/directory-plan';
import {type DirectoryState, emptyDirectory} from '@dogwooddeck/directory/state';
import {ZoneTimes} from '@dogwooddeck/directory/zone-times';
import {UpstreamState, type UpstreamRecord} from '@dogwooddeck/directory/upstream';

const options = {holdMilliseconds: 5000, clockDrift: 0.02};
const smallCount = 128;
const largeCount = 8 * smallCount;

/** Linear growth would be 8-fold, quadratic growth 64-fold. */
const maxGrowth = 20;
const rangesOfEach = 4;
const rounds = 5;

function stateOf(count: number): DirectoryState {
	const upstreams = Array.from({length: count}, (_, position): UpstreamRecord => ({
		id: `i-${position}`, born: 1, service: 's', address: `10.0.${Math.floor(position / 250)}.${position % 250}:80`, zone: 'z', slots: 2, state: UpstreamState.ready, cold: false,
	}));
	const width = keyCount / (count * rangesOfEach);
	const ranges = Array.from({length: count * rangesOfEach}, (_, position): KeyRange => {
		const {id, born} = upstreams[position % count]!;
		return {
			from: position * width, to: ((position + 1) * width) - 1, fence: 1, holder: {id, born}, told: true, handover: '',
		};
	});
	return {
		...emptyDirectory,
		items: {...emptyDirectory.items, service: {s: {version: 1, value: {keyed: true, maxConnections: 10}, document: '{}'}}},
		upstreams: Object.fromEntries(upstreams.map(upstream => [upstream.id, upstream])),
		keys: {s: ranges},
	};
}

/** The processor time of one plan, in microseconds: a busy machine lengthens the elapsed time of the larger plan much more than that of the smaller one. */
function timeOf(count: number): number {
	const state = stateOf(count);
	const granting = Object.values(state.upstreams).reduce((noted, {id, born}) => recordContact(noted, {id, born}, 1000, options), createGrantingState(0));
	const before = process.cpuUsage();
	const commands = planDirectory({
		state, granting, options, now: 1100, joinedAt: 0, mostRanges: 150, zoneTimes: new ZoneTimes(), workOf: () => ({rates: [], countedMilliseconds: 8000, relativeSpeedOf: () => 1}),
	});
	assert.deepEqual(commands, []);
	const {user, system} = process.cpuUsage(before);
	return user + system;
}

test('growth: the cost of a plan for 8 times as many upstreams grows about linearly', () => {
	const times = Array.from({length: rounds}, () => ({small: timeOf(smallCount), large: timeOf(largeCount)})).slice(1);
	const growth = Math.min(...times.map(({large}) => large)) / Math.min(...times.map(({small}) => small));
	assert.ok(growth < maxGrowth, `the cost grew ${growth.toFixed(1)}-fold`);
});
