/**
 * Simulates limiters with the distribution of shares by control and by the zones'
 * stewards on the paused clock: network partitions of zones, changes of the steward,
 * the leader and the contract, and messages that are lost, delayed and reordered.
 */
import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {mock, test, type TestContext} from 'node:test';
import {demandedPart} from '@dogwooddeck/control/limit-part';
import {type ControlState, emptyControl} from '@dogwooddeck/control/state';
import {controlPart} from '@dogwooddeck/limits/reserve';
import {createSharing, grantLimitShares, type SharingState} from '@dogwooddeck/limits/sharing';
import {type LegacyUnit, type ServiceContract, WindowForm} from '@dogwooddeck/model/contract';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {emptyReport} from '@dogwooddeck/model/lease';
import {Divider, type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createLimiter, type Limiter} from '../src/limiter.js';
import {createZoneLimits} from '../src/zone-limits.js';
import {limitedContract} from './limited-contract.js';
import {maximumInSlidingWindow} from './sliding-window.js';
import {type NetworkFaults, SimulatedNetwork} from './simulated-network.js';

const amount = 200;
const windowMilliseconds = 10_000;
const zones = ['noord-a', 'noord-b', 'zuid-a'];
const instancesInZone = 2;
const stepMilliseconds = 40;
const renewMilliseconds = 240;
const renewLackingMilliseconds = 60;
const durationMilliseconds = 300_000;
const busyMilliseconds = 7000;
/** Upper bound, exclusive, of the time until a zone learns of a changed contract. */
const maximumLearningMilliseconds = 3000;
const head = {method: 'GET', path: '/schedule/verge-1', headers: {}};

let now = 0;

function member(zone: string, number: number): InstanceRecord {
	return {
		name: `${zone}-${number}`, incarnation: 1, region: 'region', zone, peerAddress: '', callerAddress: '', operatorAddress: '',
	};
}

const members = zones.flatMap(zone => Array.from({length: instancesInZone}, (_, number) => member(zone, number)));

function createControlState(contract: ServiceContract): ControlState {
	const rosters = Object.fromEntries(zones.map(zone => [zone, {
		zone, region: 'region', members: members.filter(one => one.zone === zone), previousMembers: [], changedAt: 0,
	}]));
	const team = {
		team: 'team', revision: 1, services: [contract], history: [], answers: [],
	};
	return {...emptyControl, configuration: {teams: [team]}, ownership: {...emptyControl.ownership, rosters}};
}

type Change = {readonly at: number; readonly cutReserve: number; readonly zones?: readonly string[]};
type Partition = {readonly zone: string; readonly from: number; readonly to: number};

type Schedule = NetworkFaults & {
	readonly unit?: Pick<LegacyUnit, 'window' | 'burst'>;
	readonly changes: readonly Change[];
	readonly partitions?: readonly Partition[];
	readonly newLeaders?: readonly number[];
	readonly newStewards?: ReadonlyArray<{readonly zone: string; readonly at: number}>;
	readonly restarts?: ReadonlyArray<{readonly instance: string; readonly at: number}>;
};

type Participant = {readonly record: InstanceRecord; limiter: Limiter; lastRequestAt: number; learnsAfter: number};
type Admitted = {readonly at: number; readonly zone: string};

class Deployment {
	readonly admitted: Admitted[] = [];
	readonly #start = now;
	readonly #schedule: Schedule;
	readonly #pick: (below: number) => number;
	readonly #network: SimulatedNetwork;
	readonly #controls: ReadonlyArray<{readonly at: number; readonly control: ControlState}>;
	readonly #participants: readonly Participant[];
	readonly #stewards = new Map(zones.map(zone => [zone, {limits: createZoneLimits(zone), electedAt: now, learnsAfter: 0}]));
	#sharing: SharingState = createSharing(now, []);

	constructor(seed: number, schedule: Schedule) {
		const random = xoroshiro128plus(seed);
		this.#pick = below => uniformInt(random, 0, below - 1);
		this.#schedule = schedule;
		this.#network = new SimulatedNetwork(schedule, this.#pick);
		const unit = {intervalMilliseconds: windowMilliseconds, ...schedule.unit};
		this.#controls = schedule.changes.map(({at, cutReserve, zones: listed = zones}) =>
			({at, control: createControlState(limitedContract({limit: {amount, cutReserve}, unit, zones: listed}))}));
		this.#participants = members.map(record => ({
			record, limiter: createLimiter(record, () => undefined), lastRequestAt: -Infinity, learnsAfter: this.#pick(maximumLearningMilliseconds),
		}));
		for (const steward of this.#stewards.values()) {
			steward.learnsAfter = this.#pick(maximumLearningMilliseconds);
		}
	}

	play(): void {
		for (; now < this.#start + durationMilliseconds; now += stepMilliseconds) {
			this.#applyFaults();
			this.#network.deliver(now);
			for (const [number, participant] of this.#participants.entries()) {
				this.#request(participant, number);
				this.#renew(participant);
			}
		}
	}

	/** The control state that a participant has which learns of changes after this time. */
	#control(learnsAfter: number): ControlState {
		return this.#controls.findLast(({at}) => at === 0 || now - this.#start >= at + learnsAfter)!.control;
	}

	#isPartitioned(zone: string): boolean {
		const elapsed = now - this.#start;
		return (this.#schedule.partitions ?? []).some(partition => partition.zone === zone && elapsed >= partition.from && elapsed < partition.to);
	}

	#applyFaults(): void {
		const elapsed = now - this.#start;
		const {newLeaders = [], newStewards = [], restarts = []} = this.#schedule;
		if (newLeaders.includes(elapsed)) {
			this.#sharing = createSharing(now, ['team/service']);
		}

		for (const {zone} of newStewards.filter(({at}) => at === elapsed)) {
			this.#stewards.get(zone)!.electedAt = now;
		}

		for (const {instance} of restarts.filter(({at}) => at === elapsed)) {
			const participant = this.#participants.find(({record}) => record.name === instance)!;
			participant.limiter = createLimiter({...participant.record, incarnation: now}, () => undefined);
		}
	}

	#request({record, limiter, learnsAfter}: Participant, number: number): void {
		const busy = Math.floor((now - this.#start) / busyMilliseconds) % members.length;
		const [contract] = this.#control(learnsAfter).configuration.teams[0]!.services;
		const requests = this.#pick(number === busy ? 6 : 3);
		for (let request = 0; request < requests; request++) {
			this.admitted.push(...limiter.admit(contract!, head, true).isOk ? [{at: now, zone: record.zone}] : []);
		}
	}

	#renew(participant: Participant): void {
		const {limiter} = participant;
		if (now >= participant.lastRequestAt + (limiter.lacksShares() ? renewLackingMilliseconds : renewMilliseconds)) {
			participant.lastRequestAt = now;
			const demands = limiter.takeDemands();
			this.#network.send(now, () => {
				this.#requestFromSteward(participant, demands.filter(({divider}) => divider === Divider.zone));
			});
			for (const demand of demands.filter(({divider}) => divider === Divider.control)) {
				this.#network.send(now, () => {
					this.#requestFromControl(participant, demand);
				});
			}
		}
	}

	#requestFromControl({record: {zone}, limiter}: Participant, demand: LimitDemand): void {
		if (this.#isPartitioned(zone)) {
			return;
		}

		const part = demandedPart(this.#control(0), demand, controlPart);
		const {state, shares} = grantLimitShares(this.#sharing, [{demand, part}], members.length, now);
		this.#sharing = state;
		this.#answer(limiter, shares);
	}

	/** Sends a lease request to the steward, whether there are demands or not. */
	#requestFromSteward({record: {zone}, limiter}: Participant, demands: readonly LimitDemand[]): void {
		const {limits, electedAt, learnsAfter} = this.#stewards.get(zone)!;
		const {shares} = limits.answer({...emptyReport, demands}, this.#control(learnsAfter), electedAt, now);
		this.#answer(limiter, shares);
	}

	#answer(limiter: Limiter, shares: readonly LimitShare[]): void {
		if (shares.length > 0) {
			this.#network.send(now, () => {
				limiter.applyShares(shares);
			});
		}
	}
}

type MaximumInWindow = (times: readonly number[], burst: number) => number;

function maximumInFixedWindow(times: readonly number[]): number {
	const counts = new Map<number, number>();
	for (const at of times) {
		const number = Math.floor(at / windowMilliseconds);
		counts.set(number, (counts.get(number) ?? 0) + 1);
	}

	return Math.max(0, ...counts.values());
}

const maximumInWindow: Readonly<Record<WindowForm, MaximumInWindow>> = {
	[WindowForm.sliding]: (times, burst) => maximumInSlidingWindow(times, windowMilliseconds * burst),
	[WindowForm.fixed]: maximumInFixedWindow,
};

const seed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 3);
const steady = [{at: 0, cutReserve: 0.3}];
/** The part of one zone: the limit of 200 with a reserve of 0.3 over three zones. */
const zoneReserve = 20;
const longPartition: Partition = {zone: 'zuid-a', from: 60_000, to: 260_000};
/** The time after which control's shares have expired and dropped out of the window. */
const shareExpiryMilliseconds = 26_000;

const schedules: ReadonlyArray<{readonly name: string; readonly schedule: Schedule}> = [
	{name: 'no reserve', schedule: {delayMilliseconds: 400, loss: 5, changes: [{at: 0, cutReserve: 0}]}},
	{name: 'no partition', schedule: {delayMilliseconds: 800, loss: 10, changes: steady}},
	{
		name: 'a partition of minutes', schedule: {
			delayMilliseconds: 200, loss: 5, changes: steady, partitions: [longPartition],
		},
	},
	{
		name: 'a partition with a new steward', schedule: {
			delayMilliseconds: 200, loss: 5, changes: steady, partitions: [longPartition], newStewards: [{zone: 'zuid-a', at: 120_000}],
		},
	},
	{
		name: 'a partition with new leaders', schedule: {
			delayMilliseconds: 200, loss: 5, changes: steady, partitions: [longPartition], newLeaders: [61_000, 150_000],
		},
	},
	{
		name: 'short partitions, slow answers, changes of stewards and leaders', schedule: {
			delayMilliseconds: 2500,
			loss: 20,
			changes: steady,
			partitions: [{zone: 'noord-a', from: 50_000, to: 62_000}, {zone: 'zuid-a', from: 58_000, to: 90_000}, {zone: 'noord-b', from: 130_000, to: 170_000}],
			newStewards: [{zone: 'noord-a', at: 55_000}, {zone: 'zuid-a', at: 59_000}, {zone: 'noord-b', at: 200_000}, {zone: 'noord-b', at: 202_000}],
			newLeaders: [40_000, 140_000, 145_000],
		},
	},
	{
		name: 'instances that restart, inside the partition and outside', schedule: {
			delayMilliseconds: 200,
			loss: 5,
			changes: steady,
			partitions: [longPartition],
			restarts: [{instance: 'zuid-a-0', at: 100_000}, {instance: 'noord-a-1', at: 101_000}, {instance: 'zuid-a-1', at: 270_000}],
		},
	},
	{
		name: 'a reserve that is added, increased, reduced and removed', schedule: {
			delayMilliseconds: 300,
			loss: 5,
			changes: [{at: 0, cutReserve: 0}, {at: 60_000, cutReserve: 0.9}, {at: 130_000, cutReserve: 0.3}, {at: 135_000, cutReserve: 0.6}, {at: 220_000, cutReserve: 0}],
		},
	},
	{
		name: 'zones that are removed from the list and added again', schedule: {
			delayMilliseconds: 300,
			loss: 5,
			changes: [{at: 0, cutReserve: 0.9}, {at: 80_000, cutReserve: 0.9, zones: ['zuid-a']}, {at: 160_000, cutReserve: 0.9, zones: ['noord-a', 'noord-b']}, {at: 220_000, cutReserve: 0.9}],
		},
	},
	...[{window: WindowForm.fixed, burst: 1}, {window: WindowForm.fixed, burst: 2}, {window: WindowForm.sliding, burst: 2}].map(unit => ({
		name: `${unit.window} windows, burst ${unit.burst}, with all faults combined`, schedule: {
			delayMilliseconds: 800,
			loss: 10,
			unit,
			changes: [...steady, {at: 100_000, cutReserve: 0.9}, {at: 190_000, cutReserve: 0.1}],
			partitions: [{zone: 'zuid-a', from: 60_000, to: 95_000}, {zone: 'noord-a', from: 240_000, to: 290_000}],
			newStewards: [{zone: 'zuid-a', at: 70_000}, {zone: 'noord-b', at: 130_000}],
			newLeaders: [75_000, 160_000],
			restarts: [{instance: 'zuid-a-0', at: 85_000}, {instance: 'noord-b-0', at: 250_000}],
		},
	})),
];

/** The requests that the partitioned zone admitted after control's shares had dropped out of the window: the maximum in one window, and the total as a ratio of its reserve. */
function usedInPartition(admitted: readonly Admitted[], start: number): {readonly maximum: number; readonly ratio: number} {
	const [from, to] = [start + longPartition.from + shareExpiryMilliseconds, start + longPartition.to];
	const inPartition = admitted.filter(({at, zone}) => zone === longPartition.zone && at >= from && at < to);
	return {maximum: maximumInSlidingWindow(inPartition.map(({at}) => at), windowMilliseconds), ratio: inPartition.length / (zoneReserve * (to - from) / windowMilliseconds)};
}

function checkPartition(context: TestContext, admitted: readonly Admitted[], start: number): void {
	const {maximum, ratio} = usedInPartition(admitted, start);
	context.diagnostic(`the partitioned zone: at most ${maximum} of its ${zoneReserve} in one window, ${(100 * ratio).toFixed(1)}% of its reserve in all`);
	assert.ok(ratio > 0.8, 'the partitioned zone continues to admit requests');
	assert.ok(maximum <= zoneReserve, `${maximum} of the zone's ${zoneReserve} in one window`);
}

function play(runSeed: number, schedule: Schedule): {readonly admitted: readonly Admitted[]; readonly start: number} {
	now = 1_000_000;
	mock.method(performance, 'now', () => now);
	mock.method(Date, 'now', () => now);
	try {
		const deployment = new Deployment(runSeed, schedule);
		deployment.play();
		return {admitted: deployment.admitted, start: 1_000_000};
	} finally {
		mock.reset();
	}
}

for (const {name, schedule} of schedules) {
	test(`reserves: no window exceeds the contract: ${name} (seeds from ${seed})`, context => {
		for (let run = seed; run < seed + runs; run++) {
			const {admitted, start} = play(run, schedule);
			const {window, burst} = schedule.unit ?? {window: WindowForm.sliding, burst: 1};
			const most = maximumInWindow[window](admitted.map(({at}) => at), burst);
			const allowed = amount * burst;
			context.diagnostic(`seed ${run}: at most ${most} of ${allowed} in one window`);
			assert.ok(admitted.length > allowed && most <= allowed, `${most} of ${allowed} in one window, seed ${run}`);
			if (schedule.partitions?.includes(longPartition)) {
				checkPartition(context, admitted, start);
			}
		}
	});
}
