/**
 * Builders for steward events in a zone of three members whose longest deadline is 800 ms.
 */
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {emptyReport, type SupportRenewal} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type StewardEvent} from '@dogwooddeck/ownership/steward-state';
import {emptyOwnership, type OwnershipState} from '@dogwooddeck/ownership/table';

/** Returns the record of an instance of the zone. */
export function record(name: string, incarnation = 1): InstanceRecord {
	return {
		name, incarnation, region: 'n', zone: 'n1', peerAddress: '', callerAddress: '', operatorAddress: '',
	};
}

/** The members of the zone. */
export const [a, b, c] = [record('a'), record('b'), record('c')];

function tableOf(members: readonly InstanceRecord[]): OwnershipState {
	const policy = {
		service: 's', slots: 1, changedAt: 1, whenCut: PartitionPolicy.hold, longestDeadlineMilliseconds: 800,
	};
	const roster = {
		zone: 'n1', region: 'n', members, previousMembers: [], changedAt: 2,
	};
	return {...emptyOwnership, policies: {s: policy}, rosters: {n1: roster}};
}

/** The instance applied a newer table with these members. */
export const tableChanged = (now: number, applied: number, members = [a, b, c]): StewardEvent => ({
	kind: 'tableChanged', now, applied, table: tableOf(members),
});
/** A tick. */
export const tick = (now: number): StewardEvent => ({kind: 'ticked', now});
/** A candidate requests support. */
export const supportRequested = (now: number, candidate: InstanceRecord, applied: number): StewardEvent => ({
	kind: 'supportRequested', now, request: {zone: 'n1', candidate, applied},
});
/** A member grants its support. */
export const supportGranted = (now: number, sentAt: number, supporter: InstanceRecord, applied: number): StewardEvent => ({
	kind: 'supportAnswered', now, sentAt, answer: {granted: true, supporter, applied},
});
/** A member refuses its support because it supports another candidate. */
export const supportRefused = (now: number, sentAt: number, supporter: InstanceRecord, supported: InstanceRecord): StewardEvent => ({
	kind: 'supportAnswered', now, sentAt, answer: {
		granted: false, supporter, applied: 10, supported,
	},
});
/** An instance requests a lease. */
export const leaseRequested = (now: number, instance: InstanceRecord, applied: number, drained = applied): StewardEvent => ({
	kind: 'leaseRequested', now, request: {
		instance, applied, drained, report: emptyReport,
	},
});
/** An instance requests a lease and renews its support. */
export const leaseRequestedWithRenewal = (now: number, instance: InstanceRecord, applied: number, supportRenewal: SupportRenewal): StewardEvent => ({
	kind: 'leaseRequested', now, request: {
		instance, applied, drained: applied, report: emptyReport, supportRenewal,
	},
});
/** Control grants or renews the delegation. */
export const delegationGranted = (now: number, sentAt: number, applied: number): StewardEvent => ({
	kind: 'delegationAnswered', now, sentAt, applied, answer: {termMilliseconds: 1500, shares: []},
});

/** Elects `a` as steward at 1601 ms by its own support and that of `b`, both until 3085 ms. */
export const election = [tableChanged(0, 10), tick(1600), supportGranted(1601, 1600, b, 10)];
/** Renews the support by a tick and an answer of `b`. */
export const renewalRound = (now: number, applied: number) => [tick(now), supportGranted(now + 1, now, b, applied)];
