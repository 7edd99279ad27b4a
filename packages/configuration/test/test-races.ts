/**
 * Operators who race with equal bases and send their changes again, in any
 * order, with restarts in between.
 */
import assert from 'node:assert/strict';
import {env} from 'node:process';
import {test} from 'node:test';
import {type Failure} from '@dogwooddeck/model/failure';
import * as fc from 'fast-check';
import {type Result} from 'true-myth/result';
import {applyConfiguration} from '../src/apply.js';
import {
	initialConfiguration, revisionOf, type ConfigurationAccepted, type SubtreeApplied,
} from '../src/tree.js';
import {applied, contract, restarted} from './sample.js';

const seed = Number(env.DOGWOODDECK_SEED ?? 20_261_204);
const runs = 300;

/** One step of a schedule: an operator sends a new change, or an earlier one again. */
type Step = {
	readonly team: string;
	/** How far the operator's view of the revision lags behind, in accepted changes. */
	readonly lag: number;
	/** The number of services in the wanted subtree. */
	readonly size: number;
	/** If present: which earlier command is sent again. */
	readonly repeats: number | undefined;
	readonly restart: boolean;
};

const step: fc.Arbitrary<Step> = fc.record({
	team: fc.constantFrom('bermrand', 'valbrembo'),
	lag: fc.nat({max: 2}),
	size: fc.nat({max: 3}),
	repeats: fc.option(fc.nat({max: 200}), {nil: undefined}),
	restart: fc.boolean(),
});

function textOf(answer: Result<ConfigurationAccepted, Failure>): string {
	return answer.match({Ok: accepted => JSON.stringify(accepted), Err: refusal => JSON.stringify(refusal)});
}

function nextCommand(chosen: Step, position: number, sent: readonly SubtreeApplied[], revisions: readonly number[]): SubtreeApplied {
	if (chosen.repeats !== undefined && sent.length > 0) {
		return sent[chosen.repeats % sent.length]!;
	}

	const services = Array.from({length: chosen.size}, (_unused, number) => contract(`${chosen.team}/${chosen.team}-${number}`));
	return applied(`operation-${position}`, revisions.at(-1 - chosen.lag) ?? 0, services, chosen.team);
}

function checkSchedule(steps: readonly Step[]): void {
	let state = initialConfiguration;
	const sent: SubtreeApplied[] = [];
	const answers = new Map<string, string>();
	const winners = new Map<string, string>();
	const revisions: Record<string, number[]> = {bermrand: [0], valbrembo: [0]};
	for (const [position, chosen] of steps.entries()) {
		const command = nextCommand(chosen, position, sent, revisions[chosen.team]!);
		sent.push(command);
		const {team, operation, base} = command;
		const before = revisionOf(state, team);
		const next = applyConfiguration(chosen.restart ? restarted(state) : state, command, position + 1);
		state = next.state;

		const answer = textOf(next.answer);
		assert.equal(answer, answers.get(operation) ?? answer, 'the same operation gets the same answer');
		answers.set(operation, answer);

		const winner = winners.get(`${team} ${base}`) ?? operation;
		assert.ok(next.answer.isErr || winner === operation, 'one winner for each base');
		if (next.answer.isOk) {
			winners.set(`${team} ${base}`, operation);
		}

		const after = revisionOf(state, team);
		assert.ok(after >= before, 'revisions go only upwards');
		assert.ok(after === before || next.answer.isOk, 'a refusal changes nothing');
		assert.ok(after === before || before === base, 'a change builds on the revision that stands');
		if (after !== before) {
			revisions[team]!.push(after);
		}
	}
}

test(`races: one winner for each base, the same answer for the same operation, revisions upwards (seed ${seed})`, () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), checkSchedule), {seed, numRuns: runs});
});
