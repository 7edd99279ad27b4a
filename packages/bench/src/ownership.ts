/**
 * A fake of ownership for replays: slots are revoked and granted, each step
 * takes a stated time, and the time without an owner is added up.
 */
import {type Assignment, AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {defaultContract} from '@dogwooddeck/model/contract';
import {type UpstreamEvidence} from '@dogwooddeck/model/evidence';
import {sameUpstream, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {MoveReason, type PlacementPlan, type PlannedMove} from '@dogwooddeck/placement/proposal';
import {cutZonesAt, type Detection, lifeKey} from './detection.js';
import {type Measures} from './measures.js';
import {
	deployments, type ServiceShape, type Trace, zoneOf,
} from './trace.js';
import {riseAt, type Traffic, type TrafficSource} from './traffic.js';

/** From the decision to revoke until every instance has acknowledged it: a log entry among voters in both regions, and its spread. */
export const revocationMilliseconds = 130;
/** From the decision to grant until instances send requests: the same, without an acknowledgement. */
export const grantMilliseconds = 100;
/** After which a zone's delegation has run out for certain. */
export const delegationMilliseconds = 2050;
/** In-flight requests of a live owner end within this multiple of the service time. */
const inFlightMultiple = 3;
const deadlineMilliseconds = defaultContract.longestDeadlineMilliseconds;
const millisecondsPerSecond = 1000;

/** The part of callers that each zone has. */
export const callersPerZone = 0.25;

/** What the fake is made from. */
export type OwnershipOptions = {
	readonly trace: Trace;
	readonly service: ServiceShape;
	readonly detection: Detection;
	readonly traffic: TrafficSource;
	readonly slots: number;
	/** By zone, the zone's region. */
	readonly regions: Readonly<Record<string, string>>;
};

type Entry = {
	readonly slot: number;
	/** For a pinned key's own slot. */
	readonly key?: string;
	readonly home?: number;
	readonly keys: number;
	phase: AssignmentPhase;
	owner: UpstreamIdentity | undefined;
	downSince: number;
	due: number;
	isForced: boolean;
	wasOwned: boolean;
};

/** The traffic of one slot. */
export type SlotTraffic = {
	readonly slot: number;
	readonly rate: number;
	readonly firstShare: number;
	readonly keys: number;
	readonly owner: UpstreamIdentity | undefined;
	readonly isServed: boolean;
};

/** The fake. */
export type Ownership = {
	readonly assignments: () => ServiceAssignments;
	readonly carryOut: (plan: PlacementPlan, now: number, measures: Measures) => void;
	readonly endRevocations: (now: number) => void;
	readonly nextDue: () => number;
	readonly slotTraffic: (traffic: Traffic) => readonly SlotTraffic[];
	/** What instances would report about answers, for `scale` seconds at the day's height. */
	readonly answers: (traffic: Traffic, scale: number) => readonly UpstreamEvidence[];
	readonly close: (end: number, measures: Measures) => void;
};

function newEntry(slot: number, keys: number): Entry {
	return {
		slot, keys, phase: AssignmentPhase.vacant, owner: undefined, downSince: 0, due: Number.POSITIVE_INFINITY, isForced: false, wasOwned: false,
	};
}

function toAssignment({slot, phase, owner}: Entry): Assignment {
	return phase === AssignmentPhase.vacant || owner === undefined
		? {phase: AssignmentPhase.vacant, slot}
		: {
			phase, slot, owner, fence: 1, revokedAt: 1,
		};
}

/** Makes the fake with all slots vacant. */
export function createOwnership(options: OwnershipOptions): Ownership {
	const {trace, service, detection, traffic, slots, regions} = options;
	const deployment = deployments[trace.deployment]!;
	let entries = Array.from({length: slots}, (_, slot) => newEntry(slot, traffic.keyCounts[slot]!));
	let nextSlot = slots;
	const regionOf = (owner: UpstreamIdentity) => regions[zoneOf(deployment, owner.name)]!;
	const find = (slot: number) => (slot < slots ? entries[slot] : entries.find(entry => entry.slot === slot));

	function stoppedAt(owner: UpstreamIdentity): number | undefined {
		return detection.truth.stoppedAt[lifeKey(owner.service, owner.name, owner.incarnation)];
	}

	function cutStart(now: number, zone: string): number {
		const cut = trace.events.findLast(event => (event.kind === 'zoneCut' || event.kind === 'regionsCut') && event.at * millisecondsPerSecond <= now);
		return cut !== undefined && cutZonesAt(trace, now / millisecondsPerSecond).includes(zone) ? cut.at * millisecondsPerSecond : now;
	}

	function waitFor(owner: UpstreamIdentity, now: number): number {
		const stopped = stoppedAt(owner);
		const zone = zoneOf(deployment, owner.name);
		const isCut = cutZonesAt(trace, now / millisecondsPerSecond).includes(zone);
		if (isCut) {
			return Math.max(now + revocationMilliseconds, cutStart(now, zone) + delegationMilliseconds + deadlineMilliseconds);
		}

		if (stopped === undefined || stopped > now) {
			return now + revocationMilliseconds + (inFlightMultiple * service.serviceMilliseconds);
		}

		const hangs = detection.truth.hangs.has(lifeKey(owner.service, owner.name, owner.incarnation));
		return now + revocationMilliseconds + (hangs ? deadlineMilliseconds : 0);
	}

	function revoke({slot, from, reason}: PlannedMove, now: number): void {
		const entry = find(slot);
		const isCut = cutZonesAt(trace, now / millisecondsPerSecond).includes(zoneOf(deployment, from.name));
		const isLost = reason === MoveReason.lost;
		if (entry?.phase !== AssignmentPhase.granted || (isCut && !isLost)) {
			return;
		}

		entry.phase = AssignmentPhase.revoking;
		entry.isForced = isLost || reason === MoveReason.leaving;
		entry.due = waitFor(from, now);
		entry.downSince = Math.min(now, stoppedAt(from) ?? now, isLost ? cutStart(now, zoneOf(deployment, from.name)) : now);
	}

	function countMove(entry: Entry, owner: UpstreamIdentity, measures: Measures): void {
		if (!entry.wasOwned || entry.owner === undefined) {
			return;
		}

		measures.moves++;
		measures.forcedMoves += entry.isForced ? 1 : 0;
		measures.keysMoved += entry.keys;
		measures.linkBytes += regionOf(entry.owner) === regionOf(owner) ? 0 : entry.keys * service.stateBytes;
	}

	function countDown(entry: Entry, until: number, measures: Measures): void {
		const down = Math.max(0, until - entry.downSince);
		const at = Math.min(until, (trace.durationSeconds * millisecondsPerSecond) - 1) / millisecondsPerSecond;
		const rate = rateOfEntry(traffic.at(at), entry) * riseAt(at);
		measures.unavailableKeySeconds += entry.keys * down / millisecondsPerSecond;
		measures.refused += rate * Math.max(0, down - deadlineMilliseconds) / millisecondsPerSecond;
	}

	function grant(slot: number, owner: UpstreamIdentity, now: number, measures: Measures): void {
		const entry = find(slot);
		const isCut = cutZonesAt(trace, now / millisecondsPerSecond).includes(zoneOf(deployment, owner.name));
		if (entry?.phase !== AssignmentPhase.vacant || isCut) {
			return;
		}

		countMove(entry, owner, measures);
		countDown(entry, now + grantMilliseconds, measures);
		entry.phase = AssignmentPhase.granted;
		entry.owner = owner;
		entry.wasOwned = true;
		entry.isForced = false;
	}

	function pin(key: string, home: number): void {
		const {owner} = find(home)!;
		entries.push({
			...newEntry(nextSlot++, 1), key, home, phase: AssignmentPhase.granted, owner, wasOwned: true,
		});
	}

	function rateOfEntry(current: Traffic, entry: Entry): number {
		if (entry.key !== undefined) {
			return current.hot.find(({key}) => key === entry.key)?.rate ?? 0;
		}

		const split = entries.filter(({home}) => home === entry.slot).reduce((sum, pinned) => sum + rateOfEntry(current, pinned), 0);
		return current.slotRates[entry.slot]! - split;
	}

	function firstShareOf(current: Traffic, entry: Entry): number {
		return entry.key === undefined
			? current.firstShares[entry.slot]!
			: current.hot.find(({key}) => key === entry.key)?.firstShare ?? current.firstShares[entry.home!]!;
	}

	function slotTraffic(current: Traffic): readonly SlotTraffic[] {
		const rates = entries.map(entry => entry.key === undefined ? current.slotRates[entry.slot]! : rateOfEntry(current, entry));
		for (const [place, {home}] of entries.entries()) {
			if (home !== undefined) {
				rates[home]! -= rates[place]!;
			}
		}

		return entries.map((entry, place) => ({
			slot: entry.slot,
			rate: rates[place]!,
			firstShare: firstShareOf(current, entry),
			keys: entry.keys,
			owner: entry.owner,
			isServed: entry.phase === AssignmentPhase.granted,
		}));
	}

	return {
		slotTraffic,
		assignments: () => ({
			service: service.name,
			assignments: entries.map(entry => toAssignment(entry)),
			pinned: entries.flatMap(({key, home, slot}) => (key === undefined || home === undefined ? [] : [{key, home, slot}])),
		}),
		carryOut(plan, now, measures) {
			for (const {slot, owner} of plan.grants) {
				grant(slot, owner, now, measures);
			}

			for (const move of plan.moves) {
				revoke(move, now);
			}

			for (const {key, home} of plan.pins) {
				pin(key, home);
			}

			const unpinned = new Set(plan.unpins.map(({slot}) => slot));
			entries = entries.filter(({slot}) => !unpinned.has(slot));
		},
		endRevocations(now) {
			for (const entry of entries.filter(({phase, due}) => phase === AssignmentPhase.revoking && due <= now)) {
				entry.phase = AssignmentPhase.vacant;
				entry.due = Number.POSITIVE_INFINITY;
			}
		},
		nextDue: () => Math.min(...entries.filter(({phase}) => phase === AssignmentPhase.revoking).map(({due}) => due)),
		answers(current, scale) {
			const rates = new Map<string, {readonly upstream: UpstreamIdentity; answered: number}>();
			for (const {owner, rate, isServed} of slotTraffic(current)) {
				if (owner !== undefined && isServed) {
					const known = rates.get(owner.name);
					const isSame = known !== undefined && sameUpstream(known.upstream, owner);
					rates.set(owner.name, {upstream: owner, answered: (isSame ? known.answered : 0) + (rate * scale)});
				}
			}

			return [...rates.values()].map(({upstream, answered}) => ({
				upstream, answered, failed: 0, timedOut: 0, shed: 0, inFlight: 0, meanLatencyMilliseconds: service.serviceMilliseconds,
			}));
		},
		close(end, measures) {
			for (const entry of entries) {
				const stopped = entry.owner === undefined ? undefined : stoppedAt(entry.owner);
				if (entry.phase !== AssignmentPhase.granted || (stopped !== undefined && stopped < end)) {
					entry.downSince = Math.min(entry.phase === AssignmentPhase.granted ? end : entry.downSince, stopped ?? end);
					countDown(entry, end, measures);
				}
			}
		},
	};
}
