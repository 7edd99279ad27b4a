import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ConsensusEnvelope} from '@dogwooddeck/consensus/message';
import {PiggybackedAnswers} from '@dogwooddeck/control-node/piggybacked-answers';

function answerTo(name: string, round: number): ConsensusEnvelope {
	return {
		from: {name: 'self', folder: 'f'}, to: {name, folder: 'f'}, message: {
			kind: 'appendAnswered', term: 1, accepted: true, index: 1, round,
		},
	};
}

type Step = {readonly begins: string} | {readonly answers: readonly [string, number]; readonly isPiggybacked: boolean} | {readonly waits: number};

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly received: ReadonlyArray<number | undefined>}> = [
	{name: 'an answer is returned by the waiting call', steps: [{begins: 'a'}, {answers: ['a', 1], isPiggybacked: true}], received: [1]},
	{name: 'each call returns one answer, the longest waiting first', steps: [{begins: 'a'}, {begins: 'a'}, {answers: ['a', 1], isPiggybacked: true}, {answers: ['a', 2], isPiggybacked: true}, {answers: ['a', 3], isPiggybacked: false}], received: [1, 2]},
	{name: 'an answer to another voter is sent separately', steps: [{begins: 'a'}, {answers: ['b', 1], isPiggybacked: false}, {waits: 40}], received: [undefined]},
	{name: 'a call stops waiting after 40 ms', steps: [{begins: 'a'}, {waits: 40}, {answers: ['a', 1], isPiggybacked: false}], received: [undefined]},
];

for (const {name, steps, received} of cases) {
	test(`piggybacked answers: ${name}`, async context => {
		context.mock.timers.enable({apis: ['setTimeout']});
		const piggybackedAnswers = new PiggybackedAnswers();
		const waiting: Array<Promise<ConsensusEnvelope | undefined>> = [];
		for (const step of steps) {
			if ('begins' in step) {
				waiting.push(piggybackedAnswers.waitForAnswer(step.begins).answer);
			} else if ('answers' in step) {
				assert.equal(piggybackedAnswers.deliver(answerTo(...step.answers)), step.isPiggybacked);
			} else {
				context.mock.timers.tick(step.waits);
			}
		}

		const answers = await Promise.all(waiting);
		assert.deepEqual(answers.map(answer => answer?.message.kind === 'appendAnswered' ? answer.message.round : undefined), received);
	});
}
