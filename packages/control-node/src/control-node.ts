/**
 * A control instance: a voter or learner of the replicated log that serves
 * requests of upstreams, operators and entries. Requests that only the leader
 * can answer are forwarded to it.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {Role} from '@dogwooddeck/consensus/voter-interface';
import {type VoterIdentity} from '@dogwooddeck/consensus/message';
import {keyOfVoter} from '@dogwooddeck/consensus/voter-set';
import {type Announcement} from '@dogwooddeck/directory/announcement';
import {type ItemChange, type Items} from '@dogwooddeck/directory/item';
import {directoryMachine} from '@dogwooddeck/directory/state';
import {type ZoneOrder} from '@dogwooddeck/directory/zone-order';
import {type HolderShare} from '@dogwooddeck/key-lease/holder-load';
import {
	type AnnouncementAnswer, type AnnouncementOutcome, type AnnouncementReport, type LoadReport, type MeshCall, type MeshCalls, type Reply,
} from '@dogwooddeck/mesh/calls';
import {createMeshClients} from '@dogwooddeck/mesh/client';
import {startMeshServer, type MeshHandlers} from '@dogwooddeck/mesh/server';
import {
	failure, FailureError, FailureKind, type Failure,
} from '@dogwooddeck/model/failure';
import {
	type LogIndex, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {nextVoterSet, type VoterObservation} from '@dogwooddeck/replica/succession';
import {EventName} from '@dogwooddeck/telemetry/event';
import {startLoadWatch} from '@dogwooddeck/telemetry/load-watch';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures, recordDuration} from '@dogwooddeck/telemetry/measure';
import {err, ok, type Result} from 'true-myth/result';
import {createAnnouncementBatcher} from './announcement-batcher.js';
import {createAnnouncementCoordinator} from './announcement-coordinator.js';
import {countCalls} from './call-counts.js';
import {ColdAssigner} from './cold-assigner.js';
import {type DirectoryVoter, startDirectoryVoter} from './directory-voter.js';
import {EntryCount} from './entry-count.js';
import {createFollowers} from './followers.js';
import {isRecent} from './freshness.js';
import {createLeaderCoordinator} from './leader-coordinator.js';
import {createLoadRelay} from './load-relay.js';
import {type ReplicationWatch, startReplicationWatch} from './replication-watch.js';
import {type RoomKeepers, startRoomKeepers} from './room-keepers.js';
import {type ControlSettings} from './settings.js';

/** A running control instance. */
export type ControlNode = {
	/** Handles the announcement of an upstream. */
	readonly announce: (announcement: Announcement) => Promise<Result<AnnouncementAnswer, Failure>>;
	/** Records that an upstream has left. */
	readonly depart: (incarnation: MeshCalls['depart']['request']['life']) => Promise<Result<unknown, Failure>>;
	/** Applies an operator's changes of items. */
	readonly declare: (changes: readonly ItemChange[]) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	/** Requests that no more requests be sent to the upstreams of a zone, or withdraws that. Fails with `notFound` if the settings don't name the zone. */
	readonly orderZone: (kind: ZoneOrder['kind'], zone: ZoneName) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	/** Reads the newest items, confirmed by a majority. */
	readonly readItems: () => Promise<Result<Items, Failure>>;
	/** Adds addresses of control instances from the settings to the seeds. */
	readonly addSeeds: (addresses: readonly string[]) => void;
	/** Hands over leadership and stops. */
	readonly stop: () => Promise<void>;
};

/** The collaborators and settings of a control instance. */
export type ControlNodeDependencies = {
	readonly settings: ControlSettings;
	readonly log: Log;
	readonly measures: Measures;
	/** Called when the durable state can't be written: the process has to exit. */
	readonly failed: (failure: Failure) => void;
};

/** A call of an upstream or operator is answered within a second; forwarding it must time out before that. */
const forwardTimeoutMilliseconds: Milliseconds = 800;
/** A load report that takes longer is useless: the next one follows. */
const relayTimeoutMilliseconds: Milliseconds = 450;
/** The leader's list of overloaded upstreams expires after this long: a key stays hot for seconds. */
const sharesLifetimeMilliseconds: Milliseconds = 1500;
const livenessIntervalMilliseconds: Milliseconds = 600;
const livenessTimeoutMilliseconds: Milliseconds = 700;
const handOverTimeoutMilliseconds: Milliseconds = 400;
/** Maximum wait for this instance to apply a directory change that the leader has confirmed. */
const catchUpTimeoutMilliseconds: Milliseconds = 700;
const pollMilliseconds: Milliseconds = 5;

const noKeeper = failure(FailureKind.notReady, 'this instance keeps no room');
const noLeader = failure(FailureKind.noQuorum, 'no leader is currently known');

type MeshAnswer<Call extends MeshCall> = Promise<Result<MeshCalls[Call]['answer'], Failure>>;

/** Starts a control instance. Throws a `FailureError` if its data folder or address can't be used. */
export async function startControlNode({settings, log, measures, failed}: ControlNodeDependencies): Promise<ControlNode> {
	const calls = countCalls(measures);
	const clients = createMeshClients(calls.onCall);
	const holder = createStateHolder(directoryMachine);
	const observations = new Map<string, VoterObservation>();
	const entryCount = new EntryCount();
	/** Set after the server has started: the other voters reach this one through it. */
	const own: {voter?: DirectoryVoter; replication?: ReplicationWatch} = {};
	let isChangingVoters = false;
	let {seeds} = settings;
	const leaderCoordinator = createLeaderCoordinator({
		holder, voter: () => own.voter!, terms: {holdMilliseconds: settings.holdMilliseconds, clockDrift: settings.clockDrift}, mostRanges: settings.mostRanges, log, measures,
	});

	const roleHandlers: Readonly<Record<Role, () => void>> = {
		[Role.leader]() {
			observations.clear();
			leaderCoordinator.begin();
		},
		[Role.follower]: leaderCoordinator.end,
		[Role.candidate]: leaderCoordinator.end,
		[Role.learner]: leaderCoordinator.end,
	};

	function leaderAddress(): string | undefined {
		return own.voter?.leader();
	}

	function isFresh(): boolean {
		const now = monotonicNow();
		const {voter, replication} = own;
		return voter !== undefined && replication !== undefined && isRecent({
			now,
			isConfirmedLeader: voter.isLeader() && voter.quorumContactAt(now) !== undefined,
			leaderContactAt: voter.isLeader() || voter.leader() === undefined ? undefined : voter.leaderContactAt(),
			lagMilliseconds: replication.ownLag(),
		});
	}

	/** The last contact with each control instance: by its report or by its answer to a heartbeat of the log, whichever is later. */
	function observedVoters(leading: DirectoryVoter): readonly VoterObservation[] {
		const latest = new Map(observations);
		for (const {member, contactAt} of leading.memberPositions()) {
			const reportedAt = latest.get(keyOfVoter(member))?.lastContactAt ?? -Infinity;
			latest.set(keyOfVoter(member), {voter: member, lastContactAt: Math.max(reportedAt, contactAt)});
		}

		return [...latest.values()];
	}

	async function changeVoters(leading: DirectoryVoter): Promise<void> {
		const voterSet = nextVoterSet({
			now: monotonicNow(), self: leading.identity, voterSet: leading.voterSet(), observations: observedVoters(leading), targetVoterCount: (2 * settings.toleratedLosses) + 1,
		});
		if (voterSet === undefined || isChangingVoters) {
			return;
		}

		isChangingVoters = true;
		const changed = await leading.changeVoters(voterSet);
		isChangingVoters = false;
		log.event(EventName.votersChanged, {
			voters: voterSet.voters.map(({name}) => name).join(','),
			learners: voterSet.learners.map(({name}) => name).join(','),
			outcome: changed.isOk ? 'taken' : changed.error.kind,
			detail: changed.isOk ? undefined : changed.error.detail,
		});
		if (changed.isOk) {
			await changeVoters(leading);
		}
	}

	function recordObservation(identity: VoterIdentity): void {
		observations.set(keyOfVoter(identity), {voter: identity, lastContactAt: monotonicNow()});
		if (own.voter?.isLeader() === true) {
			void changeVoters(own.voter);
		}
	}

	async function callLeader<Call extends MeshCall>(call: Call, request: MeshCalls[Call]['request'], local: () => MeshAnswer<Call>): MeshAnswer<Call> {
		if (own.voter?.isLeader() === true) {
			return local();
		}

		const leader = leaderAddress();
		return leader === undefined ? err(noLeader) : clients.call(leader, call, request, forwardTimeoutMilliseconds);
	}

	async function requireLeader<Answer>(local: () => Promise<Result<Answer, Failure>>): Promise<Result<Answer, Failure>> {
		return own.voter?.isLeader() === true ? local() : err(failure(FailureKind.notLeader, 'this instance does not lead'));
	}

	async function answerAll(announcements: readonly AnnouncementReport[]): Promise<ReadonlyArray<Reply<AnnouncementOutcome>>> {
		const outcomes = await Promise.all(announcements.map(async report => leaderCoordinator.announce(report)));
		return outcomes.map(outcome => outcome.isOk ? {answer: outcome.value} : {failure: outcome.error});
	}

	const announcements = createAnnouncementCoordinator({
		holder,
		isFresh,
		holdMilliseconds: settings.holdMilliseconds,
		forward: createAnnouncementBatcher(async batch => {
			const answered = await callLeader('announce', {announcements: batch}, async () => ok({answers: await answerAll(batch)}));
			return answered.map(({answers}) => answers);
		}),
	});
	/** The overloaded upstreams that the leader last reported. */
	let reportedShares: {readonly shares: readonly HolderShare[]; readonly at: MonotonicTime} = {shares: [], at: -Infinity};

	async function relayTo(leader: string, report: LoadReport): Promise<void> {
		const answer = await clients.call(leader, 'relayLoad', report, relayTimeoutMilliseconds);
		reportedShares = answer.isOk ? {shares: answer.value.shares, at: monotonicNow()} : reportedShares;
	}

	const relay = createLoadRelay(report => {
		const leader = leaderAddress();
		if (own.voter?.isLeader() === true) {
			leaderCoordinator.reportLoad(report);
		} else if (leader !== undefined) {
			void relayTo(leader, report);
		}
	});

	function shares(): readonly HolderShare[] {
		if (own.voter?.isLeader() === true) {
			return leaderCoordinator.shares();
		}

		return monotonicNow() - reportedShares.at <= sharesLifetimeMilliseconds ? reportedShares.shares : [];
	}

	const keepers: RoomKeepers | undefined = settings.sharedRoom === undefined
		? undefined
		: startRoomKeepers({
			holder,
			zone: settings.zone,
			queuePerSlot: settings.sharedRoom.queuePerSlot,
			others: () => (own.voter?.members() ?? []).filter(address => address !== settings.address),
			clients,
			log,
			measures,
		});

	const handlers: MeshHandlers = calls.countReceived({
		async deliver(envelope) {
			return own.voter?.deliver(envelope) ?? err(failure(FailureKind.notReady, 'the voter has not started'));
		},
		async sight({voter: identity, entries}) {
			recordObservation(identity);
			entryCount.record(identity.name, entries, monotonicNow());
			const leader = leaderAddress();
			return ok({members: own.voter?.members() ?? [], entryCount: entryCount.total(), ...(leader === undefined ? {} : {leader})});
		},
		announce: async ({announcements}) => requireLeader(async () => ok({answers: await answerAll(announcements)})),
		depart: async request => requireLeader(async () => leaderCoordinator.depart(request)),
		declare: async request => requireLeader(async () => leaderCoordinator.declare(request)),
		orderZone: async request => requireLeader(async () => leaderCoordinator.orderZone(request)),
		confirm: async () => requireLeader(leaderCoordinator.confirm),
		async reportLoad(report) {
			relay.add(report);
			return ok({});
		},
		async relayLoad(report) {
			leaderCoordinator.reportLoad(report);
			return ok({shares: leaderCoordinator.shares()});
		},
		askPlace: async request => keepers?.askPlace(request) ?? err(noKeeper),
		updatePlaces: async request => keepers?.updatePlaces(request) ?? err(noKeeper),
		tellRoom: async request => keepers?.tellRoom(request) ?? err(noKeeper),
	});

	const coldAssigner = new ColdAssigner(settings.zone, monotonicNow());
	const followers = createFollowers(holder, () => {
		const leader = leaderAddress();
		const sentAt = Math.round(monotonicNow());
		const cold = coldAssigner.assign(holder.state(), followers.changeReceivers(), sentAt);
		return {
			fresh: isFresh(),
			committed: own.voter?.knownCommitted() ?? 0,
			entryCount: entryCount.total(),
			zone: settings.zone,
			shares: shares(),
			members: own.voter?.members() ?? [],
			sentAt,
			...(cold === undefined ? {} : {cold}),
			...(leader === undefined ? {} : {leader}),
		};
	});
	const server = await startMeshServer(settings.address, handlers, followers.add);
	if (server.isErr) {
		throw new FailureError(server.error);
	}

	const running = await startDirectoryVoter({
		settings,
		holder,
		clients,
		log,
		measures,
		roleChanged(role) {
			roleHandlers[role]();
			measures.set(MeasureName.leader, role === Role.leader ? 1 : 0);
		},
		failed,
	});
	own.voter = running;
	const replication = startReplicationWatch({
		holder, voter: running, log, measures,
	});
	own.replication = replication;
	const load = startLoadWatch(log, measures, calls.sinceLast);

	async function reportLiveness(): Promise<void> {
		const report = {voter: running.identity, entries: followers.names()};
		if (running.isLeader()) {
			recordObservation(running.identity);
			entryCount.record(settings.address, report.entries, monotonicNow());
			return;
		}

		const leader = leaderAddress();
		const others = [...new Set([...seeds, ...running.members()])].filter(address => address !== settings.address);
		const recipients = leader === undefined ? others : [leader];
		const answers = await Promise.all(recipients.map(async address => clients.call(address, 'sight', report, livenessTimeoutMilliseconds)));
		entryCount.adoptTotal(answers.flatMap(answer => answer.isOk && answer.value.leader === leader ? [answer.value.entryCount] : []));
		const reportedLeaders = answers.flatMap(answer => answer.isOk && answer.value.leader !== undefined ? [answer.value.leader] : []);
		const newLeaders = reportedLeaders.filter(address => !recipients.includes(address) && address !== settings.address);
		await Promise.all([...new Set(newLeaders)].map(async address => clients.call(address, 'sight', report, livenessTimeoutMilliseconds)));
	}

	const livenessTimer = setInterval(() => {
		void reportLiveness();
	}, livenessIntervalMilliseconds);

	async function waitForApplied(index: LogIndex): Promise<Result<undefined, Failure>> {
		const until = monotonicNow() + catchUpTimeoutMilliseconds;
		while (holder.state().applied < index) {
			if (monotonicNow() > until) {
				return err(failure(FailureKind.notReady, 'this instance has not caught up yet'));
			}

			await pause(pollMilliseconds);
		}

		return ok(undefined);
	}

	async function waitForHandOver(): Promise<void> {
		const until = monotonicNow() + handOverTimeoutMilliseconds;
		running.handOver();
		while (running.isLeader() && monotonicNow() < until) {
			await pause(pollMilliseconds);
		}
	}

	return {
		async announce(announcement) {
			const startedAt = monotonicNow();
			const answer = await announcements.announce(announcement);
			measures.counter(MeasureName.announcements, {outcome: answer.isOk ? 'taken' : answer.error.kind}).value += 1;
			recordDuration(measures.histogram(MeasureName.announcementLatency, {}), monotonicNow() - startedAt);
			return answer;
		},
		depart: async incarnation => callLeader('depart', {life: incarnation}, async () => leaderCoordinator.depart({life: incarnation})),
		declare: async changes => callLeader('declare', {changes}, async () => leaderCoordinator.declare({changes})),
		async orderZone(kind, zone) {
			const request = {order: {kind, zone, seen: holder.state().applied}};
			return settings.zones.includes(zone)
				? callLeader('orderZone', request, async () => leaderCoordinator.orderZone(request))
				: err(failure(FailureKind.notFound, `there is no availability zone ${zone}`));
		},
		async readItems() {
			const confirmed = await callLeader('confirm', {}, leaderCoordinator.confirm);
			if (confirmed.isErr) {
				return err(confirmed.error);
			}

			const caughtUp = await waitForApplied(confirmed.value.index);
			return caughtUp.map(() => holder.state().items);
		},
		addSeeds(addresses) {
			seeds = [...new Set([...seeds, ...addresses])];
		},
		async stop() {
			clearInterval(livenessTimer);
			if (running.isLeader()) {
				await waitForHandOver();
			}

			leaderCoordinator.end();
			keepers?.stop();
			relay.stop();
			replication.stop();
			load.stop();
			followers.stop();
			await running.stop();
			server.value.close();
			clients.close();
		},
	};
}
