/**
 * Checks of the fields of a decoded message. They run for every call, so a path
 * is put together only where something is wrong.
 */

/**
 * Says what is wrong with a value, as the path to it from the value that was
 * given and a sentence's end, such as ".zone is not a name"; undefined where
 * nothing is wrong.
 */
export type FieldCheck = (value: unknown) => string | undefined;

/** Texts of a given form. */
export function formed(pattern: RegExp, form: string): FieldCheck {
	return value => typeof value === 'string' && pattern.test(value) ? undefined : ` is not ${form}`;
}

/** Texts of at most so many characters. */
export function text(longest: number): FieldCheck {
	return value => typeof value === 'string' && value.length <= longest ? undefined : ` is not a text of at most ${longest} characters`;
}

/** Whole numbers from 0. */
export function whole(largest: number = Number.MAX_SAFE_INTEGER): FieldCheck {
	return value => Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= largest
		? undefined
		: ` is not a whole number from 0 to ${largest}`;
}

/** Finite numbers from 0. */
export function amount(largest: number = Number.MAX_VALUE): FieldCheck {
	return value => typeof value === 'number' && value >= 0 && value <= largest
		? undefined
		: ` is not a number from 0 to ${largest}`;
}

/** Messages in which every listed field passes its check. */
export function message(fields: Readonly<Record<string, FieldCheck>>): FieldCheck {
	const checks = Object.entries(fields);
	return value => {
		if (typeof value !== 'object' || value === null) {
			return ' is missing';
		}

		for (const [name, check] of checks) {
			const problem = check((value as Readonly<Record<string, unknown>>)[name]);
			if (problem !== undefined) {
				return `.${name}${problem}`;
			}
		}

		return undefined;
	};
}

/** Lists in which every item passes a check. */
export function list(check: FieldCheck): FieldCheck {
	return value => {
		if (!Array.isArray(value)) {
			return ' is not a list';
		}

		for (const [position, item] of value.entries()) {
			const problem = check(item);
			if (problem !== undefined) {
				return `[${position}]${problem}`;
			}
		}

		return undefined;
	};
}

/** Fields that may be missing. */
export function optional(check: FieldCheck): FieldCheck {
	return value => value === undefined ? undefined : check(value);
}
