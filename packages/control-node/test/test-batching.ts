import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type AnnouncementReport, type LoadReport} from '@dogwooddeck/mesh/calls';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {err, ok} from 'true-myth/result';
import {createAnnouncementBatcher} from '@dogwooddeck/control-node/announcement-batcher';
import {createLoadRelay} from '@dogwooddeck/control-node/load-relay';

function report(id: string, isUrgent = false): AnnouncementReport {
	return {
		keys: {
			life: {id, born: 1}, sequence: 1, missing: [], released: [], digest: '',
		},
		isUrgent,
	};
}

const batches: ReadonlyArray<{readonly name: string; readonly reports: readonly AnnouncementReport[]; readonly afterMilliseconds: number; readonly sent: readonly string[]}> = [
	{
		name: 'announcements within the window share a call', reports: [report('a'), report('b')], afterMilliseconds: 25, sent: ['a,b'],
	},
	{
		name: 'nothing is sent before the window ends', reports: [report('a'), report('b')], afterMilliseconds: 10, sent: [],
	},
	{
		name: 'an urgent announcement sends the waiting ones at once', reports: [report('a'), report('b', true), report('c')], afterMilliseconds: 0, sent: ['a,b'],
	},
];

for (const {name, reports, afterMilliseconds, sent} of batches) {
	test(`announcement batch: ${name}`, context => {
		context.mock.timers.enable({apis: ['setTimeout']});
		const sentBatches: string[] = [];
		const forward = createAnnouncementBatcher(async batch => {
			sentBatches.push(batch.map(({keys}) => keys.life.id).join(','));
			return ok([]);
		});
		for (const one of reports) {
			void forward(one);
		}

		context.mock.timers.tick(afterMilliseconds);
		assert.deepEqual(sentBatches, sent);
	});
}

test('announcement batch: each gets its own answer, or a failure if there is none', async context => {
	context.mock.timers.enable({apis: ['setTimeout']});
	const refused = failure(FailureKind.notFound, 'there is no service');
	const forward = createAnnouncementBatcher(async () => ok([{answer: {holdMilliseconds: 5, keyed: false}}, {failure: refused}]));
	const outcomes = Promise.all([report('a'), report('b'), report('c')].map(async one => forward(one)));
	context.mock.timers.tick(25);
	const settled = await outcomes;
	const kinds = settled.map(outcome => outcome.isOk ? 'taken' : outcome.error.kind);
	assert.deepEqual(kinds, ['taken', FailureKind.notFound, FailureKind.malformed]);
});

test('announcement batch: all fail if the leader is unreachable', async context => {
	context.mock.timers.enable({apis: ['setTimeout']});
	const forward = createAnnouncementBatcher(async () => err(failure(FailureKind.unreachable, 'no answer')));
	const outcomes = Promise.all([report('a'), report('b')].map(async one => forward(one)));
	context.mock.timers.tick(25);
	const settled = await outcomes;
	assert.deepEqual(settled.map(({isErr}) => isErr), [true, true]);
});

test('load relay: reports of entries are summed and forwarded once', context => {
	context.mock.timers.enable({apis: ['setInterval']});
	const sent: LoadReport[] = [];
	const relay = createLoadRelay(aggregate => {
		sent.push(aggregate);
	});
	relay.add({services: [{service: 's', counts: [[1, 2], [5, 1]], answers: [['u', 2, 100]]}]});
	relay.add({services: [{service: 's', counts: [[1, 3]], answers: [['u', 1, 20]]}, {service: 't', counts: [[9, 1]], answers: []}]});
	context.mock.timers.tick(300);
	context.mock.timers.tick(300);
	assert.deepEqual(sent, [{services: [{service: 's', counts: [[1, 5], [5, 1]], answers: [['u', 3, 120]]}, {service: 't', counts: [[9, 1]], answers: []}]}]);
	relay.stop();
});
