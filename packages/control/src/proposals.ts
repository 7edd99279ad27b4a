/**
 * Computes the commands that a leader proposes at one time: verdicts on
 * upstreams, seats (memberships of instances in zone rosters), and for each
 * service grants, revocations and pins.
 */
import {contractsOf} from '@dogwooddeck/configuration/tree';
import {type MembershipCommand} from '@dogwooddeck/membership/registry';
import {advanceWatch} from '@dogwooddeck/membership/watch';
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {
	includesInstance, type Milliseconds, type MonotonicTime, sameInstance, sameUpstream, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type SeatRequest} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {mayUnseat, proposeSeat, settleRosters} from '@dogwooddeck/ownership/seat';
import {settlePolicies} from '@dogwooddeck/ownership/settling';
import {type OwnershipCommand, type ZoneRoster} from '@dogwooddeck/ownership/table';
import {grantorWait} from '@dogwooddeck/ownership/terms';
import {type ControlCommand} from './command.js';
import {type LeaderState, type Proposals} from './leader-state.js';
import {closingProposals, serviceProposals} from './service-proposals.js';
import {type ControlState} from './state.js';

const maximumCommands = 512;

/** A roster member without contact for this long loses its seat, if there is contact with another member of its zone. */
export const memberContactTimeoutMilliseconds: Milliseconds = 3000;

/** A member with contact within this time counts as present. In a partition, contact with all members of a zone ends together. */
const presenceTimeoutMilliseconds: Milliseconds = 1000;

function ownsSlots(control: ControlState, upstream: UpstreamIdentity): boolean {
	const assignments = control.ownership.services[upstream.service]?.assignments ?? [];
	return assignments.some(assignment => assignment.phase !== AssignmentPhase.vacant && sameUpstream(assignment.owner, upstream));
}

function mayBeProposed(command: MembershipCommand, control: ControlState): boolean {
	return command.kind !== 'upstreamForgotten' || !ownsSlots(control, command.upstream);
}

function membershipProposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const rosters = Object.values(control.ownership.rosters);
	const decided = advanceWatch(state.watch, {
		kind: 'ticked',
		now,
		registry: control.membership,
		contracts: contractsOf(control.configuration),
		rosterSizes: Object.fromEntries(rosters.map(({zone, members}) => [zone, members.length])),
	});
	const commands = decided.effects.map(effect => effect.command).filter(command => mayBeProposed(command, control));
	return {state: {...state, watch: decided.state}, commands};
}

function isMember(control: ControlState, {instance}: SeatRequest): boolean {
	const members = control.ownership.rosters[instance.zone]?.members ?? [];
	return includesInstance(members, instance);
}

function hasRecentContact(state: LeaderState, {name}: InstanceRecord, now: MonotonicTime): boolean {
	return now - (state.lastContacts[name] ?? state.grantor.startedAt) < memberContactTimeoutMilliseconds;
}

function isPresent(state: LeaderState, {name}: InstanceRecord, now: MonotonicTime): boolean {
	return now - (state.lastContacts[name] ?? -Infinity) < presenceTimeoutMilliseconds;
}

/**
 * Removes the seat of a member that leaves, or that is without contact while
 * another member is present. Majorities of the rosters before and after overlap,
 * so this is safe whether or not the removed member still runs.
 */
function proposeUnseat(state: LeaderState, roster: ZoneRoster, now: MonotonicTime): OwnershipCommand | undefined {
	const {zone, members} = roster;
	if (members.length < 2) {
		return undefined;
	}

	const removable = members.filter(member => mayUnseat(state.grantor, roster, member));
	const removed = removable.find(member => state.seats[member.name]?.leaving === true && sameInstance(member, state.seats[member.name]!.instance))
		?? removable.find(member => !hasRecentContact(state, member, now));
	const isAnotherPresent = members.some(member => member !== removed && isPresent(state, member, now));
	return removed !== undefined && isAnotherPresent
		? {
			kind: 'instanceUnseated', zone, changedAt: roster.changedAt, instance: {name: removed.name, incarnation: removed.incarnation},
		}
		: undefined;
}

/**
 * Whether a new process would still wait before it supports a steward. Seating it
 * that early could only deprive the zone's steward of its majority.
 */
function isTooEarly(state: LeaderState, control: ControlState, command: OwnershipCommand, now: MonotonicTime): boolean {
	if (command.kind !== 'instanceSeated' || (control.ownership.rosters[command.record.zone]?.members.length ?? 0) === 0) {
		return false;
	}

	const lastContactAt = state.grantor.seatObservations[command.record.name]?.observedAt ?? now;
	const {terms} = state.grantor;
	return now < lastContactAt + grantorWait(terms.stewardTermMilliseconds, terms) + terms.renewMilliseconds;
}

function zoneProposal(state: LeaderState, control: ControlState, zone: ZoneName, now: MonotonicTime): OwnershipCommand | undefined {
	const requests = Object.values(state.seats).filter(({instance, leaving}) => instance.zone === zone && leaving !== true);
	for (const request of requests) {
		const command = isMember(control, request) ? undefined : proposeSeat(state.grantor, control.ownership, request.instance, now);
		if (command !== undefined && !isTooEarly(state, control, command, now)) {
			return command;
		}
	}

	const roster = control.ownership.rosters[zone];
	return roster === undefined ? undefined : proposeUnseat(state, roster, now);
}

function seatProposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const seats = Object.fromEntries(Object.entries(state.seats).filter(([name]) => now - (state.lastContacts[name] ?? 0) < memberContactTimeoutMilliseconds));
	const zones = new Set([...Object.keys(control.ownership.rosters), ...Object.values(seats).map(({instance}) => instance.zone)]);
	const next = {...state, seats};
	const commands = [...zones].map(zone => zoneProposal(next, control, zone, now)).filter(command => command !== undefined);
	return {state: next, commands};
}

function settlingProposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const {grantor, commands} = settlePolicies(state.grantor, control.ownership, now);
	return {state: {...state, grantor}, commands: [...settleRosters(state.grantor, control.ownership), ...commands]};
}

/** Returns the commands to propose now, as one log entry. */
export function proposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const commands: ControlCommand[] = [];
	let next = state;
	const steps = [
		membershipProposals,
		seatProposals,
		settlingProposals,
		closingProposals,
		...contractsOf(control.configuration).map(contract =>
			(current: LeaderState) => serviceProposals(current, control, contract, now)),
	];
	for (const step of steps) {
		const result = step(next, control, now);
		next = result.state;
		commands.push(...result.commands);
	}

	return {state: next, commands: commands.slice(0, maximumCommands)};
}
