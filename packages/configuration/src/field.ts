/**
 * The schemas of single fields, shared by settings files and by the messages
 * of the operators' surface, so that both take the same values.
 */
import {isSafeRecordKey} from '@dogwooddeck/model/identifiers';
import * as v from 'valibot';
import {parseDuration, parseSize} from './quantity.js';

/** The most services in one team's subtree. */
export const largestSubtreeServices = 256;

const hourMilliseconds = 3_600_000;
const dayMilliseconds = 24 * hourMilliseconds;
const yearMilliseconds = 31_536_000_000;
const largestBody = 1_073_741_824;
const largestSlots = 65_536;
const largestList = 256;

/** A whole number within bounds. */
export function wholeNumber(least: number, most: number) {
	return v.pipe(
		v.number(),
		v.check(
			value => Number.isSafeInteger(value) && value >= least && value <= most,
			`expected a whole number from ${least} to ${most}`,
		),
	);
}

/** A number within bounds. */
export function boundedNumber(least: number, most: number) {
	return v.pipe(v.number(), v.check(value => value >= least && value <= most, `expected a number from ${least} to ${most}`));
}

/** A text of a given form. */
export function formedText(pattern: RegExp, form: string) {
	return v.pipe(v.string(), v.regex(pattern, `expected ${form}`));
}

/** One of the values of a constant object. */
export function oneOf<const Value extends string>(values: Readonly<Record<string, Value>>) {
	const options = Object.values(values);
	return v.picklist(options, `expected one of ${options.map(option => `"${option}"`).join(', ')}`);
}

/** A list with a bounded number of items. */
export function boundedList<Item extends v.GenericSchema>(item: Item, most = largestList) {
	return v.pipe(v.array(item), v.maxLength(most, `expected at most ${most} items`));
}

/** A duration with its unit, as whole milliseconds within bounds. */
export function duration(least: number, most: number) {
	const reason = `expected a duration such as "1500 ms" or "2 s", from ${least} to ${most} ms`;
	return v.pipe(
		v.string('expected a duration with its unit, such as "1500 ms"'),
		v.transform(text => parseDuration(text) ?? Number.NaN),
		v.check(value => value >= least && value <= most, reason),
	);
}

/** A size with its unit, as whole bytes within bounds. */
export function size(least: number, most: number) {
	const reason = `expected a size such as "64 KiB" or "1 MiB", from ${least} to ${most} bytes`;
	return v.pipe(
		v.string('expected a size with its unit, such as "1 MiB"'),
		v.transform(text => parseSize(text) ?? Number.NaN),
		v.check(value => value >= least && value <= most, reason),
	);
}

/** Bounds of the numbers of a contract, least and most. */
export const bounds = {
	slots: [1, largestSlots],
	deadline: [1, hourMilliseconds],
	servedAgain: [1, dayMilliseconds],
	body: [0, largestBody],
	warmUp: [0, hourMilliseconds],
	backoff: [0, hourMilliseconds],
	interval: [1, yearMilliseconds],
	within: [1, hourMilliseconds],
} as const satisfies Readonly<Record<string, readonly [number, number]>>;

const segmentForm = 'a name of lower-case letters, digits and hyphens that starts with a letter, at most 63 characters';

function isName(text: string): boolean {
	return /^[a-z][a-z\d-]{0,62}$/u.test(text) && isSafeRecordKey(text);
}

/** A team, a zone, a limit or an objective. A name that every object has, such as "constructor", is none. */
export const nameField = v.pipe(v.string(), v.check(isName, `expected ${segmentForm}`));

/** A service's path: its team and its own name. */
export const serviceNameField = formedText(/^[a-z][a-z\d-]{0,62}\/[a-z][a-z\d-]{0,62}$/u, 'a path "team/service"');

/** An upstream's name: it is the upstream's own choice. */
export const upstreamNameField = formedText(/^[\w.:-]{1,128}$/u, 'an upstream\'s name');

/** The name of one change. */
export const operationField = formedText(/^[\w.:-]{8,64}$/u, 'an operation identifier of 8 to 64 letters, digits and "-_.:"');

/** The prefix of a service's paths. */
export const prefixField = formedText(/^(?:\/[\w.~-]+)+$/u, 'a path prefix such as "/schedule", with no slash at its end');

/** A route's path after the prefix. */
export const routePathField = formedText(/^(?:\/|(?:\/(?:\*|[\w.~-]+))+)$/u, 'a path such as "/*/bookings", where * stands for one segment');

/** An HTTP method. */
export const methodField = formedText(/^[A-Z]{1,16}$/u, 'an HTTP method in upper case');

/** The name of a header field. */
export const headerField = formedText(/^[\da-z-]{1,64}$/u, 'the name of a header field in lower case');

/** The name of a query parameter. */
export const queryField = formedText(/^[\w.~-]{1,64}$/u, 'the name of a query parameter');

/** An HTTP status that an upstream answers with. */
export const statusField = wholeNumber(400, 599);

/** A revision of a team's subtree: 0 before the first. */
export const revisionField = wholeNumber(0, Number.MAX_SAFE_INTEGER);

const octet = String.raw`(?:25[0-5]|2[0-4]\d|1?\d?\d)`;
const largestPort = 65_535;

/** An address as `IP:port`. */
export const addressField = v.pipe(
	formedText(new RegExp(String.raw`^${octet}(?:\.${octet}){3}:\d{1,5}$`, 'v'), 'an address such as "127.0.0.1:8080"'),
	v.check(text => Number(text.split(':')[1]) <= largestPort, `expected a port of at most ${largestPort}`),
);
