/**
 * Connects the server for callers to the forwarder.
 */
import {type CallerHandler} from '@dogwooddeck/front/api';
import {acceptRequest} from '@dogwooddeck/front/last-answer';
import {type UpstreamClient} from '@dogwooddeck/upstream-client/client';
import {forward} from '@dogwooddeck/upstream-client/forward';
import {type RequestPath} from '@dogwooddeck/upstream-client/request-path';
import {type ParsedRequest, type Owner} from './request-path.js';

/** Creates the handler of callers' requests. While the instance is stopping, responses ask callers to close their connections. */
export function createCallerHandler(client: UpstreamClient, path: RequestPath<ParsedRequest, Owner>, stopping: () => boolean): CallerHandler {
	const forwarder = {client, path};
	return (request, response) => {
		if (acceptRequest(response, stopping())) {
			forward(forwarder, request, response);
		}
	};
}
