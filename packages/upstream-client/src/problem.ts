/**
 * Reports a failure to a caller as an `application/problem+json` body with the
 * failure's kind and the request's outcome as far as it is known.
 */
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {type Failure} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {Outcome} from '@dogwooddeck/model/outcome';

const millisecondsPerSecond = 1000;

/** The body of a problem answer. */
export type Problem = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly kind: Failure['kind'];
	readonly outcome: Outcome;
};

/** Returns the problem body for a failure. */
export function problemOf(failure: Failure, status: number, outcome: Outcome): Problem {
	return {
		type: `urn:dogwooddeck:${failure.kind}`, title: failure.kind, status, detail: failure.detail, kind: failure.kind, outcome,
	};
}

/** Returns the outcome of a request that is refused because of its head. With an operation key it is unknown, since no lookup has shown yet whether an earlier send of the operation ran. */
export function outcomeOfRefusedHead(headers: IncomingHttpHeaders): Outcome {
	return headers[HeaderName.idempotencyKey] === undefined ? Outcome.notRun : Outcome.unknown;
}

/** Writes a complete problem answer. If the request was not read to its end, the connection is closed afterwards. */
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
