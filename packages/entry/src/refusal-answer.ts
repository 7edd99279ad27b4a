/**
 * Answers a request without an upstream, and logs why.
 */
import {Buffer} from 'node:buffer';
import {retryDelay} from '@dogwooddeck/gateway/refusal';
import {type NamedRoute} from '@dogwooddeck/gateway/route-table';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type CallerExchange} from './caller-exchange.js';
import {notRunStatus, type Refusal, refusalStatus} from './refusals.js';
import {type LoggedRequest, type RequestLog} from './request-log.js';
import {type CachedService} from './service-table.js';
import {type FieldNames} from './settings.js';
import {type WaitEstimate} from './upstream-choice.js';

/** What a refusal depends on. */
export type RefusalDependencies = {
	readonly fields: FieldNames;
	readonly requestLog: RequestLog;
	/** Returns numbers between 0 and 1. */
	readonly random: () => number;
};

/** The request that is refused, as far as it is known. */
export type RefusedExecution = LoggedRequest & {
	readonly exchange: CallerExchange;
	readonly route: NamedRoute | undefined;
	readonly service: CachedService | undefined;
	readonly key: number | undefined;
	readonly attempts: number;
	/** Whether an attempt may have run the request. */
	readonly mayHaveRun: boolean;
};

/** Why a wait would have been too long. */
export type RefusalDetails = Partial<Pick<WaitEstimate, 'lineWait' | 'paceWait'>> & {
	/** The rest of the pause that the upstreams asked for. */
	readonly pauseMilliseconds?: Milliseconds;
};

/** The latency objective that is assumed before the route is known. */
const defaultObjectiveMilliseconds: Milliseconds = 1000;

/** Answers without an upstream. A status that means "not run" is sent only if that is certain. */
export function answerRefusal({fields, requestLog, random}: RefusalDependencies, request: RefusedExecution, refusal: Refusal, {lineWait, paceWait, pauseMilliseconds = 0}: RefusalDetails): void {
	const {exchange, identifier, route, service, key, attempts, mayHaveRun} = request;
	const status = refusalStatus(refusal, mayHaveRun);
	const pause = pauseMilliseconds + retryDelay(route?.objectiveMilliseconds ?? defaultObjectiveMilliseconds, random());
	const identified = identifier === undefined ? [] : [fields.requestIdentifier, identifier];
	const retry = status === notRunStatus ? ['Retry-After', (pause / 1000).toFixed(3)] : [];
	exchange.answer(status, ['Content-Type', 'text/plain', ...identified, ...retry], Buffer.from(`${refusal}\n`));
	requestLog.refused({
		request,
		refusal,
		status,
		service: service?.name,
		route: route?.name,
		key,
		attempts,
		waiting: service?.queue.length ?? 0,
		lineWait,
		paceWait,
		pauseWait: pauseMilliseconds === 0 ? undefined : pauseMilliseconds,
	});
}
