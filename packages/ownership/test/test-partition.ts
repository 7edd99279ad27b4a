/**
 * Network partitions: which requests each side serves and refuses under both
 * policies, and the recovery once the partition heals. The service `held` has the
 * policy `hold`, `taken` the policy `take-over`. Upstreams in the partitioned
 * zones are declared lost after 1 s.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Schedule} from './schedule.js';

const partitionedAt = 9000;
const healAt = 20_000;
/** From the start of the partition until the control leases have expired and control's side has moved the slots that it may. */
const settlingMilliseconds = 4500;

type Expected = Readonly<Record<string, string>>;

const whenPartitioned: Expected = {
	'inside: held of the same zone': 'served',
	'inside: held of another zone': 'no-lease',
	'inside: taken of the same zone': 'no-lease',
	'inside: taken of another zone': 'no-lease',
	'outside: held of a zone inside': 'no-owner',
	'outside: held of a zone outside': 'served',
	'outside: taken of a zone outside': 'served',
};

const allServed = 'every request is served after the partition heals';

const cases: ReadonlyArray<{
	readonly name: string;
	readonly zones: readonly string[];
	readonly partitioned: readonly string[];
	readonly leaderIn?: string;
	readonly restartInside?: boolean;
	readonly expected: Expected;
	/** The time in milliseconds from the end of the partition until every request is served. */
	readonly healedWithin: number;
}> = [
	{
		name: 'a zone without the leader', zones: ['n1', 'n2', 'z1'], partitioned: ['z1'], expected: whenPartitioned, healedWithin: 3000,
	},
	{
		name: 'the zone with the leader', zones: ['n1', 'n2', 'z1'], partitioned: ['n1'], expected: whenPartitioned, healedWithin: 3000,
	},
	{
		name: 'the region with the smaller part of the voters', zones: ['n1', 'n2', 'z1', 'z2'], partitioned: ['z1', 'z2'], expected: whenPartitioned, healedWithin: 3000,
	},
	{
		name: 'the region with the leader, but the smaller part of the voters',
		zones: ['n1', 'n2', 'z1', 'z2'],
		partitioned: ['z1', 'z2'],
		leaderIn: 'z1',
		expected: whenPartitioned,
		healedWithin: 3000,
	},
	{
		name: 'a zone that restarts while it is partitioned', zones: ['n1', 'n2', 'z1'], partitioned: ['z1'], restartInside: true,
		expected: {
			'outside: held of a zone inside': 'no-owner',
			'outside: held of a zone outside': 'served',
			'outside: taken of a zone outside': 'served',
		},
		healedWithin: 12_000,
	},
];

type Cell = {served: boolean; readonly refused: Set<string>};

function cellName(partitioned: readonly string[], zone: string, service: string, ownerZone: string): string {
	if (partitioned.includes(zone)) {
		return `inside: ${service} of ${zone === ownerZone ? 'the same zone' : 'another zone'}`;
	}

	return `outside: ${service} of a zone ${partitioned.includes(ownerZone) ? 'inside' : 'outside'}`;
}

/** Returns the outcomes of the requests in a time window, by the side of the requester, the service and the owner's zone. */
function observe(schedule: Schedule, partitioned: readonly string[], from: number, until: number): Expected {
	const cells = new Map<string, Cell>();
	const cellOf = (zone: string, service: string, ownerZone: string) => {
		const name = cellName(partitioned, zone, service, ownerZone);
		const cell = cells.get(name) ?? {served: false, refused: new Set<string>()};
		cells.set(name, cell);
		return cell;
	};

	for (const request of schedule.sentRequests.filter(({startedAt}) => startedAt >= from && startedAt < until)) {
		cellOf(request.from, request.service, request.upstream.zone).served = true;
	}

	for (const {zone, service, ownerZone, kind} of schedule.refused.filter(({at}) => at >= from && at < until)) {
		cellOf(zone, service, ownerZone).refused.add(kind);
	}

	return Object.fromEntries([...cells].map(([name, {served, refused}]) => {
		const text = served ? ['served'] : [];
		return [name, [...text, ...refused].join(' ')];
	}));
}

for (const {name, zones, partitioned, leaderIn = 'n1', restartInside = false, expected, healedWithin} of cases) {
	test(`partition: ${name}`, () => {
		const schedule = new Schedule({
			seed: 7, zones, perZone: 3, loss: 0, moves: 0, driftRatio: 0.01, longestDeadlineMilliseconds: 800,
		});
		const {simulation, leadership} = schedule;
		leadership.depose(voter => voter.zone === leaderIn);
		const partitionedUpstreams = schedule.upstreams.filter(upstream => partitioned.includes(upstream.zone)).map(upstream => upstream.name);
		simulation.after(partitionedAt, () => {
			simulation.partition(partitioned, healAt - partitionedAt);
		});
		simulation.after(partitionedAt + 1000, () => {
			for (const upstream of partitionedUpstreams) {
				leadership.lost.add(upstream);
			}

			for (const instance of restartInside ? schedule.instances.filter(({zone}) => partitioned.includes(zone)) : []) {
				instance.restart();
				schedule.boot(instance);
			}
		});
		simulation.after(healAt, () => {
			leadership.lost.clear();
		});
		schedule.run(healAt + healedWithin + 2000);
		const during = observe(schedule, partitioned, partitionedAt + settlingMilliseconds, healAt);
		const after = observe(schedule, partitioned, healAt + healedWithin, healAt + healedWithin + 2000);
		assert.deepEqual(schedule.violations, []);
		assert.deepEqual({...during}, expected);
		assert.deepEqual([...new Set(Object.values(after))], ['served'], allServed);
	});
}
