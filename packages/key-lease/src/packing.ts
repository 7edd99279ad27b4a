/**
 * Rows and ranges as they are stored and sent: each holder once, and each row as
 * a few numbers. There are a thousand rows in a first grant.
 */
import {type HeldSpan} from './command.js';
import {type KeyRange, type UpstreamIncarnation, incarnationText} from './range.js';

/** The position of a holder in a list of holders; -1 where there is none. */
type HolderPosition = number;

/** Rows of a command: first key, last key, holder, and the token where there is one. */
export type PackedRows = {
	readonly holders: readonly UpstreamIncarnation[];
	readonly rows: ReadonlyArray<readonly [number, number, HolderPosition] | readonly [number, number, HolderPosition, string]>;
};

/** Ranges: first key, last key, fence, holder, whether the holder was told (1 or 0), the index of the recall (0 for none) and the token. */
export type PackedRanges = {
	readonly holders: readonly UpstreamIncarnation[];
	readonly ranges: ReadonlyArray<readonly [number, number, number, HolderPosition, number, number, string]>;
};

/** Gives each life a position. */
class Holders {
	readonly lives: UpstreamIncarnation[] = [];
	readonly #positions = new Map<string, HolderPosition>();

	positionOf(life: UpstreamIncarnation | undefined): HolderPosition {
		if (life === undefined) {
			return -1;
		}

		const key = incarnationText(life);
		const known = this.#positions.get(key) ?? this.lives.length;
		if (known === this.lives.length) {
			this.lives.push({id: life.id, born: life.born});
			this.#positions.set(key, known);
		}

		return known;
	}
}

/** Packs the rows of a command. */
export function packRows(rows: ReadonlyArray<HeldSpan & {readonly handover?: string}>): PackedRows {
	const holders = new Holders();
	return {
		rows: rows.map(({from, to, holder, handover}) => handover === undefined ? [from, to, holders.positionOf(holder)] : [from, to, holders.positionOf(holder), handover]),
		holders: holders.lives,
	};
}

/** The rows that were packed. */
export function unpackRows({holders, rows}: PackedRows): ReadonlyArray<HeldSpan & {readonly handover?: string}> {
	return rows.map(([from, to, position, handover]) => ({
		from, to, holder: holders[position]!, ...(handover === undefined ? {} : {handover}),
	}));
}

/** Packs the table of a service. */
export function packRanges(ranges: readonly KeyRange[]): PackedRanges {
	const holders = new Holders();
	return {
		ranges: ranges.map(({from, to, fence, holder, told, releasingSince, handover}) => [from, to, fence, holders.positionOf(holder), told ? 1 : 0, releasingSince ?? 0, handover]),
		holders: holders.lives,
	};
}

/** The table that was packed. */
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
