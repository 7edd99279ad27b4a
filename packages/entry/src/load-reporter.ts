/**
 * Counts requests by key and tells the leader, which divides the keys by it.
 */
import {keysPerBucket} from '@dogwooddeck/key-lease/planning';
import {type LoadReport} from '@dogwooddeck/mesh/calls';
import {type MeshClients} from '@dogwooddeck/mesh/client';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

const reportMilliseconds: Milliseconds = 500;
const reportTimeoutMilliseconds: Milliseconds = 450;

/** Counts requests. */
export type LoadReporter = {
	readonly count: (service: string, key: number) => void;
	readonly stop: () => void;
};

/** Starts to count and to report. */
export function startLoadReporter(clients: MeshClients, leader: () => string | undefined): LoadReporter {
	let services = new Map<string, Map<number, number>>();

	function report(): void {
		const address = leader();
		if (address === undefined || services.size === 0) {
			return;
		}

		const told: LoadReport = {
			services: [...services].map(([service, counts]) => ({service, counts: [...counts]})),
			periodMilliseconds: reportMilliseconds,
		};
		services = new Map();
		void clients.call(address, 'reportLoad', told, reportTimeoutMilliseconds);
	}

	const reporting = setInterval(report, reportMilliseconds);
	return {
		count(service, key) {
			const counts = services.get(service) ?? new Map<number, number>();
			const bucket = Math.floor(key / keysPerBucket);
			counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
			services.set(service, counts);
		},
		stop() {
			clearInterval(reporting);
		},
	};
}
