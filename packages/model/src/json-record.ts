/**
 * JSON objects whose fields are not checked yet.
 */

/** An object that came of JSON. */
export type JsonRecord = Readonly<Record<string, unknown>>;

/** Whether a value is an object and no list. */
export function isRecord(value: unknown): value is JsonRecord {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
