/**
 * An instance's lease and its tracker of in-flight requests.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AssignmentPhase, type Assignment} from '@dogwooddeck/model/assignment';
import {createInFlightTracker, type InFlightTracker} from '@dogwooddeck/ownership/drain';
import {
	applyLeaseAnswer, createLease, type LeaseState, mayStart, isRequestDue, recordLeaseRequest,
} from '@dogwooddeck/ownership/lease';
import {emptyOwnership, type OwnershipState} from '@dogwooddeck/ownership/table';
import {defaultLeaseTerms as terms, timeToServeAgain} from '@dogwooddeck/ownership/terms';

const owner = {service: 's', name: 'u', incarnation: 1};
const steward = {name: 'a', incarnation: 1};
const granted: Assignment = {
	phase: AssignmentPhase.granted, slot: 0, owner, fence: 7,
};
const revoking: Assignment = {...granted, phase: AssignmentPhase.revoking, revokedAt: 20};
const vacant: Assignment = {phase: AssignmentPhase.vacant, slot: 0};

function leased(sentAt: number, holdMilliseconds: number, controlMilliseconds: number, lease = createLease(terms)): LeaseState {
	return applyLeaseAnswer(lease, {
		sentAt,
		answer: {
			steward, holdMilliseconds, controlMilliseconds, shares: [],
		},
	});
}

const startCases: ReadonlyArray<{readonly name: string; readonly lease: LeaseState; readonly at: number; readonly assignment?: Assignment; readonly expected: string}> = [
	{
		name: 'no lease', lease: createLease(terms), at: 0, expected: '',
	},
	{
		name: 'both leases in force', lease: leased(0, 1000, 1000), at: 989, expected: 'held other',
	},
	{
		name: 'both leases expired, with the drift bound deducted', lease: leased(0, 1000, 1000), at: 990, expected: '',
	},
	{
		name: 'the zone is partitioned from control', lease: leased(0, 1000, 200), at: 500, expected: 'held',
	},
	{
		name: 'an older answer arrives late', lease: leased(100, 10, 10, leased(500, 1000, 1000)), at: 1400, expected: 'held other',
	},
	{
		name: 'the owner is being revoked', lease: leased(0, 1000, 1000), at: 1, assignment: revoking, expected: '',
	},
	{
		name: 'the slot has no owner', lease: leased(0, 1000, 1000), at: 1, assignment: vacant, expected: '',
	},
];

for (const {name, lease, at, assignment = granted, expected} of startCases) {
	test(`lease: which requests may start: ${name}`, () => {
		const held = mayStart(lease, at, assignment, true) ? ['held'] : [];
		const other = mayStart(lease, at, assignment, false) ? ['other'] : [];
		assert.equal([...held, ...other].join(' '), expected);
	});
}

const dueCases: ReadonlyArray<{readonly name: string; readonly now: number; readonly applied?: number; readonly drained?: number; readonly expected: boolean}> = [
	{name: 'no progress', now: 249, expected: false},
	{name: 'a renewal', now: 250, expected: true},
	{
		name: 'progress, before the minimum interval', now: 24, drained: 6, expected: false,
	},
	{
		name: 'a newer table', now: 25, applied: 11, expected: true,
	},
	{
		name: 'drained further', now: 25, drained: 6, expected: true,
	},
];

for (const {name, now, applied = 10, drained = 5, expected} of dueCases) {
	test(`lease: when a request is due: ${name}`, () => {
		const lease = recordLeaseRequest(createLease(terms), {now: 0, applied: 10, drained: 5});
		assert.equal(isRequestDue(lease, now, applied, drained), expected);
	});
}

const drainCases: ReadonlyArray<{
	readonly name: string;
	readonly assignment: Assignment;
	readonly at?: number;
	readonly finish?: (tracker: InFlightTracker, requests: ReturnType<InFlightTracker['start']>) => void;
	readonly expected: number;
}> = [
	{name: 'still allowed', assignment: granted, expected: 30},
	{name: 'under revocation', assignment: revoking, expected: 19},
	{name: 'the slot is vacant', assignment: vacant, expected: 7},
	{name: 'granted again', assignment: {...granted, fence: 25}, expected: 7},
	{
		name: 'ended', assignment: revoking, finish(tracker, requests) {
			tracker.end(requests);
		}, expected: 30,
	},
	{
		name: 'abandoned', assignment: revoking, finish(tracker, requests) {
			tracker.abandon(requests);
		}, expected: 19,
	},
	{
		name: 'not yet past its deadline on every clock', assignment: revoking, at: 1020, expected: 19,
	},
	{
		name: 'past its deadline on every clock', assignment: revoking, at: 1021, expected: 30,
	},
];

for (const {name, assignment, at = 10, finish, expected} of drainCases) {
	test(`drain: one request in flight: ${name}`, () => {
		const state: OwnershipState = {...emptyOwnership, services: {s: {service: 's', assignments: [assignment], pinned: []}}};
		const tracker = createInFlightTracker(terms);
		const requests = tracker.start('s', 0, 7, 0, 1000);
		finish?.(tracker, requests);
		assert.equal(tracker.drainedIndex(state, 30, at), expected);
	});
}

test('terms: the default terms serve a key again within 4 s of a loss', () => {
	const {totalMilliseconds} = timeToServeAgain({longestDeadlineMilliseconds: 1500}, terms, 1000);
	assert.ok(totalMilliseconds < 4000, `${totalMilliseconds} ms`);
	console.log(`bound on the time to serve again: ${Math.round(totalMilliseconds)} ms`);
});
