/**
 * What a control instance passes on to the leader of the keys in an
 * announcement: not the list, which is long and mostly known, but how it differs
 * from the replicated table.
 */
import {createHash} from 'node:crypto';
import {type HeldKeys, type ReleasedRow, rowsOf} from './granting.js';
import {
	inOrder, type KeyRange, type KeySpan, type UpstreamIncarnation, rangesHeldBy, withoutSpans,
} from './range.js';

/** The keys of one announcement beside the table. */
export type KeyReport = {
	readonly life: UpstreamIncarnation;
	/** Grows with each announcement of one life. */
	readonly sequence: number;
	/** Keys that the table gives to the upstream and that it doesn't list. */
	readonly missing: readonly KeySpan[];
	readonly released: readonly ReleasedRow[];
	/** The digest of the rows that the table gives to the upstream. */
	readonly digest: string;
};

/** A short text that differs where rows differ. */
export function rowsDigest(rows: readonly KeyRange[]): string {
	const hash = createHash('sha1');
	for (const {from, to, fence, handover} of rows) {
		hash.update(`${from} ${to} ${fence} ${handover} `);
	}

	return hash.digest('base64');
}

/**
 * Holds what an upstream lists against a table. The table may be behind the
 * leader's: keys that it doesn't give to the upstream are never reported as missing.
 */
export function reportKeys(ranges: readonly KeyRange[], {life, sequence, holds, released}: HeldKeys): KeyReport {
	const listed = inOrder(holds);
	const missing = rangesHeldBy(ranges, life).flatMap(range => withoutSpans(range, listed));
	return {
		life, sequence, missing, released, digest: rowsDigest(rowsOf(ranges, life)),
	};
}

/** The rows that an upstream is to hold. The token of a row is left out once the upstream lists the row. */
export function rowsFor(ranges: readonly KeyRange[], {life, missing}: Pick<KeyReport, 'life' | 'missing'>): readonly KeyRange[] {
	return rowsOf(ranges, life).map(row => {
		const isListed = row.told && missing.every(({from, to}) => from > row.to || to < row.from);
		return isListed && row.handover !== '' ? {...row, handover: ''} : row;
	});
}
