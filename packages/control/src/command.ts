/**
 * The commands of the replicated log, and their encoding as the payload of a
 * log entry. An entry holds one or more commands, which are applied in order.
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

/** An operator requests that a slot moves to another owner. */
export type MoveRequest = {
	readonly kind: 'moveWished';
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly upstream: UpstreamName;
};

/** An operator requests that an upstream is drained: its current incarnation leaves and its keys move to others. */
export type DrainRequest = {
	readonly kind: 'drainAsked';
	readonly service: ServiceName;
	readonly upstream: UpstreamName;
};

/** An operator's command. Idempotent: it takes effect once however often it is sent. */
export type OperatorRequest = {
	readonly kind: 'operatorAsked';
	readonly operation: OperationIdentifier;
	readonly command: MembershipCommand | OwnershipCommand | MoveRequest | DrainRequest;
};

/** Any command of the replicated log. */
export type ControlCommand = ConfigurationCommand | MembershipCommand | OwnershipCommand | MoveRequest | DrainRequest | OperatorRequest;

/** The fields that hold one item for each slot, by the kind of command. They are encoded as groups of slots. */
const slottedFields: Readonly<Record<string, string>> = {
	assignmentsGranted: 'grants',
	assignmentsReleased: 'releases',
} satisfies Partial<Record<ControlCommand['kind'], string>>;

function slottedField({kind}: ControlCommand): string | undefined {
	return Object.hasOwn(slottedFields, kind) ? slottedFields[kind] : undefined;
}

function encodeCommand(command: ControlCommand): unknown {
	const field = slottedField(command);
	if (field === undefined) {
		return command;
	}

	const fields: JsonRecord = command;
	return {...command, [field]: groupSlots(fields[field] as ReadonlyArray<{readonly slot: Slot}>)};
}

/** If the groups can't be decoded, the field becomes undefined, so that the command is rejected when it is applied. */
function decodeCommand(command: ControlCommand): ControlCommand {
	const field = slottedField(command);
	if (field === undefined) {
		return command;
	}

	const fields: JsonRecord = command;
	const decoded: ControlCommand = {...command, [field]: ungroupSlots(fields[field])};
	return decoded;
}

/** Encodes commands as the payload of an entry. */
export function encodeCommands(commands: readonly ControlCommand[]): string {
	return JSON.stringify(commands.map(command => encodeCommand(command)));
}

function isCommand(value: unknown): value is ControlCommand {
	return typeof value === 'object' && value !== null && typeof (value as {readonly kind?: unknown}).kind === 'string';
}

/** Decodes the commands of a payload. Fails with `malformed`. */
export function decodeCommands(payload: string): Result<readonly ControlCommand[], Failure> {
	try {
		const commands: unknown = JSON.parse(payload);
		if (Array.isArray(commands) && commands.every(command => isCommand(command))) {
			return ok(commands.map(command => decodeCommand(command)));
		}
	} catch {
		// Invalid JSON is rejected below.
	}

	return err(failure(FailureKind.malformed, 'the entry is not a list of commands'));
}

/** The commands that an instance may forward to the leader: operators' requests. The leader alone proposes all others. */
const forwardableKinds: ReadonlySet<string> = new Set<ControlCommand['kind']>(['subtreeApplied', 'tokenSet', 'operatorAsked']);
const operatorRequestKinds: ReadonlySet<string> = new Set<OperatorRequest['command']['kind']>(['moveWished', 'drainAsked', 'zoneReleased']);

function isForwardable(command: ControlCommand): boolean {
	return forwardableKinds.has(command.kind) && (command.kind !== 'operatorAsked' || operatorRequestKinds.has(command.command.kind));
}

/**
 * Decodes the command that another instance forwards for an operator. Fails with
 * `malformed`, and with `forbidden` for a command that operators may not request.
 */
export function decodeForwarded(payload: string): Result<ControlCommand, Failure> {
	return decodeCommands(payload).andThen(commands => {
		const [command] = commands;
		if (command === undefined || commands.length > 1 || (command.kind === 'operatorAsked' && !isCommand(command.command))) {
			return err(failure(FailureKind.malformed, 'the proposal is not a single complete command'));
		}

		return isForwardable(command)
			? ok(command)
			: err(failure(FailureKind.forbidden, `only the leader may propose ${command.kind}`));
	});
}
