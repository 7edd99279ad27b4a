/**
 * The components that a program assembles to forward requests.
 */
import {type UpstreamClient} from './client.js';
import {type OpenedRequest, type RequestOwner, type RequestPath} from './request-path.js';

/** The client that sends requests to upstreams, and the decisions and records for each request. */
export type Forwarder<Opened extends OpenedRequest, Owner extends RequestOwner> = {
	readonly client: UpstreamClient;
	readonly path: RequestPath<Opened, Owner>;
};
