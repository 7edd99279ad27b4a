/**
 * Collects the observations of an instance, and the reports that it received from
 * others, between two reports.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type KeyLoad, type SlotLoad, type UpstreamEvidence} from '@dogwooddeck/model/evidence';
import {
	type InstanceIdentity, type Milliseconds, type MonotonicTime, type ServiceName, type Slot,
} from '@dogwooddeck/model/identifiers';
import {type Report} from '@dogwooddeck/model/lease';
import {type Announcement} from '@dogwooddeck/model/registry';
import {type LimitDemand} from '@dogwooddeck/model/share';

/** Collects the contents of the next report. Updated in place, since it counts every request. */
export type ReportCollector = {
	/** Counts a request for a slot. */
	readonly recordRequest: (service: ServiceName, slot: Slot, key: string) => void;
	/** Records an announcement; the latest of each upstream is kept. */
	readonly recordAnnouncement: (announcement: Announcement) => void;
	/** Merges a report of another instance. */
	readonly merge: (report: Report) => void;
	/** Returns everything that was collected since the last call. */
	readonly take: () => Report;
	/** Restores a report that may not have arrived: its announcements that are still fresh are sent with the next report. */
	readonly restore: (report: Report) => void;
};

/** Keys that are counted between two reports. When there are more, the half with the fewest requests is dropped. */
const maximumCountedKeys = 4096;
/** Keys that are reported for each service. */
const maximumReportedKeys = 16;
/** An announcement that is older than this isn't sent again: the upstream may have left since. */
const freshMilliseconds: Milliseconds = 500;
/** A key is reported if it received at least this share of its service's requests. */
const minimumReportedShare = 0.005;

type Counts = {slots: Map<Slot, number>; keys: Map<string, number>; total: number};

type ReceivedAnnouncement = {readonly announcement: Announcement; readonly at: MonotonicTime};

function announcementKey({service, name}: Announcement): string {
	return `${service}\n${name}`;
}

function increase<Key>(counts: Map<Key, number>, key: Key, amount: number): void {
	counts.set(key, (counts.get(key) ?? 0) + amount);
}

function dropLeastRequested(counts: Map<string, number>): Map<string, number> {
	const mostRequested = [...counts].sort(([, one], [, other]) => other - one).slice(0, maximumCountedKeys / 2);
	return new Map(mostRequested);
}

function mostRequestedKeys(service: ServiceName, {keys, total}: Counts): readonly KeyLoad[] {
	return [...keys]
		.filter(([, requests]) => requests >= total * minimumReportedShare)
		.sort(([, one], [, other]) => other - one)
		.slice(0, maximumReportedKeys)
		.map(([key, requests]) => ({service, key, requests}));
}

function demandKey({service, limit, caller, divider, holder}: LimitDemand): string {
	return JSON.stringify([service, limit, caller, divider, holder]);
}

/** Creates an empty collector. `takeEvidence` returns the evidence of this instance's own requests, and `takeDemands` its demands for shares of limits. */
export function createReportCollector(
	self: InstanceIdentity,
	takeEvidence: () => readonly UpstreamEvidence[],
	takeDemands: () => readonly LimitDemand[],
): ReportCollector {
	const services = new Map<ServiceName, Counts>();
	const announcements = new Map<string, ReceivedAnnouncement>();
	let sentAnnouncements = new Map<string, ReceivedAnnouncement>();
	let evidence: Array<Report['evidence'][number]> = [];
	const demands = new Map<string, LimitDemand>();

	function countsOf(service: ServiceName): Counts {
		let counts = services.get(service);
		if (counts === undefined) {
			counts = {slots: new Map(), keys: new Map(), total: 0};
			services.set(service, counts);
		}

		return counts;
	}

	function countKey(counts: Counts, key: string, requests: number): void {
		increase(counts.keys, key, requests);
		if (counts.keys.size > maximumCountedKeys) {
			counts.keys = dropLeastRequested(counts.keys);
		}
	}

	function recordAnnouncement(announcement: Announcement): void {
		const key = announcementKey(announcement);
		const existing = announcements.get(key)?.announcement;
		if (existing === undefined || existing.incarnation <= announcement.incarnation) {
			announcements.set(key, {announcement, at: monotonicNow()});
		}
	}

	function recordDemand(demand: LimitDemand): void {
		demands.set(demandKey(demand), demand);
	}

	function mergeLoads(report: Report): void {
		for (const {service, slot, requests} of report.slotLoads) {
			const counts = countsOf(service);
			increase(counts.slots, slot, requests);
			counts.total += requests;
		}

		for (const {service, key, requests} of report.keyLoads) {
			countKey(countsOf(service), key, requests);
		}
	}

	function slotLoads(): readonly SlotLoad[] {
		return [...services].flatMap(([service, {slots}]) => [...slots].map(([slot, requests]) => ({service, slot, requests})));
	}

	return {
		recordRequest(service, slot, key) {
			const counts = countsOf(service);
			increase(counts.slots, slot, 1);
			counts.total += 1;
			countKey(counts, key, 1);
		},
		recordAnnouncement,
		merge(report) {
			for (const announcement of report.announcements) {
				recordAnnouncement(announcement);
			}

			for (const demand of report.demands) {
				recordDemand(demand);
			}

			evidence.push(...report.evidence);
			mergeLoads(report);
		},
		take() {
			for (const demand of takeDemands()) {
				recordDemand(demand);
			}

			const ownEvidence = takeEvidence().map(item => ({...item, seenBy: self}));
			const report: Report = {
				announcements: [...announcements.values()].map(({announcement}) => announcement),
				evidence: [...evidence, ...ownEvidence],
				slotLoads: slotLoads(),
				keyLoads: [...services].flatMap(([service, counts]) => mostRequestedKeys(service, counts)),
				demands: [...demands.values()],
			};
			const now = monotonicNow();
			const fresh = [...sentAnnouncements].filter(([, {at}]) => now - at < freshMilliseconds);
			sentAnnouncements = new Map([...fresh, ...announcements]);
			services.clear();
			announcements.clear();
			demands.clear();
			evidence = [];
			return report;
		},
		restore(report) {
			const now = monotonicNow();
			for (const key of report.announcements.map(announcement => announcementKey(announcement))) {
				const received = sentAnnouncements.get(key);
				if (received !== undefined && now - received.at < freshMilliseconds && !announcements.has(key)) {
					announcements.set(key, received);
				}
			}
		},
	};
}
