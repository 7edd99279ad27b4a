/**
 * The request log: counters and latencies for all requests, and log lines for
 * failures and answers, each limited to a number of lines a second.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {LineBudget} from '@dogwooddeck/telemetry/line-budget';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures, recordDuration} from '@dogwooddeck/telemetry/measure';
import {type CachedUpstream} from './service-table.js';

/** The request that a log line is about. */
export type LoggedRequest = {readonly identifier: string | undefined; readonly arrivedAt: MonotonicTime};

/** A request whose upstream's answer was forwarded to the caller. */
export type AnsweredRequest = {
	readonly request: LoggedRequest;
	readonly upstream: CachedUpstream;
	readonly service: string;
	readonly route: string;
	/** 0 if the answer was streamed. */
	readonly status: number;
	readonly attempts: number;
};

/** A request that the instance refused. */
export type RefusedRequest = {
	readonly request: LoggedRequest;
	readonly refusal: string;
	readonly status: number;
	readonly service: string | undefined;
	readonly route: string | undefined;
	readonly key: number | undefined;
	readonly attempts: number;
	/** The number of requests that wait for the service. */
	readonly waiting: number;
	/** How long the request would have waited behind others, and for its key's pace, if that was too long. */
	readonly lineWait: Milliseconds | undefined;
	readonly paceWait: Milliseconds | undefined;
};

/** An attempt that yielded no answer to forward. */
export type FailedAttempt = {
	readonly request: LoggedRequest;
	readonly upstream: CachedUpstream;
	readonly observation: string;
	/** The status of the upstream's refusal; 0 if it did not refuse. */
	readonly status: number;
	readonly milliseconds: Milliseconds;
	/** The time that remained until the request's deadline. */
	readonly left: Milliseconds;
};

/** Records the results of requests and attempts. */
export type RequestLog = {
	readonly answered: (request: AnsweredRequest) => void;
	readonly refused: (request: RefusedRequest) => void;
	readonly attemptFailed: (attempt: FailedAttempt) => void;
};

/** The maximum numbers of log lines a second for failed and for answered requests: writing them costs processor time. */
const failureLinesPerSecond = 40;
const answerLinesPerSecond = 10;

/** How often the number of omitted lines is logged. */
const droppedReportMilliseconds: Milliseconds = 5000;

function rounded(milliseconds: Milliseconds | undefined): Milliseconds | undefined {
	return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** Creates the request log. `applied` returns the log index of the directory that decisions are based on. */
export function createRequestLog(log: Log, measures: Measures, applied: () => number): RequestLog {
	const failures = new LineBudget(failureLinesPerSecond);
	const answers = new LineBudget(answerLinesPerSecond);
	const droppedReportTimer = setInterval(() => {
		const dropped = failures.takeDropped() + answers.takeDropped();
		if (dropped > 0) {
			log.event(EventName.linesDropped, {count: dropped});
		}
	}, droppedReportMilliseconds);
	droppedReportTimer.unref();

	return {
		answered({request, upstream, service, route, status, attempts}) {
			const now = monotonicNow();
			measures.counter(MeasureName.requests, {service, outcome: `answered-${Math.floor(status / 100)}xx`}).value += 1;
			recordDuration(measures.histogram(MeasureName.latency, {service}), now - request.arrivedAt);
			if (answers.take(now)) {
				log.event(EventName.requestAnswered, {
					request: request.identifier,
					route,
					service,
					upstream: upstream.id,
					distance: upstream.distance,
					underWay: upstream.load.inFlight,
					allowance: upstream.load.concurrencyLimit,
					status,
					attempts,
					took: Math.round(now - request.arrivedAt),
					applied: applied(),
				});
			}
		},
		refused({
			request, refusal, status, service, route, key, attempts, waiting, lineWait, paceWait,
		}) {
			const now = monotonicNow();
			measures.counter(MeasureName.requests, {service: service ?? 'none', outcome: refusal}).value += 1;
			if (failures.take(now)) {
				log.warning(EventName.requestRefused, {
					request: request.identifier,
					route,
					service,
					key,
					refusal,
					status,
					attempts,
					waiting,
					lineWait: rounded(lineWait),
					paceWait: rounded(paceWait),
					took: Math.round(now - request.arrivedAt),
					applied: applied(),
				});
			}
		},
		attemptFailed({request, upstream, observation, status, milliseconds, left}) {
			const now = monotonicNow();
			measures.counter(MeasureName.attempts, {service: upstream.record.service, seen: observation}).value += 1;
			if (failures.take(now)) {
				log.warning(EventName.attemptFailed, {
					request: request.identifier,
					upstream: upstream.id,
					address: upstream.record.address,
					seen: observation,
					status,
					took: Math.round(milliseconds),
					left: Math.round(left),
					underWay: upstream.load.inFlight,
					allowance: upstream.load.concurrencyLimit,
					applied: applied(),
				});
			}
		},
	};
}
