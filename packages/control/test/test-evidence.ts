/**
 * Tests which revocations of a service end together: the evidence is checked once
 * for all slots with the same revocation index and zone, and for no others.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {defaultContract, type ServiceContract, PartitionPolicy} from '@dogwooddeck/model/contract';
import {UpstreamPhase} from '@dogwooddeck/model/registry';
import {applyMembership} from '@dogwooddeck/membership/registry';
import {defaultLeaseTerms} from '@dogwooddeck/ownership/terms';
import {createLeader} from '@dogwooddeck/control/leader';
import {type LeaderState} from '@dogwooddeck/control/leader-state';
import {serviceProposals} from '@dogwooddeck/control/service-proposals';
import {type ControlState, emptyControl} from '@dogwooddeck/control/state';

const service = 'team/service';
const contract: ServiceContract = {
	...defaultContract, name: service, prefix: '/service', key: {place: 'path', segment: 0}, slots: 4, whenCut: PartitionPolicy.hold,
};
const now = 1_000_000;
const zones = ['noord-a', 'noord-b'] as const;
type Zone = (typeof zones)[number];

function revoking(slot: number, zone: Zone, revokedAt: number): Assignment {
	return {
		phase: AssignmentPhase.revoking, slot, owner: {service, name: `of-${zone}`, incarnation: 1}, fence: 1, revokedAt,
	};
}

const assignments: readonly Assignment[] = [
	revoking(0, 'noord-a', 5), revoking(1, 'noord-a', 7), revoking(2, 'noord-b', 5), revoking(3, 'noord-a', 5),
];

const membership = zones.reduce((state, zone) => applyMembership(state, {
	kind: 'upstreamJoined',
	record: {
		service, name: `of-${zone}`, incarnation: 1, region: 'noord', zone, address: '127.0.0.1:1', phase: UpstreamPhase.serving,
	},
}, 1).unwrapOr(state), emptyControl.membership);

const rosters = Object.fromEntries(zones.map(zone => [zone, {
	zone, region: 'noord', previousMembers: [], changedAt: 1, members: [{
		name: `entry-${zone}`, incarnation: 1, zone, region: 'noord', peerAddress: '', callerAddress: '', operatorAddress: '',
	}],
}]));

const control: ControlState = {
	...emptyControl,
	applied: 9,
	membership,
	ownership: {
		services: {[service]: {service, assignments, pinned: []}},
		policies: {
			[service]: {
				service, slots: 4, changedAt: 1, whenCut: PartitionPolicy.hold, longestDeadlineMilliseconds: 1000,
			},
		},
		rosters,
	},
};

type ZoneEvidence = {readonly drained: number; readonly isPartitioned: boolean};

function leaderWithEvidence(evidence: Readonly<Record<Zone, ZoneEvidence>>): LeaderState {
	const leader = createLeader(now, control, defaultLeaseTerms, () => 0);
	const delegations = zones.map(zone => {
		const {drained, isPartitioned} = evidence[zone];
		return [zone, {drained, minimumApplied: 0, delegatedUntil: isPartitioned ? 0 : now + 1000}] as const;
	});
	return {...leader, grantor: {...leader.grantor, zones: Object.fromEntries(delegations)}};
}

const cases: ReadonlyArray<{readonly name: string; readonly evidence: Readonly<Record<Zone, ZoneEvidence>>; readonly ended: readonly number[]}> = [
	{name: 'no zone is drained', evidence: {'noord-a': {drained: 4, isPartitioned: false}, 'noord-b': {drained: 9, isPartitioned: false}}, ended: []},
	{name: 'a zone is drained to the earlier revocation', evidence: {'noord-a': {drained: 5, isPartitioned: false}, 'noord-b': {drained: 9, isPartitioned: false}}, ended: [0, 2, 3]},
	{name: 'all are drained', evidence: {'noord-a': {drained: 7, isPartitioned: false}, 'noord-b': {drained: 9, isPartitioned: false}}, ended: [0, 1, 2, 3]},
	{name: 'a partitioned zone blocks only the slots of its own owners', evidence: {'noord-a': {drained: 0, isPartitioned: true}, 'noord-b': {drained: 9, isPartitioned: false}}, ended: [2]},
];

for (const {name, evidence, ended} of cases) {
	test(`evidence: ${name}`, () => {
		const {commands} = serviceProposals(leaderWithEvidence(evidence), control, contract, now);
		const released = commands.flatMap(command => command.kind === 'assignmentsReleased' ? command.releases : []);
		assert.deepEqual(released, ended.map(slot => ({slot, revokedAt: slot === 1 ? 7 : 5})));
	});
}
