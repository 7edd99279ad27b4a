/**
 * The report on an announcement's keys that a control instance forwards to the
 * leader: the differences from the replicated table instead of the full list of
 * keys, which is long and mostly matches the table.
 */
import {createHash} from 'node:crypto';
import {type HeldKeys, type ReleasedRow, grantedRows} from './granting.js';
import {
	sortByFirstKey, type KeyRange, type KeySpan, type UpstreamIncarnation, rangesHeldBy, subtractSpans,
} from './range.js';

/** The differences between the keys of one announcement and the table. */
export type KeyReport = {
	/** The incarnation that sent the announcement. */
	readonly life: UpstreamIncarnation;
	/** Increases with each announcement of an incarnation. */
	readonly sequence: number;
	/** Keys that the table assigns to the upstream and that it doesn't list. */
	readonly missing: readonly KeySpan[];
	readonly released: readonly ReleasedRow[];
	/** The digest of the rows that are granted to the upstream in the table. */
	readonly digest: string;
};

/** Returns a digest of rows (SHA-1, base64), to compare them cheaply. */
export function rowsDigest(rows: readonly KeyRange[]): string {
	const hash = createHash('sha1');
	for (const {from, to, fence, handover} of rows) {
		hash.update(`${from} ${to} ${fence} ${handover} `);
	}

	return hash.digest('base64');
}

/**
 * Compares the keys that an upstream lists with a table. The table may lag behind
 * the leader's: keys that it doesn't assign to the upstream are never reported as
 * missing.
 */
export function reportKeys(ranges: readonly KeyRange[], {life: holder, sequence, holds, released}: HeldKeys): KeyReport {
	const listed = sortByFirstKey(holds);
	const missing = rangesHeldBy(ranges, holder).flatMap(range => subtractSpans(range, listed));
	return {
		life: holder, sequence, missing, released, digest: rowsDigest(grantedRows(ranges, holder)),
	};
}

/** Returns the rows to send to an upstream. The handover token of a row is omitted once the upstream lists the row. */
export function rowsToSend(ranges: readonly KeyRange[], {life: holder, missing}: Pick<KeyReport, 'life' | 'missing'>): readonly KeyRange[] {
	return grantedRows(ranges, holder).map(row => {
		const isListed = row.told && missing.every(({from, to}) => from > row.to || to < row.from);
		return isListed && row.handover !== '' ? {...row, handover: ''} : row;
	});
}
