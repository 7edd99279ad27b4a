/**
 * An entry instance: accepts callers' requests, follows the directory, serves a
 * readiness check, and shuts down gracefully, without aborting requests.
 */
import {createServer, type Server} from 'node:http';
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {limitsName} from '@dogwooddeck/directory/item';
import {AnswerBuffering} from '@dogwooddeck/gateway/answer-buffering';
import {BodyBuffering} from '@dogwooddeck/gateway/body-buffering';
import {peerLimitsOf} from '@dogwooddeck/gateway/peer-memory';
import {ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {createMeshClients} from '@dogwooddeck/mesh/client';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {startLoadWatch} from '@dogwooddeck/telemetry/load-watch';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {type CallerServer, startCallerServer} from './caller-server.js';
import {followDirectory} from './directory-follower.js';
import {createEvacuationLog} from './evacuation-log.js';
import {startLoadReporter} from './load-reporter.js';
import {LoopDelayGuard, turnIntervalMilliseconds} from './loop-delay-guard.js';
import {createPeerLog} from './peer-guard.js';
import {createThrottleLog} from './throttle-log.js';
import {createRequestLog} from './request-log.js';
import {RequestExecution, type RequestDependencies} from './request-execution.js';
import {createSecondSendLog} from './second-send-log.js';
import {type CachedService, ServiceTable} from './service-table.js';
import {type EntrySettings} from './settings.js';
import {SharedRoom} from './shared-room.js';

/** A running entry instance. */
export type Entry = {
	/** Follows further control instances, when the settings add addresses. */
	readonly followAlso: (addresses: readonly string[]) => void;
	/** Shuts down within the grace period. */
	readonly stop: () => Promise<void>;
};

/** What an entry instance depends on. */
export type EntryDependencies = {
	readonly settings: EntrySettings;
	readonly log: Log;
	readonly measures: Measures;
	/** Returns numbers between 0 and 1. */
	readonly random: () => number;
};

/** The interval at which connections are checked for endless data: short enough, against deadlines of a second, that reading such data takes little processor time. */
const closeEndlessMilliseconds: Milliseconds = 100;

/** How long kept-alive connections stay in use after a stop is requested: the balancer checks readiness each second and removes an instance after two failed checks. */
const drainMilliseconds: Milliseconds = 2500;
const closeIdleMilliseconds: Milliseconds = 100;

/** Reserved at the end of the grace period. */
const stopMarginMilliseconds: Milliseconds = 700;

/** The part of that margin in which the last refusals, of requests that still waited, are sent. */
const lastAnswersMilliseconds: Milliseconds = 200;

function startReadiness({readiness}: EntrySettings, isReady: () => boolean): Server {
	const server = createServer((request, response) => {
		const status = isReady() ? 200 : 503;
		response.writeHead(request.url === readiness.path ? status : 404, {'content-length': 0});
		response.end();
	});
	server.listen(readiness.port, readiness.host);
	return server;
}

/** Starts an entry instance. */
export async function startEntry({settings, log, measures, random}: EntryDependencies): Promise<Entry> {
	const clients = createMeshClients();
	const follower = followDirectory({
		name: settings.name, zone: settings.zone, regions: settings.regions, seeds: settings.seeds, clients, log,
	});
	const throttle = new ReadThrottle(createThrottleLog(log, measures));
	const table = new ServiceTable(settings, random, throttle);
	table.cold.connect({
		fractionOf: follower.coldFractionOf,
		contactAt: follower.contactAt,
		entryCount: follower.entryCount,
		onSend(service) {
			measures.counter(MeasureName.coldRequests, {service}).value += 1;
		},
	});
	const reporter = startLoadReporter(clients, follower.nearest);
	let isStopping = false;
	let endsAt: MonotonicTime = Infinity;
	let wasReady = false;

	const loopDelayGuard = new LoopDelayGuard();

	function advance(service: CachedService): void {
		if (service.queue.length > 0) {
			loopDelayGuard.afterPendingReads(() => {
				service.queue.advance(monotonicNow());
			});
		}
	}

	function advanceAll(): void {
		for (const service of table.services()) {
			advance(service);
		}
	}

	const assumedPosition = settings.sharedRoom === undefined ? 0 : random();
	const sharedRoom = settings.sharedRoom === undefined
		? undefined
		: new SharedRoom({
			entry: `${settings.name}/${wallNow()}`,
			zone: settings.zone,
			queuePerSlot: settings.sharedRoom.queuePerSlot,
			entryCount: follower.entryCount,
			controlOf: follower.controlOf,
			assumed() {
				const count = Math.max(1, Math.ceil(follower.entryCount() / Math.max(1, Object.keys(settings.regions).length)));
				return {position: Math.floor(assumedPosition * count), count};
			},
			clients,
			log,
			measures,
		});
	const peerLimits = peerLimitsOf(settings.machine);
	const hasRoutes = () => table.routes.size > 0;
	const dependencies: RequestDependencies = {
		table,
		fields: settings.fields,
		requestLog: createRequestLog(log, measures, () => follower.state().applied),
		isReady: hasRoutes,
		limits: () => follower.state().items.limits[limitsName]?.value,
		entryCount: follower.entryCount,
		buffering: new AnswerBuffering(peerLimits.bufferedAnswersBytes),
		bodyBuffering: new BodyBuffering(peerLimits.bodiesBytes, peerLimits.shortBodiesBytes),
		countKey: reporter.count,
		countAnswer: reporter.recordAnswer,
		advance,
		afterPendingReads(callback) {
			loopDelayGuard.afterPendingReads(callback);
		},
		endsAt: () => endsAt,
		shareOf: follower.shareOf,
		keyShareOf: follower.keyShareOf,
		random,
		...(settings.secondSends === undefined ? {} : {secondSendLog: createSecondSendLog(log, measures, () => follower.state().applied)}),
		sharedRoom,
	};
	const callers: CallerServer = await startCallerServer(settings.callers, {
		onRequest(exchange, path) {
			new RequestExecution(dependencies, exchange, path).start();
		},
		keepsConnection: () => !isStopping,
		limits: peerLimits,
		peerLog: createPeerLog(log, measures),
		throttle,
	});

	function isReady(): boolean {
		return hasRoutes() && follower.isConfirmed() && !isStopping;
	}

	function reportReadiness(): void {
		const ready = isReady();
		if (ready !== wasReady) {
			wasReady = ready;
			log.event(ready ? EventName.instanceReady : EventName.instanceNotReady, {applied: follower.state().applied});
			measures.set(MeasureName.ready, ready ? 1 : 0);
		}
	}

	const logEvacuations = createEvacuationLog(log, measures);
	follower.listen(state => {
		table.update(state, follower.entryCount(), follower.currentAt());
		logEvacuations(state);
		callers.setLimits(dependencies.limits());
		measures.set(MeasureName.applied, state.applied);
		reportReadiness();
		advanceAll();
	});
	// Needed beside events: backoffs of upstreams end, and waiting requests time out.
	const advanceTimer = setInterval(() => {
		loopDelayGuard.recordTurn();
		advanceAll();
	}, turnIntervalMilliseconds);
	const load = startLoadWatch(log, measures);
	const closeEndlessTimer = setInterval(() => {
		table.closeEndless();
	}, closeEndlessMilliseconds);
	const readiness = startReadiness(settings, isReady);

	return {
		followAlso: follower.followAlso,
		async stop() {
			endsAt = monotonicNow() + settings.graceMilliseconds - stopMarginMilliseconds;
			isStopping = true;
			sharedRoom?.endWaits();
			reportReadiness();
			await pause(drainMilliseconds);
			callers.stopListening();
			while (callers.connections() > 0 && monotonicNow() < endsAt + lastAnswersMilliseconds) {
				callers.closeIdle();
				await pause(closeIdleMilliseconds);
			}

			if (callers.openRequests() > 0) {
				log.warning(EventName.requestsCutOff, {open: callers.openRequests(), waiting: [...table.services()].reduce((sum, {queue}) => sum + queue.length, 0)});
			}

			clearInterval(advanceTimer);
			clearInterval(closeEndlessTimer);
			load.stop();
			follower.stop();
			reporter.stop();
			sharedRoom?.stop();
			callers.closeAll();
			table.close();
			clients.close();
			readiness.close();
		},
	};
}
