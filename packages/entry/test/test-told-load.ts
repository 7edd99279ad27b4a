import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LoadFigures} from '@dogwooddeck/gateway/told-load';
import {
	type Behaviour, call, hasHead, requestText, settings, withEntry,
} from './scenario.js';
import {noticesOf, toldLoadOf} from '@dogwooddeck/entry/answer-rules';

const {fields} = settings;

type ValueCase = {readonly name: string; readonly headers: readonly string[]; readonly figures: LoadFigures | undefined; readonly isUnreadable?: boolean};

const values: readonly ValueCase[] = [
	{name: 'no field', headers: [], figures: undefined},
	{
		name: 'three figures', headers: ['Load', '2,5,3'], figures: {
			running: 2, waiting: 5, slots: 3, slowdown: 1,
		},
	},
	{
		name: 'four figures', headers: ['Load', '2,0,3,250'], figures: {
			running: 2, waiting: 0, slots: 3, slowdown: 2.5,
		},
	},
	{
		name: 'spaces', headers: ['Load', ' 2, 0, 3 '], figures: {
			running: 2, waiting: 0, slots: 3, slowdown: 1,
		},
	},
	...['', '2,5', '2,5,3,100,1', '2,5,0', '2,5,3,0', '-1,5,3', '2.5,1,3', '2,5,3,100%', '1e9,0,3', '99999999,0,3', 'idle'].map(value => ({
		name: JSON.stringify(value), headers: ['Load', value], figures: undefined, isUnreadable: true,
	})),
];

for (const {
	name, headers, figures, isUnreadable = false,
} of values) {
	test(`told load in an answer: ${name}`, () => {
		const head = {headers: ['Request', 'r', ...headers], bounded: true, isEmpty: true};
		assert.deepEqual(toldLoadOf(fields, 'r', head), figures);
		assert.equal(toldLoadOf(fields, 'other', head), undefined, 'an answer to another request');
		const {load: _load, ...others} = fields;
		assert.equal(toldLoadOf(others, 'r', head), undefined, 'without a name for the field');
		assert.deepEqual(noticesOf(fields, 200, head, 0).map(({kind}) => kind), isUnreadable ? ['unreadable'] : []);
		assert.deepEqual(noticesOf(others, 200, head, 0), []);
	});
}

/** Answers with the load that is told. */
function telling(value: string): Behaviour {
	return (socket, {identifier}) => {
		socket.write(`HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nLoad: ${value}\r\nContent-Length: 0\r\n\r\n`);
	};
}

const paths: ReadonlyArray<{readonly value: string; readonly isSlower: boolean}> = [
	{value: '3,0,3,1000', isSlower: true},
	{value: '3,30,3', isSlower: true},
	{value: '0,0,3,100', isSlower: false},
	{value: 'slow', isSlower: false},
];

for (const {value, isSlower} of paths) {
	test(`told load at an entry: ${value}`, async () => withEntry([telling(value)], true, async ({port, table}) => {
		assert.match(await call(port, requestText('/safe/', 'r'), hasHead), / 200 /v);
		const {load} = table.service('s').upstreams[0]!;
		assert.equal(load.told.expect(100, 100, 0, performance.now()) > 200, isSlower);
		assert.equal(load.inFlight, 0);
	}));
}
