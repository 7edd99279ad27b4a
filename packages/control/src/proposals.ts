/**
 * The commands that a leader proposes at one moment: verdicts on upstreams,
 * seats of instances, and for each service grants, revocations and pins.
 */
import {contractsOf} from '@dogwooddeck/configuration/tree';
import {type MembershipCommand} from '@dogwooddeck/membership/registry';
import {advanceWatch} from '@dogwooddeck/membership/watch';
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type MonotonicTime, sameUpstream, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {proposeRelease, proposeSeat} from '@dogwooddeck/ownership/seat';
import {type OwnershipCommand} from '@dogwooddeck/ownership/table';
import {type ControlCommand} from './command.js';
import {type LeaderState} from './leader.js';
import {closingProposals, serviceProposals} from './service-proposals.js';
import {type ControlState} from './state.js';

/** Commands and the state that remembers having proposed them. */
export type Proposals = {
	readonly state: LeaderState;
	readonly commands: readonly ControlCommand[];
};

/** A seat request that isn't repeated for this long is dropped. */
const commandsAtMost = 512;

function ownsSlots(control: ControlState, upstream: UpstreamIdentity): boolean {
	const assignments = control.ownership.services[upstream.service]?.assignments ?? [];
	return assignments.some(assignment => assignment.phase !== AssignmentPhase.vacant && sameUpstream(assignment.owner, upstream));
}

function isTimely(command: MembershipCommand, control: ControlState): boolean {
	return command.kind !== 'upstreamForgotten' || !ownsSlots(control, command.upstream);
}

function membershipProposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const rosters = Object.values(control.ownership.rosters);
	const judged = advanceWatch(state.watch, {
		kind: 'ticked',
		now,
		registry: control.membership,
		contracts: contractsOf(control.configuration),
		rosterSizes: Object.fromEntries(rosters.map(({zone, members}) => [zone, members.length])),
	});
	const commands = judged.effects.map(effect => effect.command).filter(command => isTimely(command, control));
	return {state: {...state, watch: judged.state}, commands};
}

function isSeated(control: ControlState, {instance}: LeaderState['seats'][string]): boolean {
	const members = control.ownership.rosters[instance.zone]?.members ?? [];
	return members.some(member => member.name === instance.name && member.incarnation === instance.incarnation);
}

function seatProposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const asking = Object.values(state.seats).filter(request => !isSeated(control, request));
	const zones = new Set<string>();
	const commands: OwnershipCommand[] = [];
	for (const {instance} of asking) {
		const command = zones.has(instance.zone) ? undefined : proposeSeat(state.grantor, control.ownership, instance, now);
		if (command !== undefined) {
			zones.add(instance.zone);
			commands.push(command);
		}
	}

	const releases = Object.keys(control.ownership.rosters)
		.filter(zone => !zones.has(zone))
		.map(zone => proposeRelease(state.grantor, control.ownership, zone))
		.filter(command => command !== undefined);
	const seats = Object.fromEntries(asking.map(request => [request.instance.name, request]));
	return {state: {...state, seats}, commands: [...commands, ...releases]};
}

/** What to propose now, as one entry. */
export function proposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const commands: ControlCommand[] = [];
	let next = state;
	const steps = [
		membershipProposals,
		seatProposals,
		closingProposals,
		...contractsOf(control.configuration).map(contract =>
			(current: LeaderState) => serviceProposals(current, control, contract, now)),
	];
	for (const step of steps) {
		const made = step(next, control, now);
		next = made.state;
		commands.push(...made.commands);
	}

	return {state: next, commands: commands.slice(0, commandsAtMost)};
}
