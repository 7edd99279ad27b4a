/**
 * The replicated directory as a state machine: configuration items, upstreams and
 * key tables, the commands that change them, and their encoding.
 */
import {
	applyKeyCommand, type KeyCommand, keyCommandKinds, type KeyTables,
} from '@dogwooddeck/key-lease/command';
import {
	packRanges, packRows, type PackedRanges, type PackedRows, unpackRanges, unpackRows,
} from '@dogwooddeck/key-lease/packing';
import {type UpstreamIncarnation, incarnationText, sameIncarnation} from '@dogwooddeck/key-lease/range';
import {
	failure, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {err, ok, type Result} from 'true-myth/result';
import {addDeparture, type Departure, departureReason} from './departure.js';
import {type ItemChange, type Items, noItems} from './item.js';
import {changeItems} from './item-change.js';
import {
	applyUpstreamCommand, type UpstreamCommand, upstreamCommandKinds, type UpstreamRecord, type Upstreams, UpstreamState,
} from './upstream.js';
import {
	applyZoneCommand, noZoneOrders, type ZoneCommand, zoneCommandKinds, type ZoneOrders,
} from './zone-order.js';

/** The replicated state of the directory. */
export type DirectoryState = ZoneOrders & {
	/** The index of the last log entry that was applied. */
	readonly applied: LogIndex;
	readonly items: Items;
	readonly upstreams: Upstreams;
	/** The last address of incarnations without a record, by incarnation: they may still hold keys. */
	readonly formerAddresses: Readonly<Record<string, string>>;
	/** The departed incarnations, which delayed announcements don't add again. */
	readonly departures: readonly Departure[];
	readonly keys: KeyTables;
};

/** A command in a log entry. */
export type DirectoryCommand =
	| {readonly kind: 'itemsChanged'; readonly changes: readonly ItemChange[]}
	| UpstreamCommand
	| ZoneCommand
	| KeyCommand;

/** The answer to a command that was applied, with the index of its log entry. */
export type DirectoryAccepted = {readonly index: LogIndex};

/** The state before anything is declared or announced. */
export const emptyDirectory: DirectoryState = {
	applied: 0, items: noItems, upstreams: {}, formerAddresses: {}, departures: [], keys: {}, ...noZoneOrders,
};

/** The maximum number of former addresses that are kept. */
const maxFormerAddresses = 500;

function updateFormerAddresses(state: DirectoryState, upstreams: Upstreams): DirectoryState['formerAddresses'] {
	const removed = Object.values(state.upstreams).filter(({id, born}) => upstreams[id]?.born !== born);
	const entries = [...Object.entries(state.formerAddresses), ...removed.map(({id, born, address}) => [incarnationText({id, born}), address] as const)];
	return removed.length === 0 ? state.formerAddresses : Object.fromEntries(entries.slice(-maxFormerAddresses));
}

/** Returns why a command is stale: it announces an incarnation that has departed, or one that it replaced. */
function staleReason({departures}: DirectoryState, command: UpstreamCommand): string | undefined {
	return command.kind === 'upstreamAnnounced' ? departureReason(departures, command.upstream) : undefined;
}

/** Returns the last address of an incarnation; undefined if it is not known. */
export function addressOf({upstreams, formerAddresses}: Pick<DirectoryState, 'upstreams' | 'formerAddresses'>, upstream: UpstreamIncarnation): string | undefined {
	const recorded = upstreams[upstream.id];
	return recorded !== undefined && sameIncarnation(recorded, upstream) ? recorded.address : formerAddresses[incarnationText(upstream)];
}

function departureOf({id, born}: UpstreamIncarnation, address: string | undefined): Departure {
	return {id, born, ...(address === undefined ? {} : {address})};
}

/**
 * The incarnations that depart with a command, by its kind. One that doesn't name its start is the recorded one or, if
 * that is an earlier one, one that started by the time of its departure. One that is removed while it drains takes no
 * new work any more.
 */
const departing: HandlerTable<UpstreamCommand, [recorded: UpstreamRecord | undefined], readonly UpstreamIncarnation[]> = {
	upstreamAnnounced: () => [],
	upstreamDeparted({life: {id, born}, at}, recorded) {
		return born === undefined ? [...(recorded === undefined ? [] : [recorded]), {id, born: at}] : [{id, born}];
	},
	upstreamRemoved({life}, recorded) {
		return recorded?.state === UpstreamState.draining && sameIncarnation(recorded, life) ? [life] : [];
	},
};

function upstreamOf(command: UpstreamCommand): string {
	return command.kind === 'upstreamAnnounced' ? command.upstream.id : command.life.id;
}

function updateDepartures(state: DirectoryState, command: UpstreamCommand): DirectoryState['departures'] {
	const departed = dispatch(departing, command, state.upstreams[upstreamOf(command)]);
	return departed.reduce((departures, incarnation) => addDeparture(departures, departureOf(incarnation, addressOf(state, incarnation))), state.departures);
}

function isUpstreamCommand(command: DirectoryCommand): command is UpstreamCommand {
	return upstreamCommandKinds.has(command.kind);
}

function isKeyCommand(command: DirectoryCommand): command is KeyCommand {
	return keyCommandKinds.has(command.kind);
}

function isZoneCommand(command: DirectoryCommand): command is ZoneCommand {
	return zoneCommandKinds.has(command.kind);
}

function applyCommand(state: DirectoryState, command: DirectoryCommand, index: LogIndex): Result<DirectoryState, Failure> {
	if (isUpstreamCommand(command)) {
		const reason = staleReason(state, command);
		return reason === undefined
			? applyUpstreamCommand(state.upstreams, command).map(upstreams => ({
				...state, upstreams, formerAddresses: updateFormerAddresses(state, upstreams), departures: updateDepartures(state, command),
			}))
			: err(failure(FailureKind.superseded, reason));
	}

	if (isKeyCommand(command)) {
		return ok({...state, keys: applyKeyCommand(state.keys, command, index)});
	}

	if (isZoneCommand(command)) {
		return applyZoneCommand(state, command, index).map(({evacuatedZones, restoredZones}) => ({...state, evacuatedZones, restoredZones}));
	}

	return command.kind === 'itemsChanged'
		? changeItems(state.items, command.changes).map(items => ({...state, items}))
		: err(failure(FailureKind.malformed, 'unknown kind of command'));
}

type PackedCommand = {readonly kind: KeyCommand['kind']; readonly service: string; readonly packed: PackedRows};
type EncodedCommand = Exclude<DirectoryCommand, KeyCommand> | PackedCommand;

function unpackCommand({kind, service, packed}: PackedCommand): KeyCommand {
	const command: {readonly kind: KeyCommand['kind']; readonly service: string; readonly rows: ReturnType<typeof unpackRows>} = {kind, service, rows: unpackRows(packed)};
	return command as KeyCommand;
}

/** Encodes commands as the payload of a log entry. */
export function encodeCommands(commands: readonly DirectoryCommand[]): string {
	return JSON.stringify(commands.map(command => isKeyCommand(command) ? {kind: command.kind, service: command.service, packed: packRows(command.rows)} : command));
}

function decodeCommands(payload: string): readonly DirectoryCommand[] {
	return (JSON.parse(payload) as readonly EncodedCommand[]).map(command => 'packed' in command ? unpackCommand(command) : command);
}

/** Applies a log entry, which is a list of commands; returns the new state and the answer to each command. */
export function applyDirectoryEntry(state: DirectoryState, payload: string, index: LogIndex): {readonly state: DirectoryState; readonly answers: ReadonlyArray<Result<DirectoryAccepted, Failure>>} {
	let next = state;
	const answers = decodeCommands(payload).map(command => {
		const applied = applyCommand(next, command, index);
		next = applied.unwrapOr(next);
		return applied.map(() => ({index}));
	});
	return {state: {...next, applied: index}, answers};
}

/** Encodes the state as JSON, for a snapshot. */
export function encodeDirectory(state: DirectoryState): string {
	return JSON.stringify({...state, keys: Object.fromEntries(Object.entries(state.keys).map(([service, ranges]) => [service, packRanges(ranges)]))});
}

type EncodedDirectory = Omit<DirectoryState, 'keys' | 'departures'> & {
	readonly keys: Readonly<Record<string, PackedRanges>>;
	readonly departures?: DirectoryState['departures'];
	/** Incarnations as text, in snapshots of earlier versions. */
	readonly departed?: readonly string[];
};

function decodeDeparted(text: string, formerAddresses: DirectoryState['formerAddresses']): Departure {
	const separator = text.lastIndexOf('#');
	return departureOf({id: text.slice(0, separator), born: Number(text.slice(separator + 1))}, formerAddresses[text]);
}

/** Decodes a snapshot of the state; one of an earlier version may lack orders for zones, and lists departed incarnations as text. Fails with `malformed`. */
export function decodeDirectory(data: string): Result<DirectoryState, Failure> {
	try {
		const {departed = [], ...state} = JSON.parse(data) as EncodedDirectory;
		const departures = state.departures ?? departed.map(text => decodeDeparted(text, state.formerAddresses));
		return typeof state.applied === 'number' && typeof state.items === 'object' && typeof state.keys === 'object'
			? ok({
				...noZoneOrders, ...state, departures, keys: Object.fromEntries(Object.entries(state.keys).map(([service, packed]) => [service, unpackRanges(packed)])),
			})
			: err(failure(FailureKind.malformed, 'the snapshot is not a directory'));
	} catch (error) {
		return err(toFailure(error, FailureKind.malformed));
	}
}

/** The directory as a state machine of the replicated log. */
export const directoryMachine = {
	empty: emptyDirectory, apply: applyDirectoryEntry, encode: encodeDirectory, decode: decodeDirectory,
};
