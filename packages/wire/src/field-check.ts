/**
 * Checks of the fields of a decoded message. A check names the first field that
 * is not what it should be, by its path.
 */

/** Says what is wrong with a value that stands at a path; undefined where nothing is. */
export type FieldCheck = (value: unknown, path: string) => string | undefined;

/** Texts of a given form. */
export function formed(pattern: RegExp, form: string): FieldCheck {
	return (value, path) => typeof value === 'string' && pattern.test(value) ? undefined : `${path} is not ${form}`;
}

/** Texts of at most so many characters. */
export function text(longest: number): FieldCheck {
	return (value, path) => typeof value === 'string' && value.length <= longest ? undefined : `${path} is not a text of at most ${longest} characters`;
}

/** Whole numbers from 0. */
export function whole(largest: number = Number.MAX_SAFE_INTEGER): FieldCheck {
	return (value, path) => Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= largest
		? undefined
		: `${path} is not a whole number from 0 to ${largest}`;
}

/** Finite numbers from 0. */
export function amount(largest: number = Number.MAX_VALUE): FieldCheck {
	return (value, path) => typeof value === 'number' && value >= 0 && value <= largest
		? undefined
		: `${path} is not a number from 0 to ${largest}`;
}

/** Messages in which every listed field passes its check. */
export function message(fields: Readonly<Record<string, FieldCheck>>): FieldCheck {
	return (value, path) => {
		if (typeof value !== 'object' || value === null) {
			return `${path} is missing`;
		}

		const parts = value as Readonly<Record<string, unknown>>;
		return firstProblem(Object.entries(fields).map(([name, check]) => () => check(parts[name], `${path}.${name}`)));
	};
}

/** Lists in which every item passes a check. */
export function list(check: FieldCheck): FieldCheck {
	return (value, path) => Array.isArray(value)
		? firstProblem(value.map((item, position) => () => check(item, `${path}[${position}]`)))
		: `${path} is not a list`;
}

/** Fields that may be missing. */
export function optional(check: FieldCheck): FieldCheck {
	return (value, path) => value === undefined ? undefined : check(value, path);
}

function firstProblem(checks: ReadonlyArray<() => string | undefined>): string | undefined {
	for (const check of checks) {
		const problem = check();
		if (problem !== undefined) {
			return problem;
		}
	}

	return undefined;
}
