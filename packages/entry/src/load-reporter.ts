/**
 * Counts requests by key and reports the counts to the nearest control instance,
 * which forwards them to the leader. The leader distributes keys by this load.
 */
import {type LoadReport} from '@dogwooddeck/mesh/calls';
import {type MeshClients} from '@dogwooddeck/mesh/client';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

const reportMilliseconds: Milliseconds = 300;
const reportTimeoutMilliseconds: Milliseconds = 450;

type AnswerTotals = {count: number; milliseconds: Milliseconds};
type ServiceCounts = {readonly keys: Map<number, number>; readonly answers: Map<string, AnswerTotals>};

/** Counts requests and answers, and reports them periodically. */
export type LoadReporter = {
	readonly count: (service: string, key: number) => void;
	/** Records that an upstream of a keyed service answered, after `took` milliseconds. */
	readonly recordAnswer: (service: string, upstream: string, took: Milliseconds) => void;
	readonly stop: () => void;
};

/** Starts the reporter. `control` returns the address that reports are sent to; while it returns undefined, counts accumulate. */
export function startLoadReporter(clients: MeshClients, control: () => string | undefined): LoadReporter {
	let services = new Map<string, ServiceCounts>();

	function countsOf(service: string): ServiceCounts {
		const counts = services.get(service) ?? {keys: new Map<number, number>(), answers: new Map<string, AnswerTotals>()};
		services.set(service, counts);
		return counts;
	}

	function report(): void {
		const address = control();
		if (address === undefined || services.size === 0) {
			return;
		}

		const message: LoadReport = {
			services: [...services].map(([service, {keys, answers}]) => ({
				service,
				counts: [...keys],
				answers: [...answers].map(([upstream, {count, milliseconds}]) => [upstream, count, Math.round(milliseconds)] as const),
			})),
		};
		services = new Map();
		void clients.call(address, 'reportLoad', message, reportTimeoutMilliseconds);
	}

	const reportTimer = setInterval(report, reportMilliseconds);
	return {
		count(service, key) {
			const {keys} = countsOf(service);
			keys.set(key, (keys.get(key) ?? 0) + 1);
		},
		recordAnswer(service, upstream, took) {
			const {answers} = countsOf(service);
			const totals = answers.get(upstream) ?? {count: 0, milliseconds: 0};
			totals.count += 1;
			totals.milliseconds += took;
			answers.set(upstream, totals);
		},
		stop() {
			clearInterval(reportTimer);
		},
	};
}
