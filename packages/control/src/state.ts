/**
 * The replicated control state: configuration, membership and ownership as one.
 * It is plain JSON, so that a snapshot is its text.
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
import {type MoveWished} from './command.js';
import {groupSlots, ungroupSlots} from './slot-group.js';

/** What whoever sent a command learns of it. */
export type ControlAccepted = {
	/** The index of the entry that the command took effect with. */
	readonly index: LogIndex;
	/** With a command to the configuration. */
	readonly configuration?: ConfigurationAccepted;
};

/** The answer to an operator's command, kept for when it is sent again. */
export type KeptAnswer = {
	readonly operation: OperationIdentifier;
	/** The command as text. */
	readonly command: string;
	readonly answer: {readonly accepted: ControlAccepted} | {readonly failure: Failure};
};

/** All that the log says. */
export type ControlState = {
	/** The newest entry that is applied. */
	readonly applied: LogIndex;
	readonly configuration: ConfigurationState;
	readonly membership: MembershipState;
	readonly ownership: OwnershipState;
	/** Operators' wishes that are not yet met. */
	readonly wishes: readonly MoveWished[];
	/** Oldest first. */
	readonly answers: readonly KeptAnswer[];
	/** The seated instances as they stood lately, newest first. */
	readonly seatings: readonly Seating[];
};

/** The seated instances of all zones, from a log entry on. */
export type Seating = {
	readonly index: LogIndex;
	readonly seats: ReadonlyArray<InstanceIdentity & {readonly zone: ZoneName}>;
};

/** How many seatings are kept. An instance that missed more asks another one which earlier ones still matter. */
export const keptSeatings = 8;

/** The state before the first entry. */
export const emptyControl: ControlState = {
	applied: 0,
	configuration: initialConfiguration,
	membership: emptyMembership,
	ownership: emptyOwnership,
	wishes: [],
	answers: [],
	seatings: [],
};

/** The text of a snapshot. Assignments are encoded as groups of slots. */
export function encodeControl(state: ControlState): string {
	const services = Object.entries(state.ownership.services).map(([name, service]) => [name, {...service, assignments: groupSlots(service.assignments)}] as const);
	return JSON.stringify({...state, ownership: {...state.ownership, services: Object.fromEntries(services)}});
}

/** The assignments of groups, where each slot from 0 on has one. */
function assignmentsOf(groups: unknown): readonly Assignment[] | undefined {
	const items = ungroupSlots(groups);
	return items?.every(({slot}, position) => slot === position) === true ? items as unknown as readonly Assignment[] : undefined;
}

/** The state with its assignments slot by slot; undefined where the groups of a service can't be read. */
function withAssignments(state: ControlState): ControlState | undefined {
	const read = Object.entries(state.ownership.services).map(([name, service]) => [name, {...service, assignments: assignmentsOf(service.assignments)}] as const);
	const services = Object.fromEntries(read) as Readonly<Record<string, ServiceAssignments>>;
	return read.every(([, {assignments}]) => assignments !== undefined) ? {...state, ownership: {...state.ownership, services}} : undefined;
}

/** Whether a value has the parts of a pattern, each a list, an object or a plain value where the pattern has one. */
function hasForm(value: unknown, pattern: unknown): boolean {
	if (typeof pattern !== 'object' || pattern === null || typeof value !== 'object' || value === null) {
		return typeof value === typeof pattern && value !== null;
	}

	return Array.isArray(value) === Array.isArray(pattern)
		&& Object.entries(pattern).every(([name, part]) => hasForm((value as Readonly<Record<string, unknown>>)[name], part));
}

/** The state of a snapshot's text. Fails with `malformed`. */
export function decodeControl(data: string): Result<ControlState, Failure> {
	try {
		const read = JSON.parse(data) as ControlState;
		const state = {...emptyControl, ...read};
		const whole = hasForm(read, {}) && hasForm(state, emptyControl) ? withAssignments(state) : undefined;
		if (whole !== undefined) {
			return ok(whole);
		}
	} catch {
		// What can't be parsed is refused below.
	}

	return err(failure(FailureKind.malformed, 'the snapshot holds no control state'));
}
