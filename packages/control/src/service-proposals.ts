/**
 * Computes the commands that a leader proposes for one service: grants or
 * releases that end revocations whose evidence is complete, grants of vacant
 * slots, moves, and pinned keys.
 */
import {contractOf} from '@dogwooddeck/configuration/tree';
import {upstreamOf, upstreamsOf} from '@dogwooddeck/membership/registry';
import {flappingCount, joinedAt} from '@dogwooddeck/membership/watch';
import {type Assignment, AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {memoize} from '@dogwooddeck/model/memoize';
import {
	type Milliseconds, type MonotonicTime, sameUpstream, type ServiceName, type Slot, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase} from '@dogwooddeck/model/registry';
import {type Grant} from '@dogwooddeck/ownership/command';
import {clearRevocation, type Revocation, delegationOf} from '@dogwooddeck/ownership/grantor';
import {someMayHold} from '@dogwooddeck/ownership/policy';
import {noRates, ratesOf} from '@dogwooddeck/placement/load';
import {type PlacementInput} from '@dogwooddeck/placement/input';
import {createPlacement, planPlacement} from '@dogwooddeck/placement/plan';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';
import {type ControlCommand} from './command.js';
import {type LeaderState, type Proposals} from './leader-state.js';
import {
	formingInputs, isPlanDue, type PlanBasis, plannedInputs, type PlanningInputs,
} from './plan-due.js';
import {type ControlState} from './state.js';

type Revoking = Extract<Assignment, {readonly phase: typeof AssignmentPhase.revoking}>;
type Target = {readonly slot: Slot; readonly to: UpstreamIdentity};

function targetKey(service: ServiceName, slot: Slot): string {
	return `${service}\n${slot}`;
}

function isRevoking(assignment: Assignment): assignment is Revoking {
	return assignment.phase === AssignmentPhase.revoking;
}

function assignmentsOf(control: ControlState, service: ServiceName): ServiceAssignments {
	return control.ownership.services[service] ?? {service, assignments: [], pinned: []};
}

/** Memoized, as it is evaluated at each of 20 ticks a second and most services have no revocation. */
const revocationsOf = memoize(({assignments}: ServiceAssignments): readonly Revoking[] => assignments.filter(assignment => isRevoking(assignment)));

function unreachableZones(state: LeaderState, control: ControlState, now: MonotonicTime): readonly ZoneName[] {
	return Object.values(control.ownership.rosters)
		.filter(({zone, members}) => members.length > 0 && now >= delegationOf(state.grantor, zone).delegatedUntil)
		.map(({zone}) => zone);
}

function mayOwn(control: ControlState, target: UpstreamIdentity | undefined): target is UpstreamIdentity {
	return target !== undefined && upstreamOf(control.membership, target)?.phase === UpstreamPhase.serving;
}

function ownerZone(control: ControlState, owner: UpstreamIdentity): ZoneName | undefined {
	return upstreamOf(control.membership, owner)?.zone;
}

/** Returns the unreachable zones whose upstreams keep their slots. */
function holdingZones(state: LeaderState, control: ControlState, service: ServiceName, now: MonotonicTime): ReadonlySet<ZoneName | undefined> {
	const policy = control.ownership.policies[service];
	const mayHold = policy !== undefined && someMayHold(policy);
	return new Set(mayHold ? unreachableZones(state, control, now) : []);
}

/**
 * Returns the revocations that a partitioned zone blocks: its instances may
 * continue to send to the owner, so the slot can't be granted to another
 * upstream. It can be granted to the same owner again, which needs no evidence.
 */
function blockedRevocations(revoking: readonly Revoking[], control: ControlState, held: ReadonlySet<ZoneName | undefined>): readonly Revoking[] {
	return revoking.filter(({owner}) => mayOwn(control, owner) && held.has(ownerZone(control, owner)));
}

/** The registry holds no zone for an owner that restarted: its record is that of the later incarnation, which may be in another zone. */
function revocationOf(control: ControlState, {owner, slot}: Revoking): Revocation {
	const zone = ownerZone(control, owner);
	return {service: owner.service, slot, ...(zone !== undefined && {ownerZone: zone})};
}

type Cleared = {readonly grantor: LeaderState['grantor']; readonly cleared: ReadonlySet<Revoking>};

/** Finds the revocations of a service whose evidence is complete. It is checked once for all slots that one log entry revoked from owners in one zone. */
function clearRevocations(state: LeaderState, control: ControlState, assignments: ServiceAssignments, now: MonotonicTime): Cleared {
	let {grantor} = state;
	const cleared = new Set<Revoking>();
	const checked = new Map<string, boolean>();
	for (const assignment of revocationsOf(assignments)) {
		const revocation = revocationOf(control, assignment);
		const evidence = `${assignment.revokedAt}\n${revocation.ownerZone}`;
		if (!checked.has(evidence)) {
			const result = clearRevocation(grantor, control.ownership, revocation, now);
			({grantor} = result);
			checked.set(evidence, result.cleared);
		}

		if (checked.get(evidence) === true) {
			cleared.add(assignment);
		}
	}

	return {grantor, cleared};
}

/**
 * Ends the revocations of a service whose evidence is complete, by a grant to the
 * slot's target or by a release, and cancels those that a partitioned zone blocks,
 * by a grant to the same owner.
 */
function endRevocations(state: LeaderState, control: ControlState, service: ServiceName, now: MonotonicTime): Proposals {
	const assignments = assignmentsOf(control, service);
	const revoking = revocationsOf(assignments);
	if (revoking.length === 0) {
		return {state, commands: []};
	}

	const {grantor, cleared} = clearRevocations(state, control, assignments, now);
	const targetOf = (slot: Slot) => state.targets[targetKey(service, slot)];
	const granted = [...cleared].filter(({slot}) => mayOwn(control, targetOf(slot)));
	const released = [...cleared].filter(({slot}) => !mayOwn(control, targetOf(slot)));
	const waiting = revoking.filter(assignment => !cleared.has(assignment));
	const cancelled = waiting.length === 0 ? [] : blockedRevocations(waiting, control, holdingZones(state, control, service, now));
	const grants: readonly Grant[] = [
		...granted.map(({slot, revokedAt}) => ({slot, owner: targetOf(slot)!, revokedAt})),
		...cancelled.map(({slot, owner, revokedAt}) => ({slot, owner, revokedAt})),
	];
	const commands: ControlCommand[] = [
		...(grants.length === 0 ? [] : [{kind: 'assignmentsGranted' as const, service, grants}]),
		...(released.length === 0
			? []
			: [{
				kind: 'assignmentsReleased' as const, service, releases: released.map(({slot, revokedAt}) => ({slot, revokedAt})),
			}]),
	];
	return {state: {...state, grantor}, commands};
}

function requestedMoves(state: LeaderState, control: ControlState, assignments: ServiceAssignments, now: MonotonicTime): readonly Target[] {
	const held = holdingZones(state, control, assignments.service, now);
	return control.wishes.filter(({service}) => service === assignments.service).flatMap(({slot, upstream}) => {
		const assignment = assignments.assignments[slot];
		const target = upstreamsOf(control.membership, assignments.service)
			.find(({name, phase}) => name === upstream && phase === UpstreamPhase.serving);
		const mayMove = assignment?.phase === AssignmentPhase.granted && target !== undefined && !sameUpstream(assignment.owner, identityOf(target))
			&& !held.has(ownerZone(control, assignment.owner));
		return mayMove ? [{slot, to: identityOf(target)}] : [];
	});
}

function placementInput(state: LeaderState, control: ControlState, basis: PlanBasis, now: MonotonicTime): PlacementInput {
	const {contract} = basis;
	const service = contract.name;
	const load = state.loads[service];
	const loads = load === undefined ? noRates : ratesOf(load, now);
	return {
		now,
		contract,
		assignments: assignmentsOf(control, service),
		upstreams: upstreamsOf(control.membership, service).map(record => {
			const joined = joinedAt(state.watch, identityOf(record));
			return joined === undefined ? {record} : {record, joinedAt: joined};
		}),
		loads,
		hotKeys: Object.entries(loads.keys).map(([key, rate]) => ({key, home: state.hash(key, contract.slots), rate})),
		flapping: flappingCount(state.watch, service, now),
		unreachableZones: basis.unreachableZones,
		state: state.placements[service] ?? createPlacement(now),
	};
}

function planCommands(service: ServiceName, plan: PlacementPlan | undefined, revoked: readonly Slot[]): readonly ControlCommand[] {
	const {grants = [], pins = [], unpins = []} = plan ?? {};
	return [
		...(grants.length === 0 ? [] : [{kind: 'assignmentsGranted' as const, service, grants}]),
		...(revoked.length === 0 ? [] : [{kind: 'assignmentsRevoked' as const, service, slots: revoked}]),
		...pins.map(({key, home}) => ({
			kind: 'keyPinned' as const, service, key, home,
		})),
		...unpins.map(({key}) => ({kind: 'keyUnpinned' as const, service, key})),
	];
}

function withTargets(state: LeaderState, service: ServiceName, targets: readonly Target[]): LeaderState {
	const added = targets.map(({slot, to}) => [targetKey(service, slot), to] as const);
	return added.length === 0 ? state : {...state, targets: {...state.targets, ...Object.fromEntries(added)}};
}

/** A service without any owner waits until its first upstream joined this long ago, so that its keys are divided over all upstreams that start together. */
export const formationMilliseconds: Milliseconds = 1500;

/** Returns when a service without any owner stops waiting; `-Infinity` for a service that doesn't wait. */
function formationEndsAt(input: PlacementInput, startedAt: MonotonicTime): MonotonicTime {
	const joined = input.upstreams.map(upstream => upstream.joinedAt ?? startedAt);
	const isVacant = input.assignments.assignments.every(({phase}) => phase === AssignmentPhase.vacant);
	return isVacant ? Math.min(...joined) + formationMilliseconds : -Infinity;
}

function basisOf(state: LeaderState, control: ControlState, contract: ServiceContract, now: MonotonicTime): PlanBasis {
	return {
		contract,
		assignments: control.ownership.services[contract.name],
		membership: control.membership.services[contract.name],
		unreachableZones: unreachableZones(state, control, now),
	};
}

type Planned = {readonly state: LeaderState; readonly plan?: PlacementPlan};

function planNow(state: LeaderState, control: ControlState, basis: PlanBasis, now: MonotonicTime): Planned {
	const service = basis.contract.name;
	const input = placementInput(state, control, basis, now);
	const withInputs = (inputs: PlanningInputs) => ({...state, planningInputs: {...state.planningInputs, [service]: inputs}});
	const waitsUntil = formationEndsAt(input, state.grantor.startedAt);
	if (now < waitsUntil) {
		return {state: withInputs(formingInputs(basis, waitsUntil))};
	}

	const plan = planPlacement(input);
	const updated = withInputs(plannedInputs(basis, plan, input.flapping, now));
	return {plan, state: {...updated, placements: {...state.placements, [service]: plan.state}}};
}

function planWhenDue(state: LeaderState, control: ControlState, contract: ServiceContract, now: MonotonicTime): Planned {
	const basis = basisOf(state, control, contract, now);
	return isPlanDue(state.planningInputs[contract.name], basis, state.loads[contract.name], now) ? planNow(state, control, basis, now) : {state};
}

function plannedProposals(state: LeaderState, control: ControlState, contract: ServiceContract, now: MonotonicTime): Proposals {
	const service = contract.name;
	const {state: next, plan} = planWhenDue(state, control, contract, now);
	const requested = requestedMoves(state, control, assignmentsOf(control, service), now);
	const moves = plan?.moves ?? [];
	const planned = moves.flatMap(({slot, to}) => to === undefined ? [] : [{slot, to}]);
	const revoked = [...new Set([...moves.map(({slot}) => slot), ...requested.map(({slot}) => slot)])];
	return {state: withTargets(next, service, [...planned, ...requested]), commands: planCommands(service, plan, revoked)};
}

/** Returns the proposals for a service that has a contract. */
export function serviceProposals(state: LeaderState, control: ControlState, contract: ServiceContract, now: MonotonicTime): Proposals {
	const ended = endRevocations(state, control, contract.name, now);
	const planned = plannedProposals(ended.state, control, contract, now);
	return {state: planned.state, commands: [...ended.commands, ...planned.commands]};
}

function closeService(state: LeaderState, control: ControlState, service: ServiceName, now: MonotonicTime): Proposals {
	const {assignments} = control.ownership.services[service]!;
	if (assignments.every(({phase}) => phase === AssignmentPhase.vacant)) {
		return {state, commands: [{kind: 'serviceClosed', service}]};
	}

	const slots = assignments.filter(({phase}) => phase === AssignmentPhase.granted).map(({slot}) => slot);
	const ended = endRevocations({...state, targets: {}}, control, service, now);
	return {
		state: {...ended.state, targets: state.targets},
		commands: [...ended.commands, ...(slots.length === 0 ? [] : [{kind: 'assignmentsRevoked' as const, service, slots}])],
	};
}

/** Returns the proposals for services whose contract was removed: their slots become vacant, then they are closed. */
export function closingProposals(state: LeaderState, control: ControlState, now: MonotonicTime): Proposals {
	const commands: ControlCommand[] = [];
	let next = state;
	for (const service of Object.keys(control.ownership.services)) {
		if (contractOf(control.configuration, service) === undefined) {
			const result = closeService(next, control, service, now);
			next = result.state;
			commands.push(...result.commands);
		}
	}

	return {state: next, commands};
}
