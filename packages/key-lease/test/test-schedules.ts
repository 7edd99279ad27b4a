/**
 * Simulates seeded random schedules with lost and delayed announcements and
 * answers, leader changes, and key moves. Each upstream holds the keys of the last
 * answer for the hold time on its own clock; no key may ever have two holders.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {observationOf} from '@dogwooddeck/key-lease/observations';
import {applyKeyCommand, type KeyCommand, type KeyTables} from '@dogwooddeck/key-lease/command';
import {
	createGrantingState, type GrantingState, recordAnswer, recordContact, grantedRows, vacatedByAnnouncement, vacatedByTime,
} from '@dogwooddeck/key-lease/granting';
import {type KeyRate, planKeys} from '@dogwooddeck/key-lease/planning';
import {reportKeys} from '@dogwooddeck/key-lease/report';
import {
	keyCount, type KeyRange, intersectSpans, unassignedRanges,
} from '@dogwooddeck/key-lease/range';

const service = 's';
const options = {holdMilliseconds: 2000, clockDrift: 0.02};
const stepMilliseconds = 25;
const steps = 1600;
const upstreamCount = 5;

type Row = {readonly from: number; readonly to: number; readonly fence: number};

type Upstream = {
	id: string;
	born: number;
	sequence: number;
	/** The rate of its clock relative to true time. */
	readonly rate: number;
	rows: readonly Row[];
	/** The true time at which its hold on the rows expires by its own clock. */
	expiresAt: number;
	released: ReadonlyArray<{readonly from: number; readonly to: number; readonly handover: string}>;
	nextAt: number;
	leaving: boolean;
};

type Answer = {readonly at: number; readonly to: Upstream; readonly born: number; readonly sequence: number; readonly sentAt: number; readonly rows: readonly Row[]};

type LeaderFault = {readonly expiryIsEarly?: boolean; readonly omissionCountsAtOnce?: boolean};

/** Simulates one schedule; returns a description of the first moment at which a key had two holders, if any. */
function simulate(seed: number, fault: LeaderFault = {}): string | undefined {
	const generator = xoroshiro128plus(seed);
	const randomInt = (bound: number) => uniformInt(generator, 0, bound - 1);
	let tables: KeyTables = {[service]: unassignedRanges};
	let index = 1;
	let granting: GrantingState = createGrantingState(0);
	const leaderOptions = fault.expiryIsEarly === true ? {...options, holdMilliseconds: options.holdMilliseconds / 2} : options;
	let answers: Answer[] = [];
	const upstreams: Upstream[] = Array.from({length: upstreamCount}, (_value, position) => ({
		id: `u${position}`, born: 1, sequence: 0, rate: 0.98 + (0.01 * (position % 3)), rows: [], expiresAt: -1, released: [], nextAt: randomInt(400), leaving: false,
	}));
	let rates: readonly KeyRate[] = [];

	function commit(command: KeyCommand): void {
		if (command.rows.length > 0) {
			index += 1;
			tables = applyKeyCommand(tables, command, index);
		}
	}

	const ranges = (): readonly KeyRange[] => tables[service]!;

	function announce(upstream: Upstream, now: number): void {
		upstream.sequence += 1;
		const incarnation = {id: upstream.id, born: upstream.born};
		const keys = {
			life: incarnation, sequence: upstream.sequence, holds: upstream.rows, released: upstream.released,
		};
		upstream.nextAt = now + 300;
		if (randomInt(10) === 0) {
			return;
		}

		granting = recordContact(granting, incarnation, now, leaderOptions);
		const vacated = fault.omissionCountsAtOnce === true
			? ranges().filter(range => range.releasingSince !== undefined && range.holder?.id === incarnation.id).map(({from, to}) => ({
				from, to, holder: incarnation, handover: '',
			}))
			: vacatedByAnnouncement(granting, ranges(), reportKeys(ranges(), keys));
		commit({kind: 'keysVacated', service, rows: vacated});
		const rows = grantedRows(ranges(), incarnation);
		granting = recordAnswer(granting, {
			holder: incarnation, sequence: keys.sequence, receivedAt: now, index,
		}, leaderOptions);
		commit({kind: 'keysTold', service, rows: rows.filter(({told}) => !told).map(({from, to}) => ({from, to, holder: incarnation}))});
		if (randomInt(8) > 0) {
			answers.push({
				at: now + randomInt(300), to: upstream, born: upstream.born, sequence: upstream.sequence, sentAt: now, rows,
			});
		}
	}

	function applyAnswer({to: upstream, born, sequence, sentAt, rows}: Answer, now: number): void {
		if (born !== upstream.born || sequence !== upstream.sequence) {
			return;
		}

		const kept = new Set(upstream.rows.filter(row => rows.some(other => other.fence === row.fence && intersectSpans(row, other) !== undefined)));
		const dropped = now < upstream.expiresAt ? upstream.rows.filter(row => !kept.has(row)) : [];
		upstream.released = dropped.map(({from, to}) => ({from, to, handover: `${upstream.id}-${from}`}));
		upstream.rows = rows;
		upstream.expiresAt = sentAt + (options.holdMilliseconds / upstream.rate);
		upstream.nextAt = dropped.length > 0 ? now + 100 : upstream.nextAt;
	}

	const disturbances: ReadonlyArray<(now: number) => void> = [
		now => {
			granting = createGrantingState(now);
		},
		() => {
			const upstream = upstreams[randomInt(upstreamCount)]!;
			upstream.leaving = !upstream.leaving;
		},
		() => {
			const firstHotKey = randomInt(keyCount - 400);
			rates = Array.from({length: 400}, (_value, position) => ({key: firstHotKey + position, rate: 1.25}));
		},
		now => {
			const upstream = upstreams[randomInt(upstreamCount)]!;
			upstream.nextAt = now + 3000;
		},
	];

	function plan(now: number): void {
		commit({kind: 'keysVacated', service, rows: vacatedByTime(granting, ranges(), () => false, {now, options: leaderOptions})});
		const candidates = upstreams.map(upstream => ({
			upstream: {id: upstream.id, born: upstream.born},
			weight: 3,
			accepting: !upstream.leaving && observationOf(granting.observations, upstream) !== undefined,
			leaving: upstream.leaving,
		}));
		const {granted, recalled} = planKeys({
			ranges: ranges(), candidates, rates, countedMilliseconds: 1_000_000, mostRanges: 150,
		});
		commit({kind: 'keysGranted', service, rows: granted});
		commit({kind: 'keysRecalled', service, rows: recalled});
	}

	for (let now = 0; now < steps * stepMilliseconds; now += stepMilliseconds) {
		const due = answers.filter(({at}) => at <= now);
		answers = answers.filter(({at}) => at > now);
		for (const answer of due) {
			applyAnswer(answer, now);
		}

		for (const upstream of upstreams.filter(({nextAt}) => nextAt <= now)) {
			announce(upstream, now);
		}

		if (now > 2500 && randomInt(30) === 0) {
			disturbances[randomInt(disturbances.length)]!(now);
		}

		if (now % 250 === 0) {
			plan(now);
		}

		const holding = upstreams.filter(({expiresAt: until}) => now < until).flatMap(upstream => upstream.rows.map(row => ({...row, id: upstream.id})));
		const sorted = holding.sort((one, other) => one.from - other.from);
		const conflict = sorted.find((row, position) => sorted[position + 1] !== undefined && sorted[position + 1]!.from <= row.to);
		if (conflict !== undefined) {
			return `at ${now} ms some of the keys ${conflict.from}-${conflict.to} held by ${conflict.id} have a second holder`;
		}
	}

	return undefined;
}

const seeds = Array.from({length: 60}, (_value, position) => position + 1);

for (const seed of seeds) {
	test(`schedules: no key has two holders, seed ${seed}`, () => {
		assert.equal(simulate(seed), undefined);
	});
}

const variants: ReadonlyArray<{readonly name: string; readonly fault: LeaderFault}> = [
	{name: 'the leader expires holds early', fault: {expiryIsEarly: true}},
	{name: 'a recall counts as a release', fault: {omissionCountsAtOnce: true}},
];

for (const {name, fault} of variants) {
	test(`schedules: the check detects a variant where ${name}`, () => {
		assert.notEqual(seeds.map(seed => simulate(seed, fault)).find(found => found !== undefined), undefined);
	});
}
