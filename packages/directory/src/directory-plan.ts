/**
 * Computes the leader's changes to upstreams and keys: vacates the keys of expired
 * holders, removes upstreams without contact, and plans which upstream holds which
 * keys.
 */
import {rangesOf} from '@dogwooddeck/key-lease/command';
import {type DominantKey} from '@dogwooddeck/key-lease/dominant-key';
import {type GrantingState, type GrantingOptions, vacatedByTime} from '@dogwooddeck/key-lease/granting';
import {type Candidate, type KeyRate, planKeys} from '@dogwooddeck/key-lease/planning';
import {type UpstreamIncarnation} from '@dogwooddeck/key-lease/range';
import {observationOf} from '@dogwooddeck/key-lease/observations';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {definedItems} from './item.js';
import {addressOf, type DirectoryCommand, type DirectoryState} from './state.js';
import {isReplaced, UpstreamState, type UpstreamRecord} from './upstream.js';
import {planWarmZones, zoneDuties, type ZonePlanInput} from './zone-plan.js';
import {type ZoneTimes} from './zone-times.js';

/** The load of a service, as reported by the entries. */
export type ServiceWork = {
	/** Requests per second of the keys that had any, sorted by key. */
	readonly rates: readonly KeyRate[];
	/** The time that the rates were counted over. */
	readonly countedMilliseconds: Milliseconds;
	/** The speed of an upstream relative to the others: 1 is equal, or not measured. */
	readonly relativeSpeedOf: (upstream: string) => number;
	/** The keys that alone exceed what their holders can process; none if omitted. */
	readonly dominant?: readonly DominantKey[];
};

/** The input of a plan. */
export type DirectoryPlanInput = {
	readonly state: DirectoryState;
	readonly granting: GrantingState;
	readonly options: GrantingOptions;
	readonly now: MonotonicTime;
	/** When the last upstream joined. */
	readonly joinedAt: MonotonicTime;
	readonly workOf: (service: string) => ServiceWork;
	/** The maximum number of key ranges that one upstream may hold. */
	readonly mostRanges: number;
	/** When the leader first saw the orders for zones that are in force. */
	readonly zoneTimes: ZoneTimes;
};

/** The first grant of keys waits until no upstream has joined for this long. */
export const firstGrantDelayMilliseconds: Milliseconds = 1500;

/** An upstream without contact for this long is granted no more keys: two announcement intervals and a margin. */
export const contactTimeoutMilliseconds: Milliseconds = 2200;

/** An upstream without contact for this long is removed: longer than the partitions during which it may keep serving. */
export const removalTimeoutMilliseconds: Milliseconds = 20_000;

function lastContactAt({granting}: DirectoryPlanInput, upstream: UpstreamIncarnation): MonotonicTime {
	return observationOf(granting.observations, upstream)?.lastContactAt ?? granting.electedAt;
}

function isInContact(input: DirectoryPlanInput, upstream: UpstreamRecord): boolean {
	return observationOf(input.granting.observations, upstream) !== undefined && input.now - lastContactAt(input, upstream) <= contactTimeoutMilliseconds;
}

function zonePlanInput({state, zoneTimes, now}: DirectoryPlanInput): ZonePlanInput {
	return {orders: state, times: zoneTimes, now};
}

/** Returns the candidates of a service. Cold upstreams, still slow after their start, and those of zones that were just restored are granted keys only while no warm one is ready. */
function candidatesOf(input: DirectoryPlanInput, service: string, {relativeSpeedOf}: ServiceWork): readonly Candidate[] {
	const upstreams = Object.values(input.state.upstreams).filter(upstream => upstream.service === service);
	const duties = zoneDuties(zonePlanInput(input), input.state.items.service[service]?.value, upstreams);
	const isReady = upstreams.map((upstream, position) => upstream.state === UpstreamState.ready && !duties[position]!.isEvacuated && isInContact(input, upstream));
	const isWarm = upstreams.map(({cold}, position) => !cold && !duties[position]!.isReturning);
	const hasWarm = isWarm.some((warm, position) => warm && isReady[position]);
	return upstreams.map((upstream, position) => ({
		upstream: {id: upstream.id, born: upstream.born},
		weight: upstream.slots * relativeSpeedOf(upstream.id),
		accepting: isReady[position]! && (!hasWarm || isWarm[position]!),
		leaving: upstream.state === UpstreamState.draining || duties[position]!.isRecallDue,
	}));
}

function planService(input: DirectoryPlanInput, service: string): readonly DirectoryCommand[] {
	const {
		state, granting, options, now, joinedAt,
	} = input;
	const ranges = rangesOf(state.keys, service);
	const vacated = vacatedByTime(granting, ranges, holder => isReplaced(state.upstreams, holder, addressOf(state, holder)), {now, options});
	if (vacated.length > 0) {
		return [{kind: 'keysVacated', service, rows: vacated}];
	}

	if (ranges.every(({fence}) => fence === 0) && now - joinedAt < firstGrantDelayMilliseconds) {
		return [];
	}

	const work = input.workOf(service);
	const {granted, recalled} = planKeys({
		ranges, candidates: candidatesOf(input, service, work), rates: work.rates, countedMilliseconds: work.countedMilliseconds, mostRanges: input.mostRanges, ...(work.dominant === undefined ? {} : {dominant: work.dominant}),
	});
	return [
		...(granted.length === 0 ? [] : [{kind: 'keysGranted', service, rows: granted} as const]),
		...(recalled.length === 0 ? [] : [{kind: 'keysRecalled', service, rows: recalled} as const]),
	];
}

function removeUnresponsive(input: DirectoryPlanInput): readonly DirectoryCommand[] {
	return Object.values(input.state.upstreams)
		.filter(upstream => input.now - lastContactAt(input, upstream) > removalTimeoutMilliseconds)
		.map(({id, born}) => ({kind: 'upstreamRemoved', life: {id, born}}));
}

/** Returns the commands that the leader should propose now. */
export function planDirectory(input: DirectoryPlanInput): readonly DirectoryCommand[] {
	const keyed = definedItems(input.state.items.service).filter(([, {keyed: isKeyed}]) => isKeyed);
	return [...removeUnresponsive(input), ...planWarmZones(zonePlanInput(input), input.state.items.service), ...keyed.flatMap(([service]) => planService(input, service))];
}
