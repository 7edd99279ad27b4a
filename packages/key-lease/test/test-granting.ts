import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createGrantingState, type GrantingState, type HeldKeys, lapsedRows, recordAnswer, recordContact, vacatedByAnnouncement, vacatedByTime,
} from '@dogwooddeck/key-lease/granting';
import {reportKeys} from '@dogwooddeck/key-lease/report';
import {type KeyRange, type UpstreamIncarnation} from '@dogwooddeck/key-lease/range';

const options = {holdMilliseconds: 5000, clockDrift: 0.02};
const holder: UpstreamIncarnation = {id: 'a', born: 1};
const recalled: KeyRange = {
	from: 0, to: 99, fence: 7, holder, releasingSince: 20, told: true, handover: '',
};

function announced(sequence: number, fields: Partial<HeldKeys> = {}): HeldKeys {
	return {
		life: holder, sequence, holds: [], released: [], ...fields,
	};
}

/** A leader elected at time 0 that answered announcement 4 of the holder, received at 1000 ms, with the state at a log index. */
function leaderThatAnswered(index: number): GrantingState {
	const contacted = recordContact(createGrantingState(0), holder, 1000, options);
	return recordAnswer(contacted, {
		holder, sequence: 4, receivedAt: 1000, index,
	}, options);
}

const vacatedRange = {
	from: 0, to: 99, holder, handover: '',
};

const announcements: ReadonlyArray<{readonly name: string; readonly state: GrantingState; readonly keys: HeldKeys; readonly range?: KeyRange; readonly vacated: readonly unknown[]}> = [
	{
		name: 'a released row is evidence and passes its token on', state: leaderThatAnswered(20), keys: announced(5, {released: [{from: 0, to: 99, handover: 't'}]}), vacated: [{...vacatedRange, handover: 't'}],
	},
	{
		name: 'a released part is evidence for that part only', state: leaderThatAnswered(20), keys: announced(5, {released: [{from: 50, to: 200, handover: 't'}]}), vacated: [{...vacatedRange, from: 50, handover: 't'}],
	},
	{
		name: 'a row no longer listed after an answer without it is vacated', state: leaderThatAnswered(20), keys: announced(5), vacated: [vacatedRange],
	},
	{
		name: 'a row that is still listed is not vacated', state: leaderThatAnswered(20), keys: announced(5, {holds: [{from: 90, to: 120, fence: 7}]}), vacated: [],
	},
	{
		name: 'an answer from before the recall proves nothing', state: leaderThatAnswered(19), keys: announced(5), vacated: [],
	},
	{
		name: 'an announcement that arrives out of order proves nothing', state: leaderThatAnswered(20), keys: announced(4, {released: [{from: 0, to: 99, handover: 't'}]}), vacated: [],
	},
	{
		name: 'a leader that has answered nothing yet ignores omissions', state: createGrantingState(0), keys: announced(5), vacated: [],
	},
	{
		name: 'a range that was not recalled is not vacated', state: leaderThatAnswered(20), keys: announced(5, {released: [{from: 0, to: 99, handover: 't'}]}), range: {
			from: 0, to: 99, fence: 7, holder, told: true, handover: '',
		}, vacated: [],
	},
	{
		name: 'another incarnation under the same name proves nothing', state: leaderThatAnswered(20), keys: {...announced(5, {released: [{from: 0, to: 99, handover: 't'}]}), life: {id: 'a', born: 2}}, vacated: [],
	},
];

for (const {name, state, keys, range = recalled, vacated} of announcements) {
	test(`granting: ${name}`, () => {
		assert.deepEqual(vacatedByAnnouncement(state, [range], reportKeys([range], keys)), vacated);
	});
}

const settled: KeyRange = {
	from: 0, to: 99, fence: 7, holder, told: true, handover: '',
};

const lapses: ReadonlyArray<{readonly name: string; readonly state: GrantingState; readonly keys: HeldKeys; readonly range?: KeyRange; readonly isLapsed: boolean}> = [
	{
		name: 'a row that an answer included is not listed', state: leaderThatAnswered(20), keys: announced(5), isLapsed: true,
	},
	{
		name: 'the row is listed', state: leaderThatAnswered(20), keys: announced(5, {holds: [{from: 0, to: 99, fence: 7}]}), isLapsed: false,
	},
	{
		name: 'the row was granted after the answer', state: leaderThatAnswered(6), keys: announced(5), isLapsed: false,
	},
	{
		name: 'the row is being recalled', state: leaderThatAnswered(20), keys: announced(5), range: recalled, isLapsed: false,
	},
	{
		name: 'the announcement arrives out of order', state: leaderThatAnswered(20), keys: announced(4), isLapsed: false,
	},
	{
		name: 'no announcement was answered yet', state: createGrantingState(0), keys: announced(5), isLapsed: false,
	},
];

for (const {name, state, keys, range = settled, isLapsed} of lapses) {
	test(`granting: a hold ${isLapsed ? 'has' : 'has not'} expired: ${name}`, () => {
		assert.deepEqual(lapsedRows(state, [range], reportKeys([range], keys)), isLapsed ? [range] : []);
	});
}

/** 5000 ms on a clock that runs 2% slow, plus the margin for delayed timers. */
const maxHold = (5000 / 0.98) + 50;

const expiries: ReadonlyArray<{readonly name: string; readonly state: GrantingState; readonly now: number; readonly isReplaced?: boolean; readonly isVacated: boolean}> = [
	{
		name: 'a new leader waits for the longest hold that an earlier leader may have renewed', state: createGrantingState(0), now: maxHold - 1, isVacated: false,
	},
	{
		name: 'a new leader waits no longer than that', state: createGrantingState(0), now: maxHold + 1, isVacated: true,
	},
	{
		name: 'a renewed hold is counted from when its announcement was received', state: leaderThatAnswered(20), now: 1000 + maxHold - 1, isVacated: false,
	},
	{
		name: 'a renewed hold expires', state: leaderThatAnswered(20), now: 1000 + maxHold + 1, isVacated: true,
	},
	{
		name: 'a holder that a later incarnation has replaced holds nothing', state: leaderThatAnswered(20), now: 1001, isReplaced: true, isVacated: true,
	},
];

for (const {name, state, now, isReplaced = false, isVacated} of expiries) {
	test(`granting: ${name}`, () => {
		const rows = vacatedByTime(state, [recalled], () => isReplaced, {now, options});
		assert.deepEqual(rows, isVacated ? [vacatedRange] : []);
	});
}
