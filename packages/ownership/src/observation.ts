/**
 * The leader's observations of restarted instances. A process that requests a
 * seat as a later incarnation proves that its earlier incarnation has ended.
 */
import {
	type Incarnation, type InstanceName, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';
import {type SeatRequest} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {majorityOf} from './quorum.js';
import {type OwnershipState, type ZoneRoster} from './state.js';

/** The first observation of a later incarnation of an instance. */
export type SeatObservation = {readonly incarnation: Incarnation; readonly observedAt: MonotonicTime};

/** Observations by instance name. */
export type SeatObservations = Readonly<Record<InstanceName, SeatObservation>>;

function seatedIncarnation(table: OwnershipState, {name, zone}: InstanceRecord): Incarnation {
	const roster = table.rosters[zone];
	const incarnations = [...roster?.members ?? [], ...roster?.previousMembers ?? []].filter(member => member.name === name);
	return incarnations.reduce((latest, member) => Math.max(latest, member.incarnation), -Infinity);
}

/** Records a seat request. The first observation of a later incarnation is kept until that incarnation is seated. */
export function recordSeatRequest(observations: SeatObservations, request: SeatRequest, table: OwnershipState, now: MonotonicTime): SeatObservations {
	const {instance} = request;
	const recorded = observations[instance.name];
	const isUnseated = recorded !== undefined && recorded.incarnation > seatedIncarnation(table, instance);
	if (isUnseated || (recorded !== undefined && instance.incarnation <= recorded.incarnation)) {
		return observations;
	}

	return {...observations, [instance.name]: {incarnation: instance.incarnation, observedAt: now}};
}

function intersectsEveryMajority(members: readonly InstanceRecord[], observations: SeatObservations): boolean {
	const restarted = members.filter(member => (observations[member.name]?.incarnation ?? -Infinity) > member.incarnation);
	return members.length === 0 || restarted.length > members.length - majorityOf(members.length);
}

/**
 * Whether so many members have restarted that no majority can support a steward
 * any more, neither of the current roster nor of the previous one.
 */
export function hasLostMajority(roster: ZoneRoster, observations: SeatObservations): boolean {
	return roster.members.length + roster.previousMembers.length > 0
		&& intersectsEveryMajority(roster.members, observations)
		&& intersectsEveryMajority(roster.previousMembers, observations);
}
