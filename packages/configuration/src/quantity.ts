/**
 * Quantities as people write them in settings: a number, a space and a unit.
 */

/** Milliseconds in each unit of time that settings may use. */
export const millisecondsPerUnit: Readonly<Record<string, number>> = {
	ms: 1,
	s: 1000,
	min: 60_000,
	h: 3_600_000,
	d: 86_400_000,
};

/** Bytes in each unit of size that settings may use. */
export const bytesPerUnit: Readonly<Record<string, number>> = {
	B: 1,
	KiB: 1024,
	MiB: 1_048_576,
	GiB: 1_073_741_824,
};

const quantityPattern = /^(?<amount>\d+(?:\.\d+)?) (?<unit>[A-Za-z]+)$/u;

function parseQuantity(text: string, units: Readonly<Record<string, number>>): number | undefined {
	const groups = quantityPattern.exec(text)?.groups;
	if (groups === undefined || !Object.hasOwn(units, groups.unit!)) {
		return undefined;
	}

	const amount = Number(groups.amount) * units[groups.unit!]!;
	return Number.isSafeInteger(amount) ? amount : undefined;
}

/** Reads a duration such as `1500 ms` as whole milliseconds; undefined if it is none. */
export function parseDuration(text: string): number | undefined {
	return parseQuantity(text, millisecondsPerUnit);
}

/** Reads a size such as `1 MiB` as whole bytes; undefined if it is none. */
export function parseSize(text: string): number | undefined {
	return parseQuantity(text, bytesPerUnit);
}
