/**
 * What control decisions cost as the deployment grows: the processor time of
 * one call and the bytes of its state, at several sizes, and the slope of each.
 */
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {defaultContract, type ServiceContract} from '@dogwooddeck/model/contract';
import {emptyReport, type Report} from '@dogwooddeck/model/lease';
import {UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {
	applyMembership, emptyMembership, type MembershipState,
} from '@dogwooddeck/membership/registry';
import {advanceWatch, createWatch, type WatchState} from '@dogwooddeck/membership/watch';
import {type PlacementInput} from '@dogwooddeck/placement/input';
import {noRates} from '@dogwooddeck/placement/load';
import {createPlacement, planPlacement} from '@dogwooddeck/placement/plan';

/** A size at which a decision is measured. */
export type Size = {
	readonly slots: number;
	readonly upstreams: number;
	readonly instances: number;
	readonly services: number;
};

/** The cost of one decision at one size. */
export type Cost = {
	readonly decision: string;
	readonly size: Size;
	/** Of one call. */
	readonly microseconds: number;
	/** Of the state, as JSON. */
	readonly stateBytes: number;
};

/** Reads the processor time of this process, in microseconds. */
export type ProcessorClock = () => number;

/** The size that others differ from in one direction. */
export const baseSize: Size = {
	slots: 256, upstreams: 16, instances: 9, services: 3,
};

/** In each direction, the sizes that are measured. */
export const directions: Readonly<Record<keyof Size, readonly number[]>> = {
	slots: [256, 1024, 4096, 16_384],
	upstreams: [16, 64, 256, 1024],
	instances: [9, 90, 890],
	services: [3, 12, 48],
};

const zone = 'noord-1';
const callsPerMeasure = 20;
const warmUpCalls = 5;

function recordOf(service: number, number: number, incarnation = 1): UpstreamRecord {
	return {
		service: `team/service-${service}`, name: `upstream-${number}`, incarnation, region: 'noord', zone, address: '127.0.0.1:1', phase: UpstreamPhase.serving,
	};
}

function recordsOf({services, upstreams}: Size): readonly UpstreamRecord[] {
	return Array.from({length: services}, (_, service) => Array.from({length: upstreams}, (_, number) => recordOf(service, number))).flat();
}

function contractOf(size: Size, service: number): ServiceContract {
	return {
		...defaultContract, name: `team/service-${service}`, prefix: '/', key: {place: 'path', segment: 0}, slots: size.slots,
	};
}

function registryOf(size: Size): MembershipState {
	return recordsOf(size).reduce((state, record, index) => applyMembership(state, {kind: 'upstreamJoined', record}, index + 1).unwrapOr(state), emptyMembership);
}

/** A report in which each instance has seen each upstream. */
function reportOf(size: Size): Report {
	const records = recordsOf(size);
	return {
		...emptyReport,
		announcements: records.map(({phase: _phase, ...fields}) => ({...fields, leaving: false, load: 0.5})),
		evidence: Array.from({length: size.instances}, (_, instance) => records.map(({service, name, incarnation}) => ({
			upstream: {service, name, incarnation},
			answered: 5,
			failed: 0,
			timedOut: 0,
			shed: 0,
			inFlight: 1,
			meanLatencyMilliseconds: 5,
			seenBy: {name: `entry-${instance}`, incarnation: 1},
		}))).flat(),
	};
}

function inputOf(size: Size): PlacementInput {
	const assignments = Array.from({length: size.slots}, (_, slot): Assignment => ({
		phase: AssignmentPhase.granted, slot, owner: {service: 'team/service-0', name: `upstream-${slot % size.upstreams}`, incarnation: 1}, fence: slot,
	}));
	return {
		now: 60_000,
		contract: contractOf(size, 0),
		assignments: {service: 'team/service-0', assignments, pinned: []},
		upstreams: Array.from({length: size.upstreams}, (_, number) => ({record: recordOf(0, number)})),
		loads: {...noRates, slots: Array.from({length: size.slots}, (_, slot) => 1 + (slot % 7))},
		hotKeys: [],
		flapping: 0,
		unreachableZones: [],
		state: createPlacement(0),
	};
}

type Decision = {
	/** Makes what the decision is called with, and gives the call and its state as JSON. */
	readonly prepare: (size: Size) => {readonly call: () => unknown; readonly state: string};
};

function bytesOfWatch(watch: WatchState): string {
	return JSON.stringify({...watch, upstreams: Object.fromEntries(watch.upstreams)});
}

function heard(size: Size): WatchState {
	return advanceWatch(createWatch(0), {
		kind: 'reportReceived', now: 100, report: reportOf(size), reporter: {zone, instance: 'entry-0'},
	}).state;
}

const decisions: Readonly<Record<string, Decision>> = {
	'planPlacement, nothing to do': {
		prepare(size) {
			const input = inputOf(size);
			return {call: () => planPlacement(input), state: JSON.stringify(input.assignments)};
		},
	},
	'planPlacement, one upstream lost': {
		prepare(size) {
			const input = inputOf(size);
			const upstreams = input.upstreams.slice(1);
			return {call: () => planPlacement({...input, upstreams}), state: JSON.stringify(input.assignments)};
		},
	},
	'applyMembership, one upstream joins': {
		prepare(size) {
			const registry = registryOf(size);
			return {call: () => applyMembership(registry, {kind: 'upstreamJoined', record: recordOf(0, 0, 2)}, 1), state: JSON.stringify(registry)};
		},
	},
	'advanceWatch, a report of all upstreams': {
		prepare(size) {
			const watch = heard(size);
			const report = reportOf(size);
			return {
				call: () => advanceWatch(watch, {
					kind: 'reportReceived', now: 350, report, reporter: {zone, instance: 'entry-0'},
				}),
				state: bytesOfWatch(watch),
			};
		},
	},
	'advanceWatch, a tick': {
		prepare(size) {
			const watch = heard(size);
			const registry = registryOf(size);
			const contracts = Array.from({length: size.services}, (_, service) => contractOf(size, service));
			return {
				call: () => advanceWatch(watch, {
					kind: 'ticked', now: 400, registry, contracts, rosterSizes: {[zone]: size.instances},
				}),
				state: bytesOfWatch(watch),
			};
		},
	},
};

function measure(decision: string, size: Size, clock: ProcessorClock): Cost {
	const {call, state} = decisions[decision]!.prepare(size);
	for (let warmUp = 0; warmUp < warmUpCalls; warmUp++) {
		call();
	}

	const before = clock();
	for (let number = 0; number < callsPerMeasure; number++) {
		call();
	}

	return {
		decision, size, microseconds: (clock() - before) / callsPerMeasure, stateBytes: state.length,
	};
}

/** Measures all decisions along one direction. */
export function measureDirection(direction: keyof Size, clock: ProcessorClock): readonly Cost[] {
	return Object.keys(decisions).flatMap(decision => directions[direction].map(value => measure(decision, {...baseSize, [direction]: value}, clock)));
}

/** The slope of a figure by least squares, in its unit for one more of the direction. */
export function slopeOf(points: ReadonlyArray<readonly [x: number, y: number]>): number {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const above = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const below = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return below === 0 ? 0 : above / below;
}
