/**
 * The replicated control state of configuration, membership and ownership, and
 * the encoding of its snapshots. The state is plain JSON data.
 */
import {type ConfigurationAccepted, type ConfigurationState, initialConfiguration} from '@dogwooddeck/configuration/tree';
import {emptyMembership, type MembershipState} from '@dogwooddeck/membership/registry';
import {type Assignment, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type OperationIdentifier, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {emptyOwnership, type OwnershipState} from '@dogwooddeck/ownership/table';
import {err, ok, type Result} from 'true-myth/result';
import {type MoveRequest} from './command.js';
import {groupSlots, ungroupSlots} from './slot-group.js';

/** The result of an accepted command for its sender. */
export type ControlAccepted = {
	/** The index of the log entry in which the command took effect. */
	readonly index: LogIndex;
	/** Set for commands to the configuration. */
	readonly configuration?: ConfigurationAccepted;
};

/** The result of an operator's command, kept to answer a repetition of the command. */
export type KeptAnswer = {
	readonly operation: OperationIdentifier;
	/** The command as JSON. */
	readonly command: string;
	readonly answer: {readonly accepted: ControlAccepted} | {readonly failure: Failure};
};

/** The state that results from the log. */
export type ControlState = {
	/** The index of the last applied entry. */
	readonly applied: LogIndex;
	readonly configuration: ConfigurationState;
	readonly membership: MembershipState;
	readonly ownership: OwnershipState;
	/** Operators' requested moves that aren't completed yet. */
	readonly wishes: readonly MoveRequest[];
	/** The kept results of operators' commands, oldest first. */
	readonly answers: readonly KeptAnswer[];
	/** The recent sets of seated instances (members of a zone's roster), newest first. */
	readonly seatings: readonly Seating[];
};

/** The seated instances of all zones from a log index on. */
export type Seating = {
	readonly index: LogIndex;
	readonly seats: ReadonlyArray<InstanceIdentity & {readonly zone: ZoneName}>;
};

/** The number of seatings kept. An instance that missed more requests from another one those that still matter. */
export const keptSeatings = 8;

/** The state before the first log entry. */
export const emptyControl: ControlState = {
	applied: 0,
	configuration: initialConfiguration,
	membership: emptyMembership,
	ownership: emptyOwnership,
	wishes: [],
	answers: [],
	seatings: [],
};

/** Encodes the state as a snapshot. Assignments are encoded as groups of slots. */
export function encodeControl(state: ControlState): string {
	const services = Object.entries(state.ownership.services).map(([name, service]) => [name, {...service, assignments: groupSlots(service.assignments)}] as const);
	return JSON.stringify({...state, ownership: {...state.ownership, services: Object.fromEntries(services)}});
}

/** Returns the assignments of groups; undefined unless each slot from 0 on has exactly one. */
function assignmentsOf(groups: unknown): readonly Assignment[] | undefined {
	const items = ungroupSlots(groups);
	return items?.every(({slot}, position) => slot === position) === true ? items as unknown as readonly Assignment[] : undefined;
}

/** Decodes the assignments of a state; undefined if the groups of a service can't be decoded. */
function withAssignments(state: ControlState): ControlState | undefined {
	const decoded = Object.entries(state.ownership.services).map(([name, service]) => [name, {...service, assignments: assignmentsOf(service.assignments)}] as const);
	const services = Object.fromEntries(decoded) as Readonly<Record<string, ServiceAssignments>>;
	return decoded.every(([, {assignments}]) => assignments !== undefined) ? {...state, ownership: {...state.ownership, services}} : undefined;
}

/** Whether a value has all fields of a pattern, each with the same type as in the pattern: list, object or primitive. */
function hasShape(value: unknown, pattern: unknown): boolean {
	if (typeof pattern !== 'object' || pattern === null || typeof value !== 'object' || value === null) {
		return typeof value === typeof pattern && value !== null;
	}

	return Array.isArray(value) === Array.isArray(pattern)
		&& Object.entries(pattern).every(([name, part]) => hasShape((value as Readonly<Record<string, unknown>>)[name], part));
}

/** Decodes a snapshot. Fails with `malformed`. */
export function decodeControl(data: string): Result<ControlState, Failure> {
	try {
		const parsed = JSON.parse(data) as ControlState;
		const state = {...emptyControl, ...parsed};
		const decoded = hasShape(parsed, {}) && hasShape(state, emptyControl) ? withAssignments(state) : undefined;
		if (decoded !== undefined) {
			return ok(decoded);
		}
	} catch {
		// Invalid JSON is rejected below.
	}

	return err(failure(FailureKind.malformed, 'the snapshot holds no control state'));
}
