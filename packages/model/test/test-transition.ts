import assert from 'node:assert/strict';
import {test} from 'node:test';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';

type Message = {readonly kind: 'grown'; readonly by: number} | {readonly kind: 'halved'};

const handlers: HandlerTable<Message, [number], number> = {
	grown: (message, size) => size + message.by,
	halved: (_message, size) => size / 2,
};

const cases: ReadonlyArray<{readonly name: string; readonly message: Message; readonly expected: number}> = [
	{name: 'a message with a field', message: {kind: 'grown', by: 2}, expected: 12},
	{name: 'a message without fields', message: {kind: 'halved'}, expected: 5},
];

for (const {name, message, expected} of cases) {
	test(`dispatch: ${name}`, () => {
		assert.equal(dispatch(handlers, message, 10), expected);
	});
}
