import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type ClaimRequest, type ClaimRoster, type ClaimSeat, ClaimVerdict,
} from '@dogwooddeck/routing/claim';
import {copiedThrough, createHolderState, stepHolder} from '@dogwooddeck/routing/claim-holder';
import {
	adoptView, applyReport, trackRoster, unsettledSeats,
} from '@dogwooddeck/routing/claim-rosters';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';

const hash = await loadTextHash();

const [first, second, third] = [['a', 'noord-1'], ['b', 'noord-2'], ['c', 'zuid-1']].map(([name, zone]) => ({name: name!, zone: zone!, incarnation: 1})) as [ClaimSeat, ClaimSeat, ClaimSeat];
const rosters: readonly ClaimRoster[] = [{index: 9, seats: [first, second, third]}, {index: 5, seats: [first, second]}];
const tracked = rosters.map(roster => trackRoster(roster));

type ReportCase = {readonly name: string; readonly requesterRosterIndex: number; readonly copiedThrough: number; readonly unsettled: readonly string[]};

const reportCases: readonly ReportCase[] = [
	{
		name: 'requested by the newest roster, copied to its holders', requesterRosterIndex: 9, copiedThrough: 9, unsettled: [],
	},
	{
		name: 'requested before the newest roster was applied', requesterRosterIndex: 5, copiedThrough: 9, unsettled: ['a', 'b'],
	},
	{
		name: 'copied by an older roster', requesterRosterIndex: 9, copiedThrough: 5, unsettled: ['a', 'b'],
	},
	{
		name: 'copied by a roster that is not applied yet', requesterRosterIndex: 9, copiedThrough: 12, unsettled: ['a', 'b'],
	},
	{
		name: 'copies are missing', requesterRosterIndex: 9, copiedThrough: 0, unsettled: ['a', 'b'],
	},
];

for (const {name, unsettled, ...report} of reportCases) {
	test(`claim rosters: a report, ${name}`, () => {
		const remaining = unsettledSeats(applyReport(tracked, {seat: first, ...report}));
		assert.deepEqual(remaining.map(seat => seat.name), unsettled);
	});
}

test('claim rosters: the report of another incarnation is ignored', () => {
	const report = {seat: {...first, incarnation: 2}, requesterRosterIndex: 9, copiedThrough: 9};
	assert.equal(unsettledSeats(applyReport(tracked, report)).length, 2);
});

for (const [newest, isAdopted] of [[9, true], [5, false], [12, false]] as const) {
	test(`claim rosters: a view made with roster ${newest} is ${isAdopted ? '' : 'not '}adopted with roster 9`, () => {
		assert.equal(adoptView(tracked, {newest, earlier: []}) !== undefined, isAdopted);
	});
}

const copy: ClaimRequest = {
	kind: 'claim-request',
	purpose: 'copy',
	operation: {service: 'bermrand/booking', key: 'verge-1', operationKey: 'one'},
	fingerprint: 'same',
	token: {claimant: third, sequence: 1},
	holder: {name: 'a', incarnation: 1},
	rosterIndex: 5,
	status: {kind: 'ended', outcome: 'ran'},
	lifetimeMilliseconds: 1000,
};

for (const verdict of Object.values(ClaimVerdict)) {
	test(`claim holder: a copy by an older roster is copied to the newer holders, and the verdict ${verdict} does ${verdict === ClaimVerdict.held ? '' : 'not '}acknowledge it`, () => {
		const holder = createHolderState(first, {records: 9, answerBytes: 99}, hash, {index: 9, seats: [first, second]});
		const {state, effects} = stepHolder(holder, {kind: 'message', now: 0, message: copy});
		const sent = effects.flatMap(effect => effect.kind === 'send' ? [effect.message as ClaimRequest] : []);
		assert.deepEqual(sent.map(message => message.holder), [{name: 'b', incarnation: 1}]);
		assert.equal(copiedThrough(state), 0);
		const after = stepHolder(state, {kind: 'copied', request: sent[0]!, verdict}).state;
		assert.equal(copiedThrough(after), verdict === ClaimVerdict.held ? 9 : 0);
	});
}
