/**
 * Smooths the load that instances report for slots and keys into rates for
 * placement. Counts decay exponentially, so that a short burst causes no move
 * and a lasting change shows within a few time constants.
 */
import {type KeyLoad, type SlotLoad, type UpstreamEvidence} from '@dogwooddeck/model/evidence';
import {
	incarnationKey, type Milliseconds, type MonotonicTime, type RegionName, type ServiceName, type Slot,
} from '@dogwooddeck/model/identifiers';

/** Rates below this, in requests per second, are dropped. */
export const minimumRate = 0.001;
/** The number of hot keys that are kept per service; those with the lowest rates are dropped. */
export const maxHotKeys = 64;

/** The smoothed requests per second of one service. */
export type LoadState = {
	readonly service: ServiceName;
	readonly timeConstantMilliseconds: Milliseconds;
	readonly startedAt: MonotonicTime;
	readonly updatedAt: MonotonicTime;
	/** By slot, including the slots of pinned keys. */
	readonly slots: readonly number[];
	/** By key. */
	readonly keys: Readonly<Record<string, number>>;
	/** By the region in which requests arrived, then by slot. */
	readonly origins: Readonly<Record<RegionName, readonly number[]>>;
	/** Complete answers per second, by `incarnationKey`. */
	readonly answered: Readonly<Record<string, number>>;
};

/** The loads reported by instances of one region. */
export type LoadReport = {
	readonly now: MonotonicTime;
	readonly region: RegionName;
	readonly slotLoads: readonly SlotLoad[];
	readonly keyLoads: readonly KeyLoad[];
	readonly evidence: readonly UpstreamEvidence[];
};

/** Smoothed requests per second, as the planner receives them. */
export type LoadRates = {
	readonly slots: Readonly<Record<Slot, number>>;
	readonly keys: Readonly<Record<string, number>>;
	readonly origins: Readonly<Record<RegionName, Readonly<Record<Slot, number>>>>;
	readonly answered: Readonly<Record<string, number>>;
};

/** Rates before anything was reported. */
export const noRates: LoadRates = {
	slots: {}, keys: {}, origins: {}, answered: {},
};

const millisecondsPerSecond = 1000;

/** Creates the state that smooths the reports of one service from `now` on. */
export function createLoad(service: ServiceName, timeConstantMilliseconds: Milliseconds, now: MonotonicTime): LoadState {
	return {
		service, timeConstantMilliseconds, startedAt: now, updatedAt: now, slots: [], keys: {}, origins: {}, answered: {},
	};
}

function decayRates(rates: Readonly<Record<string, number>>, factor: number): Record<string, number> {
	const kept = Object.entries(rates).map(([name, rate]) => [name, rate * factor] as const).filter(([, rate]) => rate >= minimumRate);
	return Object.fromEntries(kept);
}

function addCounts(rates: Record<string, number>, counts: ReadonlyArray<readonly [string, number]>, perCount: number): Record<string, number> {
	for (const [name, count] of counts) {
		rates[name] = (Object.hasOwn(rates, name) ? rates[name]! : 0) + (count * perCount);
	}

	return rates;
}

/** Decays the rates of slots and adds counts. */
function addSlots(rates: readonly number[], loads: readonly SlotLoad[], factor: number, perCount: number): readonly number[] {
	const next = rates.map(rate => (rate * factor < minimumRate ? 0 : rate * factor));
	for (const {slot, requests} of loads) {
		while (next.length <= slot) {
			next.push(0);
		}

		next[slot]! += requests * perCount;
	}

	return next;
}

function hottestKeys(rates: Record<string, number>): Record<string, number> {
	const entries = Object.entries(rates);
	return entries.length <= maxHotKeys ? rates : Object.fromEntries(entries.sort(([, one], [, other]) => other - one).slice(0, maxHotKeys));
}

/** Adds a report. Loads of other services are ignored. */
export function receiveLoad(state: LoadState, report: LoadReport): LoadState {
	const elapsed = Math.max(0, report.now - state.updatedAt);
	const factor = Math.exp(-elapsed / state.timeConstantMilliseconds);
	const perCount = millisecondsPerSecond / state.timeConstantMilliseconds;
	const slotLoads = report.slotLoads.filter(load => load.service === state.service);
	const keyCounts = report.keyLoads.filter(load => load.service === state.service).map(load => [load.key, load.requests] as const);
	const answers = report.evidence.filter(({upstream}) => upstream.service === state.service)
		.map(({upstream, answered}) => [incarnationKey(upstream), answered] as const);
	const origins = {...state.origins, [report.region]: state.origins[report.region] ?? []};
	return {
		...state,
		updatedAt: Math.max(state.updatedAt, report.now),
		slots: addSlots(state.slots, slotLoads, factor, perCount),
		keys: hottestKeys(addCounts(decayRates(state.keys, factor), keyCounts, perCount)),
		origins: Object.fromEntries(Object.entries(origins).map(([region, rates]) => [
			region,
			addSlots(rates, region === report.region ? slotLoads : [], factor, perCount),
		])),
		answered: addCounts(decayRates(state.answered, factor), answers, perCount),
	};
}

function scaleRates(rates: Readonly<Record<string, number>>, factor: number): Record<string, number> {
	return Object.fromEntries(Object.entries(rates).map(([name, rate]) => [name, rate * factor]));
}

/** Returns the rates at `now`, corrected for the short time since the start. */
export function ratesOf(state: LoadState, now: MonotonicTime): LoadRates {
	const age = Math.max(1, now - state.startedAt);
	const factor = Math.exp(-Math.max(0, now - state.updatedAt) / state.timeConstantMilliseconds) / (1 - Math.exp(-age / state.timeConstantMilliseconds));
	return {
		slots: state.slots.map(rate => rate * factor),
		keys: scaleRates(state.keys, factor),
		origins: Object.fromEntries(Object.entries(state.origins).map(([region, rates]) => [region, rates.map(rate => rate * factor)])),
		answered: scaleRates(state.answered, factor),
	};
}
