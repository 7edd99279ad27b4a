/**
 * JSON objects whose fields are not validated yet.
 */

/** A parsed JSON object. */
export type JsonRecord = Readonly<Record<string, unknown>>;

/** Whether a value is an object and not an array. */
export function isRecord(value: unknown): value is JsonRecord {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
