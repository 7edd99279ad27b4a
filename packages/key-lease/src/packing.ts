/**
 * The compact encoding of rows and ranges that is stored and sent: each holder is
 * listed once, and each row is a tuple of a few numbers. The first grant of a
 * service has about a thousand rows.
 */
import {type HeldSpan} from './command.js';
import {type KeyRange, type UpstreamIncarnation, incarnationText} from './range.js';

/** The index of a holder in the list of holders; -1 for no holder. */
type HolderPosition = number;

/** The rows of a command: first key, last key, holder, and the handover token if there is one. */
export type PackedRows = {
	readonly holders: readonly UpstreamIncarnation[];
	readonly rows: ReadonlyArray<readonly [number, number, HolderPosition] | readonly [number, number, HolderPosition, string]>;
};

/** Ranges: first key, last key, fence, holder, whether the holder was notified (1 or 0), the log index of the recall (0 for none) and the handover token. */
export type PackedRanges = {
	readonly holders: readonly UpstreamIncarnation[];
	readonly ranges: ReadonlyArray<readonly [number, number, number, HolderPosition, number, number, string]>;
};

/** Assigns each holder its index in the list. */
class HolderList {
	readonly incarnations: UpstreamIncarnation[] = [];
	readonly #positions = new Map<string, HolderPosition>();

	positionOf(holder: UpstreamIncarnation | undefined): HolderPosition {
		if (holder === undefined) {
			return -1;
		}

		const key = incarnationText(holder);
		const position = this.#positions.get(key) ?? this.incarnations.length;
		if (position === this.incarnations.length) {
			this.incarnations.push({id: holder.id, born: holder.born});
			this.#positions.set(key, position);
		}

		return position;
	}
}

/** Encodes the rows of a command. */
export function packRows(rows: ReadonlyArray<HeldSpan & {readonly handover?: string}>): PackedRows {
	const holders = new HolderList();
	return {
		rows: rows.map(({from, to, holder, handover}) => handover === undefined ? [from, to, holders.positionOf(holder)] : [from, to, holders.positionOf(holder), handover]),
		holders: holders.incarnations,
	};
}

/** Decodes the rows of a command. */
export function unpackRows({holders, rows}: PackedRows): ReadonlyArray<HeldSpan & {readonly handover?: string}> {
	return rows.map(([from, to, position, handover]) => ({
		from, to, holder: holders[position]!, ...(handover === undefined ? {} : {handover}),
	}));
}

/** Encodes the key table of a service. */
export function packRanges(ranges: readonly KeyRange[]): PackedRanges {
	const holders = new HolderList();
	return {
		ranges: ranges.map(({from, to, fence, holder, told, releasingSince, handover}) => [from, to, fence, holders.positionOf(holder), told ? 1 : 0, releasingSince ?? 0, handover]),
		holders: holders.incarnations,
	};
}

/** Decodes the key table of a service. */
export function unpackRanges({holders, ranges}: PackedRanges): readonly KeyRange[] {
	return ranges.map(([from, to, fence, position, told, releasingSince, handover]) => {
		const holder = holders[position];
		return {
			from,
			to,
			fence,
			told: told === 1,
			handover,
			...(holder === undefined ? {} : {holder}),
			...(releasingSince === 0 ? {} : {releasingSince}),
		};
	});
}
