/**
 * Forwards one caller's request and streams the answer straight to the caller,
 * for a raw handler of any HTTP server of Node.js.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {httpStatusOf} from '@dogwooddeck/routing/outcome';
import {type Forwarder} from './forwarder.js';
import {Forwarding} from './forwarding.js';
import {outcomeOfRefusedHead, writeProblem} from './problem.js';
import {type OpenedRequest, type RequestOwner, type RequestPath} from './request-path.js';

/** In HTTP/1.0 a truncated answer can't be told from a complete one that has no length. */
const unsupportedVersion = failure(FailureKind.malformed, 'HTTP/1.1 is needed');

function refuseHead<Opened extends OpenedRequest, Owner extends RequestOwner>(path: RequestPath<Opened, Owner>, response: ServerResponse, why: Failure): void {
	const status = httpStatusOf(why.kind);
	const outcome = outcomeOfRefusedHead(response.req.headers);
	writeProblem(response, why, status, outcome);
	path.requestEnded(undefined, {
		outcome, status, failure: why, latencyMilliseconds: 0, attempts: 0, bodyBytes: 0,
	});
}

/** Forwards one request. The response must be unused, and nothing else may write to it from this call on. */
export function forward<Opened extends OpenedRequest, Owner extends RequestOwner>(forwarder: Forwarder<Opened, Owner>, request: IncomingMessage, response: ServerResponse): void {
	if (request.httpVersionMinor === 0) {
		refuseHead(forwarder.path, response, unsupportedVersion);
		return;
	}

	forwarder.path.open({method: request.method!, path: request.url!, headers: request.headers}).match({
		Ok(opened) {
			new Forwarding(forwarder, opened, request, response).begin();
		},
		Err(why) {
			refuseHead(forwarder.path, response, why);
		},
	});
}
