/**
 * The log of second sends: counters of all decisions, and lines for those that were
 * made, limited to a number a second.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {SecondSendVerdict} from '@dogwooddeck/gateway/second-send';
import {EventName} from '@dogwooddeck/telemetry/event';
import {LineBudget} from '@dogwooddeck/telemetry/line-budget';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {type LoggedRequest} from './request-log.js';
import {type CachedUpstream} from './service-table.js';

/** A decision about a second send that was due. */
export type SecondSendDecided = {
	readonly request: LoggedRequest;
	readonly service: string;
	readonly route: string;
	/** The upstream whose answer is late. */
	readonly first: CachedUpstream;
	/** The idle upstream; undefined if there is none. */
	readonly second: CachedUpstream | undefined;
	readonly verdict: SecondSendVerdict;
};

/** Records second sends. */
export type SecondSendLog = {
	readonly decided: (decided: SecondSendDecided) => void;
	/** Records that the second attempt answered while the first one was still running. */
	readonly answered: (service: string) => void;
};

/** The maximum number of log lines a second. */
const linesPerSecond = 10;

/** Creates the log. `applied` returns the log index of the directory that decisions are based on. */
export function createSecondSendLog(log: Log, measures: Measures, applied: () => number): SecondSendLog {
	const lines = new LineBudget(linesPerSecond);
	return {
		decided({
			request, service, route, first, second, verdict,
		}) {
			const now = monotonicNow();
			measures.counter(MeasureName.secondSends, {service, verdict}).value += 1;
			if (verdict === SecondSendVerdict.send && lines.take(now)) {
				log.event(EventName.secondSent, {
					request: request.identifier,
					route,
					service,
					first: first.id,
					second: second?.id,
					distance: second?.distance,
					after: Math.round(now - request.arrivedAt),
					omitted: lines.takeDropped(),
					applied: applied(),
				});
			}
		},
		answered(service) {
			measures.counter(MeasureName.secondAnswers, {service}).value += 1;
		},
	};
}
