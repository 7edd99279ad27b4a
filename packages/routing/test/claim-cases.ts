/**
 * Shared by the claim tests: instance names, random seat changes, and the assertion
 * that no operation runs twice.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import fc from 'fast-check';
import {Outcome} from '@dogwooddeck/model/outcome';
import {lifetimeMilliseconds, type Run, runsForMilliseconds} from './fake-claim-network.js';

/** The names of the instances in a fake network. */
export const names = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
/** The operations that callers send and resend. */
export const operations = ['one', 'two'] as const;
/** The seed of the random cases. */
export const seed = Number(process.env.TEST_SEED ?? 20_261_204);

/** Allows a second run only if the first ended with `not-run`, or is a lifetime ago. */
export function assertNothingRanTwice(runs: readonly Run[]): void {
	for (const [position, run] of runs.entries()) {
		const earlier = runs.slice(0, position).filter(other => other.operation === run.operation && other.outcome !== Outcome.notRun);
		for (const other of earlier) {
			assert.ok(run.at - other.at >= lifetimeMilliseconds - runsForMilliseconds, `${run.operation} runs at ${other.entry} from ${other.at} and at ${run.entry} from ${run.at}`);
		}
	}
}

/** One seat change, and which packets are lost after it. */
export type Change = {readonly kind: 'restart' | 'unseat'; readonly name: string; readonly lossy: readonly boolean[]; readonly operation: string};

/** An arbitrary seat change. */
export const change: fc.Arbitrary<Change> = fc.record({
	kind: fc.constantFrom('restart', 'unseat'), name: fc.constantFrom(...names), lossy: fc.array(fc.boolean(), {minLength: 20, maxLength: 20}), operation: fc.constantFrom(...operations),
});

