/**
 * Seeded random numbers: the same seed gives the same trace on every machine.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export type Random = {
	/** A whole number from `from` to `to`, both included. */
	readonly whole: (from: number, to: number) => number;
	/** A number from 0 to 1, without 1. */
	readonly fraction: () => number;
};

/** An odd multiplier and a step that spread small seeds over all 32 bits. */
const mixFactor = 0x9E_37_79_B1;
const mixStep = 0x51_7C_C1_B7;

/** Makes a source from whole numbers that name it. */
export function createRandom(...seeds: readonly number[]): Random {
	const mixed = seeds.reduce((mix, seed) => Math.imul(mix + seed, mixFactor) + mixStep, mixStep);
	const generator = xoroshiro128plus(mixed);
	return {
		whole: (from, to) => uniformInt(generator, from, to),
		fraction: () => uniformFloat64(generator),
	};
}

/** A count with the given mean: Poisson's, by its normal approximation. */
export function noisyCount(random: Random, mean: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
	return Math.max(0, Math.round(mean + (Math.sqrt(mean) * normal)));
}
