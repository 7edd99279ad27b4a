/**
 * The replicated record as one: items, upstreams and tables of keys.
 */
import {
	applyKeyCommand, type KeyCommand, keyCommandKinds, type KeyTables,
} from '@dogwooddeck/key-lease/command';
import {
	packRanges, packRows, type PackedRanges, type PackedRows, unpackRanges, unpackRows,
} from '@dogwooddeck/key-lease/packing';
import {type UpstreamIncarnation, incarnationText} from '@dogwooddeck/key-lease/range';
import {
	failure, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {type ItemChange, type Items, noItems} from './item.js';
import {changeItems} from './item-change.js';
import {
	applyUpstreamCommand, type UpstreamCommand, upstreamCommandKinds, type Upstreams,
} from './upstream.js';

/** The replicated record. */
export type DirectoryState = {
	/** The last log entry that is taken in. */
	readonly applied: LogIndex;
	readonly items: Items;
	readonly upstreams: Upstreams;
	/** The last address of each life that holds keys and has no record any more. */
	readonly formerAddresses: Readonly<Record<string, string>>;
	/** Lives that said they were gone; an announcement of theirs that was late on its way doesn't bring them back. */
	readonly departed: readonly string[];
	readonly keys: KeyTables;
};

/** What an entry of the log may hold. */
export type DirectoryCommand =
	| {readonly kind: 'itemsChanged'; readonly changes: readonly ItemChange[]}
	| UpstreamCommand
	| KeyCommand;

/** A command was taken in at this index. */
export type DirectoryAccepted = {readonly index: LogIndex};

/** Nothing was declared or announced yet. */
export const emptyDirectory: DirectoryState = {
	applied: 0, items: noItems, upstreams: {}, formerAddresses: {}, departed: [], keys: {},
};

/** The most addresses of ended lives that are kept. */
const mostFormerAddresses = 500;

/** The most departed lives that are kept. */
const mostDeparted = 500;

function noteFormer(state: DirectoryState, upstreams: Upstreams): DirectoryState['formerAddresses'] {
	const gone = Object.values(state.upstreams).filter(({id, born}) => upstreams[id]?.born !== born);
	const noted = [...Object.entries(state.formerAddresses), ...gone.map(({id, born, address}) => [incarnationText({id, born}), address] as const)];
	return gone.length === 0 ? state.formerAddresses : Object.fromEntries(noted.slice(-mostFormerAddresses));
}

/** Whether a life has said that it is gone. */
export function hasDeparted(state: DirectoryState, life: UpstreamIncarnation): boolean {
	return state.departed.includes(incarnationText(life));
}

function isLate(state: DirectoryState, command: UpstreamCommand): boolean {
	return command.kind === 'upstreamAnnounced' && hasDeparted(state, command.upstream);
}

function noteDeparted(state: DirectoryState, command: UpstreamCommand): DirectoryState['departed'] {
	return command.kind === 'upstreamDeparted' && !hasDeparted(state, command.life)
		? [...state.departed, incarnationText(command.life)].slice(-mostDeparted)
		: state.departed;
}

function isUpstreamCommand(command: DirectoryCommand): command is UpstreamCommand {
	return upstreamCommandKinds.has(command.kind);
}

function isKeyCommand(command: DirectoryCommand): command is KeyCommand {
	return keyCommandKinds.has(command.kind);
}

function applyCommand(state: DirectoryState, command: DirectoryCommand, index: LogIndex): Result<DirectoryState, Failure> {
	if (isUpstreamCommand(command)) {
		return isLate(state, command)
			? err(failure(FailureKind.superseded, 'this life has departed'))
			: applyUpstreamCommand(state.upstreams, command).map(upstreams => ({
				...state, upstreams, formerAddresses: noteFormer(state, upstreams), departed: noteDeparted(state, command),
			}));
	}

	if (isKeyCommand(command)) {
		return ok({...state, keys: applyKeyCommand(state.keys, command, index)});
	}

	return command.kind === 'itemsChanged'
		? changeItems(state.items, command.changes).map(items => ({...state, items}))
		: err(failure(FailureKind.malformed, 'a command of this kind is not known'));
}

type PackedCommand = {readonly kind: KeyCommand['kind']; readonly service: string; readonly packed: PackedRows};
type SentCommand = Exclude<DirectoryCommand, KeyCommand> | PackedCommand;

function unpackCommand({kind, service, packed}: PackedCommand): KeyCommand {
	const command: {readonly kind: KeyCommand['kind']; readonly service: string; readonly rows: ReturnType<typeof unpackRows>} = {kind, service, rows: unpackRows(packed)};
	return command as KeyCommand;
}

/** Commands as an entry of the log. */
export function encodeCommands(commands: readonly DirectoryCommand[]): string {
	return JSON.stringify(commands.map(command => isKeyCommand(command) ? {kind: command.kind, service: command.service, packed: packRows(command.rows)} : command));
}

function readCommands(payload: string): readonly DirectoryCommand[] {
	return (JSON.parse(payload) as readonly SentCommand[]).map(command => 'packed' in command ? unpackCommand(command) : command);
}

/** Takes an entry of the log in: a list of commands, each with an answer. */
export function applyDirectoryEntry(state: DirectoryState, payload: string, index: LogIndex): {readonly state: DirectoryState; readonly answers: ReadonlyArray<Result<DirectoryAccepted, Failure>>} {
	let next = state;
	const answers = readCommands(payload).map(command => {
		const applied = applyCommand(next, command, index);
		next = applied.unwrapOr(next);
		return applied.map(() => ({index}));
	});
	return {state: {...next, applied: index}, answers};
}

/** The record as text. */
export function encodeDirectory(state: DirectoryState): string {
	return JSON.stringify({...state, keys: Object.fromEntries(Object.entries(state.keys).map(([service, ranges]) => [service, packRanges(ranges)]))});
}

/** Reads a record. Fails with `malformed`. */
export function decodeDirectory(data: string): Result<DirectoryState, Failure> {
	try {
		const state = JSON.parse(data) as Omit<DirectoryState, 'keys'> & {readonly keys: Readonly<Record<string, PackedRanges>>};
		return typeof state.applied === 'number' && typeof state.items === 'object' && typeof state.keys === 'object'
			? ok({...state, keys: Object.fromEntries(Object.entries(state.keys).map(([service, packed]) => [service, unpackRanges(packed)]))})
			: err(failure(FailureKind.malformed, 'the text holds no directory'));
	} catch (error) {
		return err(toFailure(error, FailureKind.malformed));
	}
}

/** The directory as the log drives it. */
export const directoryMachine = {
	empty: emptyDirectory, apply: applyDirectoryEntry, encode: encodeDirectory, decode: decodeDirectory,
};
