import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runCaller} from '@dogwooddeck/stand-in/caller';
import {Fault} from '@dogwooddeck/stand-in/fault';
import {startUpstream} from '@dogwooddeck/stand-in/upstream';

type Case = {readonly fault: Fault; readonly whole: boolean; readonly ran: number};

/** What one call without retries meets. A request that never gets an answer is not asked here. */
const cases: readonly Case[] = [
	{fault: Fault.none, whole: true, ran: 1},
	{fault: Fault.refuse, whole: false, ran: 0},
	{fault: Fault.shed, whole: true, ran: 0},
	{fault: Fault.resetOnConnect, whole: false, ran: 0},
	{fault: Fault.resetBeforeRun, whole: false, ran: 0},
	{fault: Fault.resetAfterRun, whole: false, ran: 1},
	{fault: Fault.closeAfterRun, whole: false, ran: 1},
	{fault: Fault.cutLength, whole: false, ran: 1},
	{fault: Fault.cutChunks, whole: false, ran: 1},
	{fault: Fault.late, whole: true, ran: 1},
	{fault: Fault.closeIdle, whole: true, ran: 1},
];

for (const {fault, whole, ran} of cases) {
	test(`stand-in upstream: ${fault}`, async () => {
		const upstream = await startUpstream();
		await upstream.order({fault});
		const report = await runCaller({
			address: upstream.address, paths: ['/a'], method: 'POST', connections: 1, requests: 1, longestMilliseconds: 5000, name: 'one',
		});
		assert.deepEqual({broken: report.broken, foreign: report.foreign}, {broken: whole ? 0 : 1, foreign: 0});
		assert.equal(upstream.ran.get('one-0') ?? 0, ran);
		await upstream.stop();
	});
}
