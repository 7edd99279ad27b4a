/**
 * The commands that the leader proposes about the keys of a service, and their
 * application to the replicated table of key ranges.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {
	changeSpans, type KeyRange, type KeySpan, type UpstreamIncarnation, sameIncarnation, unassignedRanges,
} from './range.js';

/** Keys and their holder, as a command names them. */
export type HeldSpan = KeySpan & {readonly holder: UpstreamIncarnation};

/** A change to the key table of one service. */
export type KeyCommand =
	/** Grants unassigned keys to upstreams. */
	| {readonly kind: 'keysGranted'; readonly service: string; readonly rows: readonly HeldSpan[]}
	/** Asks the holders to release the keys. */
	| {readonly kind: 'keysRecalled'; readonly service: string; readonly rows: readonly HeldSpan[]}
	/** The holders are being notified of the recall: requests for the keys wait for the next holder. */
	| {readonly kind: 'keysStopped'; readonly service: string; readonly rows: readonly HeldSpan[]}
	/** Marks keys as unassigned, on evidence that the holders no longer hold them. */
	| {readonly kind: 'keysVacated'; readonly service: string; readonly rows: ReadonlyArray<HeldSpan & {readonly handover: string}>}
	/** Records that the holders were sent their grants. */
	| {readonly kind: 'keysTold'; readonly service: string; readonly rows: readonly HeldSpan[]};

/** The key tables of all services, by service name. */
export type KeyTables = Readonly<Record<string, readonly KeyRange[]>>;

/** Returns the ranges of a service: one unassigned range if it has no table yet. */
export function rangesOf(tables: KeyTables, service: string): readonly KeyRange[] {
	return tables[service] ?? unassignedRanges;
}

type CommandHandler = (range: KeyRange, row: HeldSpan & {readonly handover?: string}, index: LogIndex) => KeyRange;

function withoutHolder({from, to, fence}: KeyRange, handover: string): KeyRange {
	return {
		from, to, fence, told: false, handover,
	};
}

const commandHandlers: Readonly<Record<KeyCommand['kind'], CommandHandler>> = {
	keysGranted: (range, {holder}, index) => range.holder === undefined
		? {
			...range, holder, fence: index, told: false,
		}
		: range,
	keysRecalled: (range, {holder}, index) => sameIncarnation(range.holder, holder) && range.releasingSince === undefined
		? {...range, releasingSince: index}
		: range,
	keysStopped: (range, {holder}) => sameIncarnation(range.holder, holder) && range.releasingSince !== undefined ? {...range, told: false} : range,
	keysVacated: (range, {holder, handover}) => sameIncarnation(range.holder, holder) ? withoutHolder(range, handover ?? '') : range,
	keysTold: (range, {holder}) => sameIncarnation(range.holder, holder) ? {...range, told: true} : range,
};

/** The kinds of key commands. */
export const keyCommandKinds = new Set<string>(Object.keys(commandHandlers));

/** Applies a command. Rows that no longer match the table change nothing. */
export function applyKeyCommand(tables: KeyTables, command: KeyCommand, index: LogIndex): KeyTables {
	const ranges = rangesOf(tables, command.service);
	const handler = commandHandlers[command.kind];
	return {...tables, [command.service]: changeSpans<HeldSpan>(ranges, command.rows, (range, row) => handler(range, row, index))};
}
