/**
 * What the tests of claims share: names, random changes of seats, and what must
 * hold of all runs.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import fc from 'fast-check';
import {Outcome} from '@dogwooddeck/model/outcome';
import {lifetimeMilliseconds, type Run, runsForMilliseconds} from './fake-claim-network.js';

/** The instances of a fake network. */
export const names = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
/** The operations that callers send and resend. */
export const operations = ['one', 'two'] as const;
/** The seed of random cases. */
export const seed = Number(process.env.TEST_SEED ?? 20_261_204);

/** A second run is wrong unless the first is known not to have run, or is a lifetime ago. */
export function assertNothingRanTwice(runs: readonly Run[]): void {
	for (const [position, run] of runs.entries()) {
		const earlier = runs.slice(0, position).filter(other => other.operation === run.operation && other.outcome !== Outcome.notRun);
		for (const other of earlier) {
			assert.ok(run.at - other.at >= lifetimeMilliseconds - runsForMilliseconds, `${run.operation} runs at ${other.entry} from ${other.at} and at ${run.entry} from ${run.at}`);
		}
	}
}

/** One change of the seats, and which packets are lost after it. */
export type Change = {readonly kind: 'restart' | 'unseat'; readonly name: string; readonly lossy: readonly boolean[]; readonly operation: string};

/** Any change. */
export const change: fc.Arbitrary<Change> = fc.record({
	kind: fc.constantFrom('restart', 'unseat'), name: fc.constantFrom(...names), lossy: fc.array(fc.boolean(), {minLength: 20, maxLength: 20}), operation: fc.constantFrom(...operations),
});

