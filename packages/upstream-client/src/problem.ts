/**
 * How a caller is told a failure: an `application/problem+json` body with the
 * failure's kind and what is known of the request's outcome.
 */
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {type Failure} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {Outcome} from '@dogwooddeck/model/outcome';

const millisecondsPerSecond = 1000;

/** The body of a problem. */
export type Problem = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly kind: Failure['kind'];
	readonly outcome: Outcome;
};

/** The problem for a failure. */
export function problemOf(failure: Failure, status: number, outcome: Outcome): Problem {
	return {
		type: `urn:dogwooddeck:${failure.kind}`, title: failure.kind, status, detail: failure.detail, kind: failure.kind, outcome,
	};
}

/** The outcome of a request that is refused for its head. With an operation key nobody has asked yet whether an earlier send of the operation ran. */
export function outcomeOfRefusedHead(headers: IncomingHttpHeaders): Outcome {
	return headers[HeaderName.idempotencyKey] === undefined ? Outcome.notRun : Outcome.unknown;
}

/** Writes a whole problem answer. A connection whose request was not read to its end is closed after it. */
export function writeProblem(response: ServerResponse, failure: Failure, status: number, outcome: Outcome): void {
	const body = JSON.stringify(problemOf(failure, status, outcome));
	const headers = ['content-type', 'application/problem+json', 'content-length', String(new TextEncoder().encode(body).length), HeaderName.outcome, outcome];
	if (failure.retryAfterMilliseconds !== undefined) {
		headers.push('retry-after', String(Math.ceil(failure.retryAfterMilliseconds / millisecondsPerSecond)));
	}

	if (!response.req.complete) {
		headers.push('connection', 'close');
	}

	response.writeHead(status, headers).end(body);
}
