import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {type Announcement} from '@dogwooddeck/directory/announcement';
import {type ItemChange} from '@dogwooddeck/directory/item';
import {directoryMachine, type DirectoryCommand, encodeCommands} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {type AnnouncementAnswer, type MeshCalls} from '@dogwooddeck/mesh/calls';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {type Log} from '@dogwooddeck/telemetry/log';
import {createMeasures} from '@dogwooddeck/telemetry/measure';
import {err, ok, type Result} from 'true-myth/result';
import {type DirectoryHolder, type DirectoryVoter} from '@dogwooddeck/control-node/directory-voter';
import {createAnnouncementCoordinator} from '@dogwooddeck/control-node/announcement-coordinator';
import {createLeaderCoordinator} from '@dogwooddeck/control-node/leader-coordinator';

const silent: Log = {
	event: () => undefined, warning: () => undefined, error: () => undefined,
};

type Scenario = {
	readonly depart: (life: MeshCalls['depart']['request']['life']) => Promise<Result<unknown, Failure>>;
	readonly declare: (changes: readonly ItemChange[]) => Promise<Result<{readonly index: number}, Failure>>;
	readonly announce: (announcement: Announcement) => Promise<Result<AnnouncementAnswer, Failure>>;
	readonly holder: DirectoryHolder;
	readonly commit: (commands: readonly DirectoryCommand[]) => void;
	/** Committed commands that the leader hasn't applied: a read round or a proposal applies them first, as they come before it in the log. */
	readonly unapplied: DirectoryCommand[];
	readonly isLeading: {value: boolean};
	/** Duration of a read round of the log. */
	readonly roundMilliseconds: {value: number};
	/** Duration of a commit. */
	readonly commitMilliseconds: {value: number};
	readonly advance: (milliseconds: number) => Promise<void>;
};

/** The wall-clock time at which tests begin, in milliseconds. */
const beginning = 100;

/** A leader whose log commits at once by default. Time only passes when it is advanced. */
function startScenario(context: TestContext): Scenario {
	let now = 1000;
	context.mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date'], now: beginning});
	context.mock.method(performance, 'now', () => now);
	const holder = createStateHolder(directoryMachine);
	const isLeading = {value: true};
	const roundMilliseconds = {value: 0};
	const commitMilliseconds = {value: 0};
	const notLeader = failure(FailureKind.notLeader, 'another voter leads');
	const commit = (commands: readonly DirectoryCommand[]) => holder.apply(holder.state().applied + 1, encodeCommands(commands));
	const unapplied: DirectoryCommand[] = [];
	const applyRest = () => {
		for (const command of unapplied.splice(0)) {
			commit([command]);
		}
	};

	const voter = {
		async propose(payload: string) {
			if (commitMilliseconds.value > 0) {
				await pause(commitMilliseconds.value);
			}

			applyRest();
			const index = holder.state().applied + 1;
			return isLeading.value ? ok({index, answers: holder.apply(index, payload) ?? []}) : err(notLeader);
		},
		async read() {
			await pause(roundMilliseconds.value);
			applyRest();
			return isLeading.value ? ok(holder.state().applied) : err(notLeader);
		},
		quorumContactAt: () => isLeading.value ? now : undefined,
	} as unknown as DirectoryVoter;
	const coordinator = createLeaderCoordinator({
		holder, voter: () => voter, terms: {holdMilliseconds: 5000, clockDrift: 0.02}, mostRanges: 150, log: silent, measures: createMeasures(),
	});
	commit([{
		kind: 'itemsChanged', changes: [{kind: 'service', name: 's', item: {version: 1, value: {keyed: true, maxConnections: 10}, document: '{}'}}],
	}]);
	const {announce} = createAnnouncementCoordinator({
		holder, isFresh: () => true, holdMilliseconds: 5000, forward: coordinator.announce,
	});
	return {
		announce,
		depart: async life => coordinator.depart({life}),
		declare: async changes => coordinator.declare({changes}),
		holder,
		commit,
		unapplied,
		isLeading,
		roundMilliseconds,
		commitMilliseconds,
		async advance(milliseconds) {
			for (let passed = 0; passed < milliseconds; passed += 10) {
				now += 10;
				context.mock.timers.tick(10);
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		},
	};
}

function announcement(id: string, sequence: number, fields: Partial<Announcement['keys']> = {}, state: UpstreamState = UpstreamState.ready): Announcement {
	return {
		upstream: {
			id, born: 1, service: 's', address: `10.0.0.${id}:1`, zone: 'z', slots: 3, state, cold: false,
		},
		keys: {
			life: {id, born: 1}, sequence, holds: [], released: [], ...fields,
		},
	};
}

type PendingAnswer = {value?: Result<AnnouncementAnswer, Failure>};

async function recordAnswer(pending: Promise<Result<AnnouncementAnswer, Failure>>, answered: PendingAnswer): Promise<void> {
	answered.value = await pending;
}

function startAnnouncement({announce}: Scenario, sent: Announcement): PendingAnswer {
	const answered: PendingAnswer = {};
	void recordAnswer(announce(sent), answered);
	return answered;
}

const held = {from: 0, to: 65_535, holder: {id: '1', born: 1}};

/** Upstream 1 has announced itself, holds all keys and has been notified of them. */
async function startWithHeldKeys(context: TestContext): Promise<Scenario> {
	const scenario = startScenario(context);
	startAnnouncement(scenario, announcement('1', 1));
	await scenario.advance(700);
	scenario.commit([{kind: 'keysGranted', service: 's', rows: [held]}, {kind: 'keysTold', service: 's', rows: [held]}]);
	return scenario;
}

const cases: ReadonlyArray<{readonly name: string; readonly happens: (scenario: Scenario) => void; readonly isAnsweredWithin: number; readonly rows: number | undefined}> = [
	{
		name: 'without news is delayed, then renewed', happens: () => undefined, isAnsweredWithin: 600, rows: 1,
	},
	{
		name: 'is answered at once when keys of its upstream are recalled', happens({commit}) {
			commit([{kind: 'keysRecalled', service: 's', rows: [held]}]);
		}, isAnsweredWithin: 40, rows: 0,
	},
	{
		name: 'is answered at once when its upstream is granted more keys', happens({commit}) {
			const half = {...held, to: 100};
			commit([{kind: 'keysRecalled', service: 's', rows: [half]}, {kind: 'keysVacated', service: 's', rows: [{...half, handover: 'h'}]}, {kind: 'keysGranted', service: 's', rows: [half]}]);
		}, isAnsweredWithin: 40, rows: 2,
	},
];

for (const {name, happens, isAnsweredWithin, rows} of cases) {
	test(`leader coordinator: an announcement ${name}`, async context => {
		const scenario = await startWithHeldKeys(context);
		const answered = startAnnouncement(scenario, announcement('1', 2, {holds: [{from: 0, to: 65_535, fence: 3}]}));
		await scenario.advance(300);
		assert.deepEqual(answered, {});
		happens(scenario);
		await scenario.advance(isAnsweredWithin);
		assert.equal(answered.value?.map(({holds}) => holds?.length).unwrapOr(undefined), rows);
	});
}

test('leader coordinator: an announcement received by a leader that has since been replaced renews nothing', async context => {
	const scenario = await startWithHeldKeys(context);
	const answered = startAnnouncement(scenario, announcement('1', 2));
	scenario.isLeading.value = false;
	await scenario.advance(700);
	assert.equal(answered.value?.isErr, true);
});

test('leader coordinator: an announcement is answered in time even if the read round of the leader is slow', async context => {
	const scenario = await startWithHeldKeys(context);
	scenario.roundMilliseconds.value = 200;
	const answered = startAnnouncement(scenario, announcement('1', 2, {holds: [{from: 0, to: 65_535, fence: 3}]}));
	await scenario.advance(700);
	assert.equal(answered.value?.isOk, true);
});

test('leader coordinator: the announcement of a draining upstream is not delayed', async context => {
	const scenario = await startWithHeldKeys(context);
	const answered = startAnnouncement(scenario, announcement('1', 2, {}, UpstreamState.draining));
	await scenario.advance(30);
	assert.equal(answered.value?.isOk, true);
	assert.equal(scenario.holder.state().upstreams['1']?.state, UpstreamState.draining);
});

function service(name: string, version: number, maxConnections = 10): ItemChange {
	return {kind: 'service', name, item: {version, value: {keyed: false, maxConnections}, document: String(maxConnections)}};
}

type Declared = {readonly changes: readonly ItemChange[]; readonly isAccepted: boolean};

const declarations: ReadonlyArray<{readonly name: string; readonly rounds: ReadonlyArray<readonly Declared[]>; readonly entries: number}> = [
	{
		name: 'sent twice concurrently', rounds: [[{changes: [service('t', 2)], isAccepted: true}, {changes: [service('t', 2)], isAccepted: true}]], entries: 1,
	},
	{
		name: 'sent again later', rounds: [[{changes: [service('t', 2)], isAccepted: true}], [{changes: [service('t', 2)], isAccepted: true}]], entries: 1,
	},
	{
		name: 'sent again after a later one', rounds: [[{changes: [service('t', 2)], isAccepted: true}], [{changes: [service('t', 3)], isAccepted: true}], [{changes: [service('t', 2)], isAccepted: true}]], entries: 2,
	},
	{
		name: 'followed by other content under its version', rounds: [[{changes: [service('t', 2)], isAccepted: true}], [{changes: [service('t', 2, 11)], isAccepted: false}]], entries: 2,
	},
];

for (const {name, rounds, entries} of declarations) {
	test(`leader coordinator: a change ${name} creates ${entries} log ${entries === 1 ? 'entry' : 'entries'}`, async context => {
		const scenario = startScenario(context);
		const before = scenario.holder.state().applied;
		for (const declared of rounds) {
			const declaring = Promise.all(declared.map(async ({changes}) => scenario.declare(changes)));
			await scenario.advance(50);
			const results = await declaring;
			assert.deepEqual(results.map(({isOk}) => isOk), declared.map(({isAccepted}) => isAccepted));
		}

		assert.equal(scenario.holder.state().applied - before, entries);
	});
}

test('leader coordinator: a change that is sent again while it is pending creates one log entry', async context => {
	const scenario = startScenario(context);
	const before = scenario.holder.state().applied;
	scenario.commitMilliseconds.value = 300;
	const first = scenario.declare([service('t', 2)]);
	await scenario.advance(100);
	const second = scenario.declare([service('t', 2)]);
	await scenario.advance(700);
	const answers = await Promise.all([first, second]);
	assert.deepEqual(answers.map(({isOk}) => isOk), [true, true]);
	assert.equal(scenario.holder.state().applied - before, 1);
});

function announcedWith(born: number): DirectoryCommand {
	return {kind: 'upstreamAnnounced', upstream: {...announcement('1', 1).upstream, born}};
}

/** Upstream 1 departs; its incarnations are named by their starts. */
type DepartureCase = {
	readonly name: string;
	/** The incarnations whose announcements the leader has applied, and those that it only has in its log. */
	readonly applied: readonly number[];
	readonly unapplied: readonly number[];
	/** Undefined if the departure doesn't name its start. */
	readonly departs: number | undefined;
	/** The incarnation that is recorded then. */
	readonly recorded: number | undefined;
	/** One that is announced after that, and what is recorded in the end. */
	readonly announced: number;
	readonly recordedLast: number | undefined;
};

// DRAIN: a departure was acknowledged and not recorded, so that the upstream got requests for as long as it served.
const departures: readonly DepartureCase[] = [
	{
		name: 'of a recorded incarnation', applied: [1], unapplied: [], departs: 1, recorded: undefined, announced: 1, recordedLast: undefined,
	},
	{
		name: 'before the first announcement', applied: [], unapplied: [], departs: 1, recorded: undefined, announced: 1, recordedLast: undefined,
	},
	{
		name: 'before the first announcement, with an earlier incarnation on record', applied: [1], unapplied: [], departs: 2, recorded: undefined, announced: 2, recordedLast: undefined,
	},
	{
		name: 'before the first announcement, then the next incarnation', applied: [], unapplied: [], departs: 1, recorded: undefined, announced: 2, recordedLast: 2,
	},
	{
		name: 'at a new leader that has not applied the announcement', applied: [], unapplied: [1], departs: 1, recorded: undefined, announced: 1, recordedLast: undefined,
	},
	{
		name: 'without its start, at a new leader that has not applied the announcement', applied: [], unapplied: [1], departs: undefined, recorded: undefined, announced: 1, recordedLast: undefined,
	},
	{
		name: 'at a new leader that has not applied the announcement of the next incarnation', applied: [1], unapplied: [2], departs: 1, recorded: 2, announced: 2, recordedLast: 2,
	},
	{
		name: 'without its start, before the first announcement', applied: [], unapplied: [], departs: undefined, recorded: undefined, announced: 1, recordedLast: undefined,
	},
	{
		name: 'without its start, before the first announcement, with an earlier incarnation on record', applied: [1], unapplied: [], departs: undefined, recorded: undefined, announced: 2, recordedLast: undefined,
	},
	{
		name: 'without its start, then an incarnation that starts after it', applied: [1], unapplied: [], departs: undefined, recorded: undefined, announced: beginning + 1000, recordedLast: beginning + 1000,
	},
	{
		name: 'without its start, of an incarnation whose clock is ahead', applied: [beginning + 1000], unapplied: [], departs: undefined, recorded: undefined, announced: beginning + 1000, recordedLast: undefined,
	},
];

for (const {
	name, applied, unapplied, departs, recorded, announced, recordedLast,
} of departures) {
	test(`leader coordinator: a departure ${name}`, async context => {
		const scenario = startScenario(context);
		scenario.commit(applied.map(born => announcedWith(born)));
		scenario.unapplied.push(...unapplied.map(born => announcedWith(born)));
		const departing = scenario.depart(departs === undefined ? {id: '1'} : {id: '1', born: departs});
		await scenario.advance(50);
		const acknowledged = await departing;
		assert.equal(acknowledged.isOk, true);
		assert.equal(scenario.holder.state().upstreams['1']?.born, recorded);
		const {upstream, keys} = announcement('1', 1);
		startAnnouncement(scenario, {upstream: {...upstream, born: announced}, keys: {...keys, life: {id: '1', born: announced}}});
		await scenario.advance(700);
		assert.equal(scenario.holder.state().upstreams['1']?.born, recordedLast);
	});
}
