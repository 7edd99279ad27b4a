/** Generates load that is skewed over instances, for tests of shares. */

const exponent = 1.1;
/** The number of positions by which the busiest instance moves with each change. */
const stride = 4;

/** Returns rates by Zipf's law that sum to `total`. The busiest instance differs after each change. */
export function zipfRates(instances: number, total: number, changes: number): readonly number[] {
	const weights = Array.from({length: instances}, (_, rank) => 1 / ((rank + 1) ** exponent));
	const sum = weights.reduce((one, other) => one + other, 0);
	return weights.map((_, instance) => total * weights[(instance + (changes * stride)) % instances]! / sum);
}
