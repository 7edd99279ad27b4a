/**
 * Filters the header fields forwarded between callers and upstreams. Hop-by-hop
 * fields and this system's own fields are never forwarded.
 */
import {type Buffer} from 'node:buffer';
import {HeaderName} from '@dogwooddeck/model/headers';

/** Alternating names and values, the raw header format of Node.js. */
export type RawHeaders = readonly string[];

const hopByHop = ['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'];
const ownFields = [HeaderName.fence, HeaderName.deadline, HeaderName.slot, HeaderName.outcome];

/** The client sets the length of the body that it sends; `expect` was satisfied when the body was read. */
const excludedFromRequests = new Set<string>([...hopByHop, ...ownFields, 'content-length', 'expect']);
const excludedFromAnswers = new Set<string>([...hopByHop, ...ownFields]);

const noNames: ReadonlySet<string> = new Set();

/** The fields that a `Connection` field declares hop-by-hop. */
function namedFields(connection: string | undefined): ReadonlySet<string> {
	if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
		return noNames;
	}

	return new Set(connection.split(',').map(name => name.trim().toLowerCase()));
}

/**
 * Returns the fields of a caller's request that are sent to an upstream. `connection` is the value of the
 * caller's `Connection` field; `excluded` holds further names, in lower case, that are not forwarded.
 */
export function requestHeaders(raw: RawHeaders, connection: string | undefined, excluded: ReadonlySet<string> = noNames): string[] {
	const named = namedFields(connection);
	const kept: string[] = [];
	for (let position = 0; position < raw.length; position += 2) {
		const name = raw[position]!;
		const lowerCase = name.toLowerCase();
		if (!excludedFromRequests.has(lowerCase) && !named.has(lowerCase) && !excluded.has(lowerCase)) {
			kept.push(name, raw[position + 1]!);
		}
	}

	return kept;
}

/** The parsed head of an upstream's answer. */
export type AnswerHead = {
	/** The fields that are relayed to the caller. */
	readonly headers: string[];
	/** Whether the body's framing distinguishes a complete body from a truncated one. */
	readonly bounded: boolean;
	/** Whether the body is known to be empty, by a `Content-Length` of 0. */
	readonly isEmpty: boolean;
	/** The value of `Retry-After`. */
	readonly retryAfter?: string;
};

const endsInChunked = /(?:^|,)\s*chunked\s*$/iv;

/** Parses the raw head of an upstream's answer. */
export function readAnswerHead(raw: readonly Uint8Array[]): AnswerHead {
	const fields = raw.map(field => (field as Buffer).toString('latin1'));
	const headers: string[] = [];
	let bounded = false;
	let isEmpty = false;
	let connection: string | undefined;
	let retryAfter: string | undefined;
	for (let position = 0; position < fields.length; position += 2) {
		const name = fields[position]!;
		const value = fields[position + 1]!;
		const lowerCase = name.toLowerCase();
		bounded ||= lowerCase === 'content-length' || (lowerCase === 'transfer-encoding' && endsInChunked.test(value));
		isEmpty ||= lowerCase === 'content-length' && value.trim() === '0';
		connection = lowerCase === 'connection' ? value.toLowerCase() : connection;
		retryAfter = lowerCase === 'retry-after' ? value : retryAfter;
		if (!excludedFromAnswers.has(lowerCase)) {
			headers.push(name, value);
		}
	}

	const named = namedFields(connection);
	return {
		headers: named.size === 0 ? headers : withoutNamed(headers, named), bounded, isEmpty, ...(retryAfter === undefined ? {} : {retryAfter}),
	};
}

function withoutNamed(headers: RawHeaders, named: ReadonlySet<string>): string[] {
	return headers.filter((_field, position) => !named.has(headers[position - (position % 2)]!.toLowerCase()));
}

/** Returns the value of the first field with the given lower-case name, or undefined if there is none. */
export function fieldOf(headers: RawHeaders, lowerCaseName: string): string | undefined {
	for (let position = 0; position < headers.length; position += 2) {
		if (headers[position]!.toLowerCase() === lowerCaseName) {
			return headers[position + 1];
		}
	}

	return undefined;
}

const millisecondsPerSecond = 1000;
const seconds = /^(?:\d+(?:\.\d*)?|\.\d+)$/v;
const httpDate = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;

/**
 * Converts a `Retry-After` field, in seconds with or without a fraction or as a date, to milliseconds from the
 * wall-clock time `now`. Returns undefined if it is neither; `Infinity` for a number that is too large to represent.
 */
export function retryAfterMilliseconds(value: string | undefined, now: number): number | undefined {
	if (value === undefined) {
		return undefined;
	}

	const text = value.trim();
	if (seconds.test(text)) {
		return Number(text) * millisecondsPerSecond;
	}

	const date = httpDate.test(text) ? Date.parse(text) : Number.NaN;
	return Number.isNaN(date) ? undefined : Math.max(0, date - now);
}
