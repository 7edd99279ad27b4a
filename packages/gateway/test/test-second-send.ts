/**
 * When a request is sent to a second upstream: the decision, its limits, and what
 * it changes for callers of 60 instances.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AnswerSize, BodySize, type Route} from '@dogwooddeck/directory/item';
import {createRetryBudget} from '@dogwooddeck/routing/budget';
import {
	capacityPerSecond, instances, type Pattern, replay,
} from './second-send-replay.js';
import {
	maySendTwice, type SecondSendCircumstances, SecondSends, type SecondSendSettings, SecondSendVerdict,
} from '@dogwooddeck/gateway/second-send';
import {Signal, UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';

const settings: SecondSendSettings = {
	share: 0.05, burst: 2, minimumDelayMilliseconds: 30, otherRegions: false,
};

const slots = 3;

/** Returns the load of an upstream after answers that took these times, with requests in flight. */
function loadOf(latencies: readonly number[], inFlight = 0, signal: Signal = Signal.answered): UpstreamLoad {
	const load = new UpstreamLoad(slots);
	for (const [number, latency] of latencies.entries()) {
		load.record(signal, latency, number);
	}

	load.inFlight = inFlight;
	return load;
}

const usual = Array.from({length: 40}, () => 50);
const congested = [...usual, 200, 200, 200, 200, 200];
const idle = loadOf(usual);

type Case = {
	readonly name: string;
	readonly verdict: SecondSendVerdict;
	readonly circumstances?: Partial<SecondSendCircumstances>;
	readonly prepare?: (seconds: SecondSends) => void;
	readonly now?: number;
};

const cases: readonly Case[] = [
	{name: 'nothing keeps it', verdict: SecondSendVerdict.send},
	{name: 'the head of an answer has come', verdict: SecondSendVerdict.answering, circumstances: {hasHead: true}},
	{name: 'no attempt is left', verdict: SecondSendVerdict.attemptsSpent, circumstances: {attemptsLeft: 0}},
	{name: 'requests wait', verdict: SecondSendVerdict.scarceRoom, circumstances: {waiting: 1}},
	{
		name: 'an upstream had no room just now', verdict: SecondSendVerdict.scarceRoom, prepare(seconds) {
			seconds.recordScarcity(0);
		}, now: 9999,
	},
	{
		name: 'an upstream had no room some time ago', verdict: SecondSendVerdict.send, prepare(seconds) {
			seconds.recordScarcity(0);
		}, now: 10_000,
	},
	{name: 'most of the room is taken', verdict: SecondSendVerdict.scarceRoom, circumstances: {loads: [loadOf(usual, 2), loadOf(usual, 2), idle]}},
	{name: 'most upstreams are congested', verdict: SecondSendVerdict.scarceRoom, circumstances: {loads: [loadOf(congested), loadOf(congested), idle]}},
	{name: 'one upstream is congested', verdict: SecondSendVerdict.send, circumstances: {loads: [loadOf(congested), idle, idle]}},
	{name: 'no other upstream is idle', verdict: SecondSendVerdict.noUpstream, circumstances: {alternative: undefined}},
	{name: 'the answer would come after the deadline', verdict: SecondSendVerdict.late, circumstances: {left: 49}},
	{name: 'the answer would come at the deadline', verdict: SecondSendVerdict.send, circumstances: {left: 51}},
	{name: 'of an upstream that was not measured, the usual latency is expected', verdict: SecondSendVerdict.late, circumstances: {alternative: new UpstreamLoad(slots), left: 49}},
	{
		name: 'the share is spent', verdict: SecondSendVerdict.shareSpent, prepare(seconds) {
			seconds.recordSend();
			seconds.recordSend();
		},
	},
	{name: 'the retry budget is spent', verdict: SecondSendVerdict.budgetSpent, circumstances: {retries: {...createRetryBudget(0.15), balance: 0.9}}},
];

/** Returns second sends that have seen answers of 50 ms and saved up their burst. */
function prepared(): SecondSends {
	const seconds = new SecondSends(settings);
	seconds.divide(1, settings.burst);
	for (const latency of usual) {
		seconds.recordAnswer(latency);
		seconds.recordRequest(0.15);
	}

	return seconds;
}

for (const {name, verdict, circumstances, prepare, now = 0} of cases) {
	test(`second send: ${name}`, () => {
		const seconds = prepared();
		prepare?.(seconds);
		const whole = {
			hasHead: false, attemptsLeft: 1, waiting: 0, loads: [idle, idle, idle], alternative: idle, left: 1000, retries: createRetryBudget(0.15), ...circumstances,
		};
		assert.equal(seconds.judge(whole, now), verdict);
		assert.equal(seconds.judge(whole, now), verdict, 'judging changes nothing');
	});
}

const route: Route = {
	hostname: 'a.example', pathPrefix: '/', idempotent: true, timeoutMilliseconds: 900, objectiveMilliseconds: 400, priority: 0, maxAttempts: 2, targets: [],
};

const requestCases: ReadonlyArray<{readonly name: string; readonly route?: Partial<Route>; readonly keyed?: boolean; readonly bodyBytes?: number; readonly may: boolean}> = [
	{name: 'idempotent', may: true},
	{name: 'not idempotent', route: {idempotent: false}, may: false},
	{name: 'large answers', route: {answerSize: AnswerSize.large}, may: false},
	{name: 'large bodies', route: {bodySize: BodySize.large}, may: false},
	{name: 'a long body', bodyBytes: 65_537, may: false},
	{name: 'a short body', bodyBytes: 65_536, may: true},
	{name: 'one attempt', route: {maxAttempts: 1}, may: false},
	{name: 'a key', keyed: true, may: false},
];

for (const {name, route: changes, keyed = false, bodyBytes = 0, may} of requestCases) {
	test(`second send: requests that may be sent twice: ${name}`, () => {
		assert.equal(maySendTwice({...route, ...changes}, keyed, bodyBytes), may);
	});
}

const delayCases: ReadonlyArray<{readonly name: string; readonly answers: readonly number[]; readonly silences?: readonly number[]; readonly delay: number | undefined}> = [
	{name: 'few answers', answers: usual.slice(0, 19), delay: undefined},
	{name: 'equal answers: twice the usual time', answers: usual, delay: 100},
	{name: 'quick answers: the minimum', answers: usual.map(() => 2), delay: 30},
	{name: 'a long tail: 95 in 100', answers: Array.from({length: 100}, (_, number) => number < 90 ? 50 : 10 * number), delay: 950},
	{
		name: 'answers that were not waited for', answers: usual, silences: Array.from({length: 8}, () => 400), delay: 400,
	},
	{
		name: 'a short wait says nothing', answers: usual, silences: Array.from({length: 8}, () => 10), delay: 100,
	},
	{name: 'earlier answers are forgotten', answers: [...Array.from({length: 200}, () => 900), ...Array.from({length: 128}, () => 40)], delay: 80},
];

for (const {name, answers, silences = [], delay} of delayCases) {
	test(`second send: delay: ${name}`, () => {
		const seconds = new SecondSends(settings);
		for (const latency of answers) {
			seconds.recordAnswer(latency);
		}

		for (const silence of silences) {
			seconds.recordSilence(silence);
		}

		assert.equal(seconds.delay, delay);
	});
}

const half = 0.4 * capacityPerSecond;
/** The number of a span of 2 s, after which other upstreams have their turn. */
const turn = (now: number) => Math.floor(now / 2000);
const isTurnOf = (position: number, now: number, upstreams: number) => (position + (3 * turn(now))) % 20 < upstreams;
const limits: SecondSendSettings = {...settings, burst: 20, minimumDelayMilliseconds: 20};

type ReplayCase = {
	readonly name: string;
	readonly pattern: Pattern;
	/** The most that a quantile may become, as a share of that without second sends. */
	readonly p99: number;
	readonly p999: number;
	readonly mostExtraShare: number;
};

const replayCases: readonly ReplayCase[] = [
	{
		name: 'calm', pattern: {perSecond: half}, p99: 1.1, p999: 1.1, mostExtraShare: 0.01,
	},
	{
		name: 'slow: one upstream in 20 by turns', pattern: {perSecond: half, slowness: (position, now) => isTurnOf(position, now, 1) ? 6 : 1}, p99: 0.8, p999: 0.9, mostExtraShare: limits.share,
	},
	{
		name: 'grey: two answers in 100 are lost', pattern: {perSecond: half, silentShare: () => 0.02}, p99: 0.25, p999: 1, mostExtraShare: limits.share,
	},
	{
		name: 'hot: other requests fill two upstreams in 20 by turns', pattern: {perSecond: half, foreignPerSecond: (position, now) => isTurnOf(position, now, 2) ? 36 : 0}, p99: 1.1, p999: 1, mostExtraShare: limits.share,
	},
	{
		name: 'full', pattern: {perSecond: capacityPerSecond}, p99: 1, p999: 1, mostExtraShare: 0.0005,
	},
	{
		name: 'full and grey', pattern: {perSecond: capacityPerSecond, silentShare: () => 0.01}, p99: 1, p999: 1, mostExtraShare: 0.0005,
	},
	{
		name: 'full and slow', pattern: {perSecond: capacityPerSecond, slowness: (position, now) => isTurnOf(position, now, 3) ? 8 : 1}, p99: 1, p999: 1, mostExtraShare: 0.0005,
	},
];

const seeds = [1, 2, 3];

for (const {name, pattern, p99, p999, mostExtraShare} of replayCases) {
	for (const seed of seeds) {
		test(`second send: ${instances} instances, ${name}, seed ${seed}`, t => {
			const without = replay(seed, pattern, undefined);
			const withSeconds = replay(seed, pattern, limits);
			t.diagnostic(`without ${JSON.stringify(without)} with ${JSON.stringify(withSeconds)}`);
			assert.equal(without.extra, 0);
			assert.ok(withSeconds.p99 <= without.p99 * p99, `p99 ${withSeconds.p99} of ${without.p99} ms`);
			assert.ok(withSeconds.p999 <= without.p999 * p999, `p999 ${withSeconds.p999} of ${without.p999} ms`);
			assert.ok(withSeconds.extra <= withSeconds.requests * mostExtraShare, `${withSeconds.extra} extra of ${withSeconds.requests}`);
			assert.ok(withSeconds.answered >= without.answered * 0.995, `${withSeconds.answered} answered of ${without.answered}`);
		});
	}
}
