/**
 * The services and the load patterns of the replay of shared room.
 */
import {
	type ReplayService, type RequestKind, RoomReplay, type RoomCounts, type RuleMaker, type Scenario,
} from './room-replay.js';
import {
	divisionByLeader, keeperInZone, oneEntryEach, ownGuess,
} from './room-rules.js';

function kind(name: string, perSecond: number, workMilliseconds: number, objectiveMilliseconds: number, rest: Partial<RequestKind> = {}): RequestKind {
	return {
		name, perSecond, workMilliseconds, objectiveMilliseconds, timeoutMilliseconds: objectiveMilliseconds * 2, priority: 0, bytes: 2500, ...rest,
	};
}

const four = {
	slots: 4, queue: 16, speeds: [0.5, 1, 1, 1.5], isSilentWhenFull: true, hasNeighbours: false,
};
const three = {
	slots: 3, queue: 12, isSilentWhenFull: false, hasNeighbours: true,
};

export const services: readonly ReplayService[] = [
	{
		...four, name: 'silent issue', upstreams: 67, kinds: [kind('issue', 328, 359, 1210)],
	},
	{
		...four, name: 'silent reserve', upstreams: 26, kinds: [kind('reserve', 236, 201, 1022)],
	},
	{
		...four, name: 'silent rates', upstreams: 14, kinds: [kind('rates', 223, 110, 609)],
	},
	{
		...three, name: 'shedding payments', upstreams: 53, speeds: [0.7, 0.7, 1.6], kinds: [kind('pay', 370, 209, 1059)],
	},
	{
		...three, name: 'shedding files', upstreams: 32, speeds: [0.6, 1, 1.4], kinds: [kind('claim', 148, 129, 551), kind('upload', 146, 189, 2152, {priority: 2, timeoutMilliseconds: 3228, bytes: 60_000})],
	},
];

const period = 17_000;

function isDuring(now: number): boolean {
	return now >= 8000 && now < 13_000;
}

const calm: Scenario = {
	name: 'calm', load: () => 1, slowdown: () => 1, isKeeperLost: () => false, isCut: () => false,
};

/** The load of a heavy day. */
const heavy = 1.7;

export const scenarios: readonly Scenario[] = [
	calm,
	{...calm, name: 'heavy', load: () => heavy},
	{...calm, name: 'opposed waves', load: (zone, _kind, now) => 1.5 * (1 + (0.55 * Math.sin((2 * Math.PI * now / period) + (zone % 2 === 0 ? (zone / 2) * Math.PI : (zone + 1) / 2 * Math.PI))))},
	{...calm, name: 'burst of the least urgent', load: (_zone, {priority}, now, least) => 1.3 * (priority === least && isDuring(now) ? 2.5 : 1)},
	{
		...calm, name: 'slow upstreams', load: () => 1.3, slowdown: (upstream, now) => upstream % 10 === 0 && isDuring(now) ? 8 : 1,
	},
	{
		...calm, name: 'lost keeper', load: () => 1.3, isKeeperLost: (zone, now) => zone === 0 && isDuring(now),
	},
	{
		...calm, name: 'cut zone', load: () => 1.3, isCut: (zone, now) => zone === 0 && isDuring(now),
	},
];

export const rules: Readonly<Record<string, RuleMaker>> = {
	'own guess': ownGuess, 'division by the leader': divisionByLeader, 'keeper in the zone': keeperInZone, 'one entry each': oneEntryEach,
};

/** Replays one service under one rule. */
export function replayRoom(service: ReplayService, scenario: Scenario, maker: RuleMaker, seed: number, seconds = 17): {readonly counts: RoomCounts; readonly countsOf: ReadonlyMap<string, RoomCounts>} {
	const replay = new RoomReplay(service, scenario, seconds, seed);
	replay.run(maker(replay), seconds);
	return replay;
}
