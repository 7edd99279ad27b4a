/**
 * Aggregates the load reports of entries and forwards them to the leader, which so
 * receives one report from each control instance, not one from each entry.
 */
import {type LoadReport} from '@dogwooddeck/mesh/calls';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** Interval of the aggregated reports: a key gets hot within a second. */
const relayIntervalMilliseconds: Milliseconds = 300;

type ServiceReport = LoadReport['services'][number];
type ServiceTotals = {readonly counts: Map<number, number>; readonly answers: Map<string, readonly [number, number]>};

/** Aggregates load reports. */
export type LoadRelay = {
	readonly add: (report: LoadReport) => void;
	readonly stop: () => void;
};

function addReport(into: ServiceTotals, {counts, answers}: ServiceReport): void {
	for (const [key, count] of counts) {
		into.counts.set(key, (into.counts.get(key) ?? 0) + count);
	}

	for (const [upstream, count, milliseconds] of answers) {
		const [counted, total] = into.answers.get(upstream) ?? [0, 0];
		into.answers.set(upstream, [counted + count, total + milliseconds]);
	}
}

/** Starts the relay. Each interval, `send` is called with the aggregate of the reports since the last one, if there were any. */
export function createLoadRelay(send: (report: LoadReport) => void): LoadRelay {
	let services = new Map<string, ServiceTotals>();

	function flush(): void {
		if (services.size === 0) {
			return;
		}

		const report = {
			services: [...services].map(([service, {counts, answers}]) => ({
				service,
				counts: [...counts],
				answers: [...answers].map(([upstream, [count, milliseconds]]) => [upstream, count, milliseconds] as const),
			})),
		};
		services = new Map();
		send(report);
	}

	const relayTimer = setInterval(flush, relayIntervalMilliseconds);
	return {
		add(report) {
			for (const reported of report.services) {
				const totals = services.get(reported.service) ?? {counts: new Map<number, number>(), answers: new Map<string, readonly [number, number]>()};
				addReport(totals, reported);
				services.set(reported.service, totals);
			}
		},
		stop() {
			clearInterval(relayTimer);
		},
	};
}
