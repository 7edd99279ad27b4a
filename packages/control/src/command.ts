/**
 * The commands in the replicated log, and their encoding as an entry's payload.
 * One entry carries one or more commands, which are applied in their order.
 */
import {type ConfigurationCommand} from '@dogwooddeck/configuration/tree';
import {type MembershipCommand} from '@dogwooddeck/membership/registry';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type OperationIdentifier, type ServiceName, type Slot, type UpstreamName,
} from '@dogwooddeck/model/identifiers';
import {type JsonRecord} from '@dogwooddeck/model/json-record';
import {type OwnershipCommand} from '@dogwooddeck/ownership/table';
import {err, ok, type Result} from 'true-myth/result';
import {groupSlots, ungroupSlots} from './slot-group.js';

/** An operator wants a slot to have another owner. */
export type MoveWished = {
	readonly kind: 'moveWished';
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly upstream: UpstreamName;
};

/** An operator wants an upstream, in its present life, to give its keys away. */
export type DrainAsked = {
	readonly kind: 'drainAsked';
	readonly service: ServiceName;
	readonly upstream: UpstreamName;
};

/** An operator's command, which takes effect once however often it is sent. */
export type OperatorAsked = {
	readonly kind: 'operatorAsked';
	readonly operation: OperationIdentifier;
	readonly command: MembershipCommand | OwnershipCommand | MoveWished | DrainAsked;
};

/** Any command of the replicated log. */
export type ControlCommand = ConfigurationCommand | MembershipCommand | OwnershipCommand | MoveWished | DrainAsked | OperatorAsked;

/** The fields that stand once for each slot, by the kind of their command. They are encoded as groups of slots. */
const slottedFields: Readonly<Record<string, string>> = {
	assignmentsGranted: 'grants',
	assignmentsReleased: 'releases',
} satisfies Partial<Record<ControlCommand['kind'], string>>;

function slottedField({kind}: ControlCommand): string | undefined {
	return Object.hasOwn(slottedFields, kind) ? slottedFields[kind] : undefined;
}

function grouped(command: ControlCommand): unknown {
	const field = slottedField(command);
	if (field === undefined) {
		return command;
	}

	const fields: JsonRecord = command;
	return {...command, [field]: groupSlots(fields[field] as ReadonlyArray<{readonly slot: Slot}>)};
}

/** A command whose groups can't be read stays without its items, so that it is refused when it is applied. */
function ungrouped(command: ControlCommand): ControlCommand {
	const field = slottedField(command);
	if (field === undefined) {
		return command;
	}

	const fields: JsonRecord = command;
	const read: ControlCommand = {...command, [field]: ungroupSlots(fields[field])};
	return read;
}

/** The payload of an entry. */
export function encodeCommands(commands: readonly ControlCommand[]): string {
	return JSON.stringify(commands.map(command => grouped(command)));
}

function isCommand(value: unknown): value is ControlCommand {
	return typeof value === 'object' && value !== null && typeof (value as {readonly kind?: unknown}).kind === 'string';
}

/** The commands of a payload. Fails with `malformed`. */
export function decodeCommands(payload: string): Result<readonly ControlCommand[], Failure> {
	try {
		const commands: unknown = JSON.parse(payload);
		if (Array.isArray(commands) && commands.every(command => isCommand(command))) {
			return ok(commands.map(command => ungrouped(command)));
		}
	} catch {
		// What can't be parsed is refused below.
	}

	return err(failure(FailureKind.malformed, 'the entry holds no list of commands'));
}

/** What an instance may pass on to the leader: what operators ask for. All else is the leader's own decision. */
const passedOn: ReadonlySet<string> = new Set<ControlCommand['kind']>(['subtreeApplied', 'tokenSet', 'operatorAsked']);
const asked: ReadonlySet<string> = new Set<OperatorAsked['command']['kind']>(['moveWished', 'drainAsked', 'zoneReleased']);

function isPassedOn(command: ControlCommand): boolean {
	return passedOn.has(command.kind) && (command.kind !== 'operatorAsked' || asked.has(command.command.kind));
}

/**
 * The command of a payload that another instance passes on for an operator.
 * Fails with `malformed`, and with `forbidden` for a command that no operator may ask for.
 */
export function decodePassedOn(payload: string): Result<ControlCommand, Failure> {
	return decodeCommands(payload).andThen(commands => {
		const [command] = commands;
		if (command === undefined || commands.length > 1 || (command.kind === 'operatorAsked' && !isCommand(command.command))) {
			return err(failure(FailureKind.malformed, 'the proposal is not one whole command'));
		}

		return isPassedOn(command)
			? ok(command)
			: err(failure(FailureKind.forbidden, `only the leader decides on ${command.kind}`));
	});
}
