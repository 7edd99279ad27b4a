/**
 * The request log: counters and latencies for all requests, and log lines for
 * failures and answers, each limited to a number of lines a second.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Notice} from '@dogwooddeck/gateway/upstream-notice';
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
	/** The rest of the pause that the upstreams asked for, if that was too long. */
	readonly pauseWait: Milliseconds | undefined;
};

/** A notice in an upstream's answer to a request. */
export type UpstreamNoticed = {
	readonly request: LoggedRequest;
	readonly upstream: CachedUpstream;
	readonly notice: Notice;
	/** Whether it changes what this instance sends to the upstream, or is the first unreadable one of its incarnation. */
	readonly changes: boolean;
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
	readonly noticed: (noticed: UpstreamNoticed) => void;
};

/** The maximum numbers of log lines a second for failed and for answered requests: writing them costs processor time. */
const failureLinesPerSecond = 40;
const answerLinesPerSecond = 10;
const noticeLinesPerSecond = 40;

/** How much of an unreadable value is logged. */
const maximumLoggedCharacters = 40;

/** How often the number of omitted lines is logged. */
const droppedReportMilliseconds: Milliseconds = 5000;

function rounded(milliseconds: Milliseconds | undefined): Milliseconds | undefined {
	return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** Creates the request log. `applied` returns the log index of the directory that decisions are based on. */
export function createRequestLog(log: Log, measures: Measures, applied: () => number): RequestLog {
	const failures = new LineBudget(failureLinesPerSecond);
	const answers = new LineBudget(answerLinesPerSecond);
	const notices = new LineBudget(noticeLinesPerSecond);
	const droppedReportTimer = setInterval(() => {
		const dropped = failures.takeDropped() + answers.takeDropped() + notices.takeDropped();
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
			request, refusal, status, service, route, key, attempts, waiting, lineWait, paceWait, pauseWait,
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
					pauseWait: rounded(pauseWait),
					took: Math.round(now - request.arrivedAt),
					applied: applied(),
				});
			}
		},
		noticed({
			request, upstream, notice, changes,
		}) {
			const now = monotonicNow();
			measures.counter(MeasureName.notices, {service: upstream.record.service, kind: notice.kind}).value += 1;
			if (changes && notices.take(now)) {
				const {pausedUntil} = upstream.notices;
				log.event(EventName.upstreamNoticed, {
					request: request.identifier,
					upstream: upstream.id,
					incarnation: upstream.record.born,
					address: upstream.record.address,
					notice: notice.kind,
					field: notice.kind === 'unreadable' ? notice.field : undefined,
					value: notice.kind === 'unreadable' ? notice.value.slice(0, maximumLoggedCharacters) : undefined,
					pausedFor: pausedUntil > now ? Math.round(pausedUntil - now) : undefined,
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
