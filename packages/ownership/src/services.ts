/**
 * Command handlers that open, close and reconfigure services.
 */
import {AssignmentPhase, type Assignment, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex, type ServiceName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {
	type PolicyChanged, type PolicySettled, type ServiceClosed, type ServiceOpened,
} from './command.js';
import {type ServicePolicy, strictestTerms} from './policy.js';
import {type OwnershipState} from './state.js';

/** Returns the failure for a service that isn't open. */
export function unknownService(service: ServiceName): Failure {
	return failure(FailureKind.notFound, `service ${service} is not open`);
}

/** Returns the state with one service's assignments replaced. */
export function withService(state: OwnershipState, assignments: ServiceAssignments): OwnershipState {
	return {...state, services: {...state.services, [assignments.service]: assignments}};
}

function withPolicy(state: OwnershipState, policy: ServicePolicy): OwnershipState {
	return {...state, policies: {...state.policies, [policy.service]: policy}};
}

/** Opens a service with all slots vacant. */
export function openService(command: ServiceOpened, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const {service, slots, policy} = command;
	if (state.services[service] !== undefined) {
		return err(failure(FailureKind.conflict, `service ${service} is already open`));
	}

	if (!Number.isSafeInteger(slots) || slots < 1) {
		return err(failure(FailureKind.malformed, `service ${service} needs at least one slot`));
	}

	const assignments = Array.from({length: slots}, (_, slot): Assignment => ({phase: AssignmentPhase.vacant, slot}));
	const opened = withService(state, {service, assignments, pinned: []});
	return ok(withPolicy(opened, {
		...policy, service, slots, changedAt: index,
	}));
}

/** Closes a service whose slots are all vacant. */
export function closeService(command: ServiceClosed, state: OwnershipState, _index: LogIndex): Result<OwnershipState, Failure> {
	const {service} = command;
	const assignments = state.services[service];
	if (assignments === undefined) {
		return err(unknownService(service));
	}

	if (assignments.assignments.some(assignment => assignment.phase !== AssignmentPhase.vacant)) {
		return err(failure(FailureKind.conflict, `service ${service} still has slots that are not vacant`));
	}

	const {[service]: _closed, ...services} = state.services;
	const {[service]: _dropped, ...policies} = state.policies;
	return ok({...state, services, policies});
}

/** Changes a policy and keeps the strictest of the former terms until every zone has applied the change. */
export function changePolicy(command: PolicyChanged, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const policy = state.policies[command.service];
	if (policy === undefined) {
		return err(unknownService(command.service));
	}

	return ok(withPolicy(state, {
		service: policy.service,
		slots: policy.slots,
		changedAt: index,
		...command.policy,
		former: strictestTerms(policy, policy.former),
	}));
}

/** Drops the former terms, unless the policy has changed again since. */
export function settlePolicy(command: PolicySettled, state: OwnershipState, _index: LogIndex): Result<OwnershipState, Failure> {
	const policy = state.policies[command.service];
	if (policy === undefined) {
		return err(unknownService(command.service));
	}

	if (policy.changedAt !== command.changedAt) {
		return err(failure(FailureKind.conflict, `the policy of ${command.service} has changed since`));
	}

	const {former: _former, ...settled} = policy;
	return ok(withPolicy(state, settled));
}
