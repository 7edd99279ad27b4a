import assert from 'node:assert/strict';
import {test} from 'node:test';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {EventName} from '@dogwooddeck/telemetry/event';
import {createLog, type Log} from '@dogwooddeck/telemetry/log';

const cases: ReadonlyArray<{readonly name: string; readonly write: (log: Log) => void; readonly expected: string}> = [
	{
		name: 'an event without fields',
		write(log) {
			log.event(EventName.instanceReady);
		},
		expected: 'level=info event=instance-ready instance=alfa',
	},
	{
		name: 'text with spaces, quotes and line ends stays on one line',
		write(log) {
			log.warning(EventName.inputRefused, {reason: 'a "b"\nc', count: 3, absent: undefined});
		},
		expected: String.raw`level=warning event=input-refused instance=alfa reason="a \"b\"\nc" count=3`,
	},
	{
		name: 'a failure is logged with its kind and detail',
		write(log) {
			log.error(EventName.requestFailed, failure(FailureKind.noOwner, 'slot 3'), {service: 'a/b'});
		},
		expected: 'level=error event=request-failed instance=alfa service=a/b failure=no-owner detail="slot 3"',
	},
];

for (const {name, write, expected} of cases) {
	test(`log: ${name}`, () => {
		const lines: string[] = [];
		write(createLog('alfa', line => lines.push(line)));
		assert.equal(lines.length, 1);
		assert.equal(lines[0]?.replace(/^time=\S+ /v, ''), expected);
	});
}
