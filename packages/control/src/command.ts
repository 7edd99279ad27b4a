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
import {type OwnershipCommand} from '@dogwooddeck/ownership/table';
import {err, ok, type Result} from 'true-myth/result';

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

/** The payload of an entry. */
export function encodeCommands(commands: readonly ControlCommand[]): string {
	return JSON.stringify(commands);
}

function isCommand(value: unknown): value is ControlCommand {
	return typeof value === 'object' && value !== null && typeof (value as {readonly kind?: unknown}).kind === 'string';
}

/** The commands of a payload. Fails with `malformed`. */
export function decodeCommands(payload: string): Result<readonly ControlCommand[], Failure> {
	try {
		const commands: unknown = JSON.parse(payload);
		if (Array.isArray(commands) && commands.every(command => isCommand(command))) {
			return ok(commands);
		}
	} catch {
		// What can't be parsed is refused below.
	}

	return err(failure(FailureKind.malformed, 'the entry holds no list of commands'));
}
