/**
 * What a program puts together to forward requests.
 */
import {type UpstreamClient} from './client.js';
import {type OpenedRequest, type RequestOwner, type RequestPath} from './request-path.js';

/** What forwards requests: the client of the upstreams and the decisions around a request. */
export type Forwarder<Opened extends OpenedRequest, Owner extends RequestOwner> = {
	readonly client: UpstreamClient;
	readonly path: RequestPath<Opened, Owner>;
};
