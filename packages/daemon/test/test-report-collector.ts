import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {mock, test} from 'node:test';
import {type Announcement} from '@dogwooddeck/model/registry';
import {createReportCollector, type ReportCollector} from '@dogwooddeck/daemon/report-collector';

function announcement(name: string, incarnation = 1): Announcement {
	return {
		service: 'team/service', name, incarnation, region: 'noord', zone: 'noord-a', address: '127.0.0.1:4000', leaving: false, load: 0,
	};
}

let now = 0;

/** Takes the next report and returns its announcements. */
function takeAnnouncements(collector: ReportCollector): readonly string[] {
	return collector.take().announcements.map(({name, incarnation}) => `${name}#${incarnation}`);
}

const cases: ReadonlyArray<{readonly name: string; readonly run: (collector: ReportCollector) => void}> = [
	{
		name: 'an announcement is reported once',
		run(collector) {
			collector.recordAnnouncement(announcement('one'));
			assert.deepEqual([takeAnnouncements(collector), takeAnnouncements(collector)], [['one#1'], []]);
		},
	},
	{
		name: 'an announcement of a report that did not arrive is reported again',
		run(collector) {
			collector.recordAnnouncement(announcement('one'));
			const report = collector.take();
			now += 300;
			collector.restore(report);
			assert.deepEqual([takeAnnouncements(collector), takeAnnouncements(collector)], [['one#1'], []]);
		},
	},
	{
		name: 'an announcement that is no longer fresh is not reported again, however often its report was restored',
		run(collector) {
			collector.recordAnnouncement(announcement('one'));
			const report = collector.take();
			now += 300;
			collector.restore(report);
			const again = collector.take();
			now += 300;
			collector.restore(again);
			assert.deepEqual(takeAnnouncements(collector), []);
		},
	},
	{
		name: 'a newer announcement replaces an older one',
		run(collector) {
			collector.recordAnnouncement(announcement('one'));
			const report = collector.take();
			collector.recordAnnouncement(announcement('one', 2));
			collector.restore(report);
			assert.deepEqual(takeAnnouncements(collector), ['one#2']);
		},
	},
];

function onPausedClock(run: () => void): void {
	now = 1000;
	mock.method(performance, 'now', () => now);
	try {
		run();
	} finally {
		mock.reset();
	}
}

for (const {name, run} of cases) {
	test(`reports: ${name}`, () => {
		onPausedClock(() => {
			run(createReportCollector({name: 'entry-1', incarnation: 1}, () => [], () => []));
		});
	});
}
