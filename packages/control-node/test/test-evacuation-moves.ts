/**
 * The keys of an evacuated zone from the order to their next holders and back: a
 * leader whose log commits after 20 ms, and upstreams that announce themselves each
 * second, on the paused clock.
 */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {directoryMachine, encodeCommands} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {type ZoneOrder} from '@dogwooddeck/directory/zone-order';
import {
	intersectSpans, keyCount, type KeyRange, type KeySpan,
} from '@dogwooddeck/key-lease/range';
import {type ReleasedRow} from '@dogwooddeck/key-lease/granting';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {createMeasures} from '@dogwooddeck/telemetry/measure';
import {ok} from 'true-myth/result';
import {createAnnouncementCoordinator} from '@dogwooddeck/control-node/announcement-coordinator';
import {type DirectoryVoter} from '@dogwooddeck/control-node/directory-voter';
import {createLeaderCoordinator} from '@dogwooddeck/control-node/leader-coordinator';

const zones = ['a', 'b', 'c', 'd'];
const upstreamCount = 24;
const commitMilliseconds = 20;
const announcementMilliseconds = 1000;
const releasingMilliseconds = 100;
/** How long a holder works off the requests for keys that it releases. */
const workMilliseconds = 150;
const coldMilliseconds = 3000;
const stepMilliseconds = 10;

type Deployment = {
	readonly order: (kind: ZoneOrder['kind']) => void;
	readonly replaceLeader: () => void;
	/** Returns the share of the keys whose holder has been notified of them: those in zone `a`, and all. */
	readonly shares: () => {readonly inZone: number; readonly everywhere: number};
	/** Returns the keys that are being recalled, and those that upstreams of zone `a` hold. */
	readonly spans: () => {readonly recalled: readonly KeySpan[]; readonly inZone: readonly KeySpan[]};
	readonly advance: (milliseconds: number, each?: (now: number) => void) => Promise<void>;
};

function shareOf(ranges: readonly KeyRange[]): number {
	return ranges.reduce((sum, {from, to}) => sum + to + 1 - from, 0) / keyCount;
}

/** Returns the rows that an answer no longer contains. */
function rowsWithout(holds: readonly KeyRange[], answered: readonly KeyRange[]): readonly KeyRange[] {
	return holds.filter(({from, to}) => !answered.some(row => row.from <= from && row.to >= to));
}

async function startDeployment(context: TestContext): Promise<Deployment> {
	let now = 1000;
	const ended = new AbortController();
	context.mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	context.mock.method(performance, 'now', () => now);
	const holder = createStateHolder(directoryMachine);
	const voter = {
		async propose(payload: string) {
			await pause(commitMilliseconds);
			const index = holder.state().applied + 1;
			return ok({index, answers: holder.apply(index, payload) ?? []});
		},
		async read() {
			await pause(commitMilliseconds);
			return ok(holder.state().applied);
		},
		quorumContactAt: () => now,
	} as unknown as DirectoryVoter;
	const leader = createLeaderCoordinator({
		holder, voter: () => voter, terms: {holdMilliseconds: 5000, clockDrift: 0.02}, mostRanges: 150, log: {event: () => undefined, warning: () => undefined, error: () => undefined}, measures: createMeasures(),
	});
	holder.apply(1, encodeCommands([{
		kind: 'itemsChanged', changes: [{kind: 'service', name: 's', item: {version: 1, value: {keyed: true, maxConnections: 10, coldCapacity: {milliseconds: coldMilliseconds, requestsPerSecond: 5}}, document: '{}'}}],
	}]));
	const {announce} = createAnnouncementCoordinator({
		holder, isFresh: () => true, holdMilliseconds: 5000, forward: leader.announce,
	});

	async function runUpstream(number: number): Promise<void> {
		const life = {id: `i${number}`, born: 1};
		const upstream = {
			...life, service: 's', address: `10.0.0.${number}:80`, zone: zones[number % zones.length]!, slots: 3, state: UpstreamState.ready, cold: false,
		};
		let holds: readonly KeyRange[] = [];
		let released: readonly ReleasedRow[] = [];
		await pause(number * announcementMilliseconds / upstreamCount);
		for (let sequence = 1; !ended.signal.aborted; sequence += 1) {
			const sentAt = now;
			const reported = released;
			const answer = await announce({
				upstream,
				keys: {
					life, sequence, holds, released,
				},
			});
			const rows = (answer.isOk ? answer.value.holds : undefined) ?? holds;
			const lost = rowsWithout(holds, rows);
			holds = rows;
			await pause(lost.length > 0 ? workMilliseconds : 0);
			released = [...released.filter(row => !reported.includes(row)), ...lost.map(({from, to}) => ({from, to, handover: 'h'}))];
			await pause(released.length > 0 ? releasingMilliseconds : Math.max(0, announcementMilliseconds - (now - sentAt)));
		}
	}

	leader.begin();
	for (let number = 0; number < upstreamCount; number += 1) {
		void runUpstream(number);
	}

	const reporting = setInterval(() => {
		leader.reportLoad({services: [{service: 's', counts: Array.from({length: 512}, (_, number) => [number * 128, 4]), answers: []}]});
	}, 500);
	context.after(() => {
		ended.abort();
		clearInterval(reporting);
		leader.end();
	});
	return {
		order(kind) {
			void leader.orderZone({order: {kind, zone: 'a', seen: holder.state().applied}});
		},
		replaceLeader() {
			leader.end();
			leader.begin();
		},
		shares() {
			const {keys, upstreams} = holder.state();
			const notified = (keys.s ?? []).filter(({holder: held, told}) => held !== undefined && told);
			return {inZone: shareOf(notified.filter(range => upstreams[range.holder!.id]?.zone === 'a')), everywhere: shareOf(notified)};
		},
		spans() {
			const {keys, upstreams} = holder.state();
			const ranges = keys.s ?? [];
			return {recalled: ranges.filter(({releasingSince}) => releasingSince !== undefined), inZone: ranges.filter(({holder: held}) => held !== undefined && upstreams[held.id]?.zone === 'a')};
		},
		async advance(milliseconds, each = () => undefined) {
			for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
				now += stepMilliseconds;
				context.mock.timers.tick(stepMilliseconds);
				await new Promise(resolve => {
					setImmediate(resolve);
				});
				each(passed);
			}
		},
	};
}

const settleMilliseconds = 6000;
/** The grace that entries give with the standard bound of 5 s, less the longest time from an order to an entry. */
const recallLimitMilliseconds = 2250;

const cases: ReadonlyArray<{readonly name: string; readonly leaderReplacedAt?: number; readonly arrivedWithin: number}> = [
	{name: 'one leader', arrivedWithin: 3000},
	{name: 'the leader is replaced with the order', leaderReplacedAt: 50, arrivedWithin: 3000},
	{name: 'the leader is replaced while the keys move', leaderReplacedAt: 600, arrivedWithin: 4000},
];

for (const {name, leaderReplacedAt, arrivedWithin} of cases) {
	test(`evacuation: the keys of a zone of six upstreams move to three others, ${name}`, async context => {
		const {order, replaceLeader, shares, advance} = await startDeployment(context);
		await advance(settleMilliseconds);
		assert.ok(shares().inZone > 0.15, 'the zone holds keys');
		order('zoneEvacuated');
		let usedUntil = 0;
		let leastNotified = 1;
		await advance(arrivedWithin, now => {
			const {inZone, everywhere} = shares();
			usedUntil = inZone > 0 ? now : usedUntil;
			leastNotified = Math.min(leastNotified, everywhere);
			if (now === leaderReplacedAt) {
				replaceLeader();
			}
		});
		assert.ok(usedUntil <= recallLimitMilliseconds, `the zone was used for ${usedUntil} ms`);
		assert.ok(leastNotified > 0.75, `only ${leastNotified} of the keys had a holder`);
		assert.deepEqual(shares(), {inZone: 0, everywhere: 1});
	});
}

test('evacuation: the keys of a restored zone come back step by step', async context => {
	const {order, shares, advance} = await startDeployment(context);
	await advance(settleMilliseconds);
	order('zoneEvacuated');
	await advance(4000);
	order('zoneRestored');
	await advance(coldMilliseconds);
	assert.equal(shares().inZone, 0);
	const reached: number[] = [];
	for (let second = 0; second < 8; second += 1) {
		await advance(1000);
		reached.push(shares().inZone);
	}

	const text = reached.map(share => share.toFixed(3)).join(', ');
	assert.ok(reached[1]! < 0.1, text);
	assert.ok(reached.at(-1)! > 0.1, text);
	assert.ok(reached.every((share, second) => share - (reached[second - 1] ?? 0) < 0.09), text);
});

test('evacuation: keys that are being recalled when their zone is restored arrive in other zones, the others stay', async context => {
	const {order, shares, spans, advance} = await startDeployment(context);
	await advance(settleMilliseconds);
	order('zoneEvacuated');
	await advance(400);
	order('zoneRestored');
	await advance(commitMilliseconds * 2);
	const {recalled} = spans();
	assert.ok(recalled.length > 0);
	await advance(coldMilliseconds - 100);
	const {inZone} = spans();
	assert.ok(inZone.length > 0);
	assert.ok(!recalled.some(one => inZone.some(other => intersectSpans(one, other) !== undefined)));
	assert.equal(shares().everywhere, 1);
});
