/** Load that is skewed over instances, for tests of shares. */

const exponent = 1.1;
/** By how many instances the busiest moves with each change. */
const stride = 4;

/** Rates by Zipf's law over so many instances, `total` together, of which the busiest is another after each change. */
export function zipfRates(instances: number, total: number, changes: number): readonly number[] {
	const weights = Array.from({length: instances}, (_, rank) => 1 / ((rank + 1) ** exponent));
	const sum = weights.reduce((one, other) => one + other, 0);
	return weights.map((_, instance) => total * weights[(instance + (changes * stride)) % instances]! / sum);
}
