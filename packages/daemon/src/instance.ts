/**
 * Composes an instance: creates its components, wires them together, and starts
 * and stops them in order.
 */
import {wallNow} from '@dogwooddeck/clock/monotonic';
import {startCallerServer} from '@dogwooddeck/front/caller-server';
import {startOperatorServer} from '@dogwooddeck/front/operator-server';
import {type FrontServer} from '@dogwooddeck/front/api';
import {createEvidenceRecorder} from '@dogwooddeck/membership/evidence';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {createInFlightTracker} from '@dogwooddeck/ownership/drain';
import {defaultLeaseTerms} from '@dogwooddeck/ownership/terms';
import {createSlotHash} from '@dogwooddeck/placement/hash';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';
import {holdFolder} from '@dogwooddeck/storage/lock';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {createMeasures, MeasureName} from '@dogwooddeck/telemetry/measure';
import {createUpstreamClient} from '@dogwooddeck/upstream-client/client';
import {createPeerClients} from '@dogwooddeck/wire/client';
import {type PeerServer, startPeerServer} from '@dogwooddeck/wire/server';
import {ok} from 'true-myth/result';
import {type ControlVoter} from './control-voter.js';
import {createCallerHandler} from './caller-handler.js';
import {createAnnouncementHandler} from './announcements.js';
import {startBurnRunner} from './burn-runner.js';
import {ClaimSubject} from './claim-peers.js';
import {startClaimRunner} from './claim-runner.js';
import {createControlHolder} from './control-holder.js';
import {startControl} from './control-runner.js';
import {createInstanceStatus} from './instance-status.js';
import {createLimiter} from './limiter.js';
import {createOperatorApi, parseMemberReport} from './operator-api.js';
import {startLocalVoter} from './local-voter.js';
import {createPeerHandlers} from './peer-service.js';
import {shutDownGracefully} from './graceful-shutdown.js';
import {createReportCollector} from './report-collector.js';
import {createRequestMeasures} from './request-measures.js';
import {createRequestPath} from './request-path.js';
import {type InstanceSettings, isVoter} from './settings.js';
import {unwrapOrThrow} from './unwrap-or-throw.js';
import {startZone, type ZoneRunner} from './zone-runner.js';

/** A running instance. */
export type Instance = {
	/** Shuts down gracefully, without closing a request in flight early. Resolves when the instance has stopped. */
	readonly stop: () => Promise<void>;
};

const collectTimeoutMilliseconds: Milliseconds = 500;
const connectTimeoutMilliseconds: Milliseconds = 1000;
const idleMilliseconds: Milliseconds = 30_000;
function recordOf({name, region, zone, addresses}: InstanceSettings): InstanceRecord {
	return {
		name,
		incarnation: wallNow(),
		region,
		zone,
		peerAddress: addresses.peers,
		callerAddress: addresses.callers,
		operatorAddress: addresses.operators,
	};
}

/**
 * Starts an instance. `storageFailed` is called when its durable state can't be
 * written. Throws a `FailureError` when one of its components can't start.
 */
export async function startInstance(settings: InstanceSettings, log: Log, storageFailed: (failure: Failure) => void): Promise<Instance> {
	const terms = defaultLeaseTerms;
	const self = recordOf(settings);
	const identity = {name: self.name, incarnation: self.incarnation};
	const hash = await createSlotHash();
	const textHash = await loadTextHash();
	const holder = createControlHolder();
	const clients = createPeerClients(settings.keys.peer);
	const inFlightTracker = createInFlightTracker(terms);
	const evidence = createEvidenceRecorder();
	const measures = createMeasures();
	const requestMeasures = createRequestMeasures(measures);
	const limiter = createLimiter(self, () => {
		zone.rearmTimer();
	});
	const ownReports = createReportCollector(identity, () => evidence.take(), () => limiter.takeDemands());
	const zoneReports = createReportCollector(identity, () => [], () => []);
	const claims = startClaimRunner(identity, holder, clients, textHash);
	let voter: ControlVoter | undefined;
	let requestsEndAt: MonotonicTime = Infinity;
	let stopping = false;

	const control = startControl({
		settings, terms, hash, holder, clients, log, voter: () => voter,
	});
	const zone: ZoneRunner = startZone({
		self,
		terms,
		holder,
		control,
		clients,
		inFlightTracker,
		ownReports,
		zoneReports,
		acceptShares(shares) {
			limiter.applyShares(shares);
		},
		isWaitingForShares: () => limiter.lacksShares(),
		log,
	});

	const instanceStatus = createInstanceStatus({
		self, holder, control, zone, voter: () => voter, isStopping: () => stopping, measures,
	});
	const operatorApi = createOperatorApi({
		holder,
		control,
		status: instanceStatus.status,
		async requestMemberReport(record) {
			const answer = await clients.call(record.peerAddress, 'collect', 'member', collectTimeoutMilliseconds);
			return answer.isOk ? parseMemberReport(answer.value) : undefined;
		},
		announce: createAnnouncementHandler({
			holder,
			key: settings.keys.announce,
			isStopping: () => stopping,
			accept(announcement) {
				measures.counter(MeasureName.announcements, {service: announcement.service}).value += 1;
				ownReports.recordAnnouncement(announcement);
			},
		}),
		burn: async () => ok(await burn.input()),
	});

	const {dataFolder} = settings.control;
	const burnLock = dataFolder === undefined || isVoter(settings) ? undefined : await holdFolder(dataFolder);
	const burn = await startBurnRunner({
		name: settings.name,
		holder,
		...(dataFolder === undefined ? {} : {folder: dataFolder}),
		async requestCounts(record) {
			const answer = await clients.call(record.peerAddress, 'collect', 'burn', collectTimeoutMilliseconds);
			return answer.isOk ? answer.value : undefined;
		},
	});
	const client = createUpstreamClient({connectTimeoutMilliseconds, idleMilliseconds});
	const requestPath = createRequestPath({
		name: settings.name,
		zone: settings.zone,
		holder,
		lease: zone.lease,
		endsAt: () => requestsEndAt,
		inFlightRequests: inFlightTracker,
		evidence: {
			...evidence,
			started(upstream) {
				evidence.started(upstream);
				burn.sent(upstream);
			},
		},
		reports: ownReports,
		claims,
		limiter,
		hash,
		requestEnded(service, opened, report) {
			if (opened !== undefined) {
				burn.record(opened.target.contract, opened.idempotent, report);
			}

			requestMeasures.record(service, report);
			if (report.failure !== undefined) {
				log.event(EventName.requestFailed, {service, failure: report.failure.kind, outcome: report.outcome});
			}
		},
	});

	const peers: PeerServer = unwrapOrThrow(await startPeerServer(settings.addresses.peers, settings.keys.peer, createPeerHandlers({
		ownZone: self.zone,
		holder,
		control,
		zone: () => zone,
		claims,
		voter: () => voter,
		collectors: {
			member: () => JSON.stringify(instanceStatus.member()),
			burn: () => JSON.stringify(burn.ownCounts()),
			[ClaimSubject.report]: () => JSON.stringify(claims.report()),
			[ClaimSubject.view]: () => JSON.stringify(claims.view() ?? null),
		},
	})));
	const operators: FrontServer = unwrapOrThrow(await startOperatorServer(settings.addresses.operators, operatorApi, instanceStatus));
	const callers: FrontServer = unwrapOrThrow(await startCallerServer(settings.addresses.callers, createCallerHandler(client, requestPath, () => stopping)));
	if (isVoter(settings)) {
		voter = await startLocalVoter({
			settings, self: identity, holder, control, clients, log, storageFailed,
		});
	}

	log.event(EventName.instanceStarted, {
		region: settings.region, zone: settings.zone, callers: callers.address, operators: operators.address, peers: peers.address,
	});

	return {
		async stop() {
			stopping = true;
			await shutDownGracefully({
				durations: settings.stop,
				log,
				voter,
				zone,
				seatCount: () => holder.state().ownership.rosters[self.zone]?.members.length ?? 0,
				callers,
				limitRequestsTo(end) {
					requestsEndAt = end;
				},
				claims,
				operators,
				control,
				burn,
				releaseFolder: async () => burnLock?.release(),
				client,
				peers,
				clients,
			});
		},
	};
}
