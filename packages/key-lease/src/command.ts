/**
 * What the leader proposes about the keys of a service, and how the replicated
 * table of ranges takes it in.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {
	changeSpans, type KeyRange, type KeySpan, type UpstreamIncarnation, sameIncarnation, unheldRanges,
} from './range.js';

/** Keys and the upstream that a command is about. */
export type HeldSpan = KeySpan & {readonly holder: UpstreamIncarnation};

/** A change of the table of one service. */
export type KeyCommand =
	/** Nobody holds the keys: give them to upstreams. */
	| {readonly kind: 'keysGranted'; readonly service: string; readonly rows: readonly HeldSpan[]}
	/** The holders have to give the keys up. */
	| {readonly kind: 'keysRecalled'; readonly service: string; readonly rows: readonly HeldSpan[]}
	/** The holders are being told to give the keys up: requests for them wait for the next holder. */
	| {readonly kind: 'keysStopped'; readonly service: string; readonly rows: readonly HeldSpan[]}
	/** There is evidence that the holders no longer hold the keys. */
	| {readonly kind: 'keysVacated'; readonly service: string; readonly rows: ReadonlyArray<HeldSpan & {readonly handover: string}>}
	/** The holders were sent their grants. */
	| {readonly kind: 'keysTold'; readonly service: string; readonly rows: readonly HeldSpan[]};

/** The tables of all services, by service. */
export type KeyTables = Readonly<Record<string, readonly KeyRange[]>>;

/** The ranges of a service. */
export function rangesOf(tables: KeyTables, service: string): readonly KeyRange[] {
	return tables[service] ?? unheldRanges;
}

type Change = (range: KeyRange, row: HeldSpan & {readonly handover?: string}, index: LogIndex) => KeyRange;

function withoutHolder({from, to, fence}: KeyRange, handover: string): KeyRange {
	return {
		from, to, fence, told: false, handover,
	};
}

const changes: Readonly<Record<KeyCommand['kind'], Change>> = {
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
export const keyCommandKinds = new Set<string>(Object.keys(changes));

/** Takes a command in. Rows that no longer fit the table change nothing. */
export function applyKeyCommand(tables: KeyTables, command: KeyCommand, index: LogIndex): KeyTables {
	const ranges = rangesOf(tables, command.service);
	const change = changes[command.kind];
	return {...tables, [command.service]: changeSpans<HeldSpan>(ranges, command.rows, (range, row) => change(range, row, index))};
}
