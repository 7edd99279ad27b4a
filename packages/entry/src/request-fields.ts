/**
 * Reads the header fields of a caller's request.
 */
import {keyCount} from '@dogwooddeck/key-lease/range';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

type FieldValue = string | readonly string[] | undefined;

const millisecondsPattern = /^\d{1,9}$/v;
const keyPattern = /^\d{1,5}$/v;

/** Returns the value of a field, or the first of several. */
export function firstValue(value: FieldValue): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

/** Returns the key of a request; undefined if the field is missing or holds no key. */
export function keyOf(value: FieldValue): number | undefined {
	const text = firstValue(value);
	return text !== undefined && keyPattern.test(text) && Number(text) < keyCount ? Number(text) : undefined;
}

/** Returns how long the caller waits, at most `limit`, which also holds if the field is missing or unreadable. */
export function timeoutOf(value: FieldValue, limit: Milliseconds): Milliseconds {
	const text = firstValue(value);
	return text !== undefined && millisecondsPattern.test(text) ? Math.min(Number(text), limit) : limit;
}
