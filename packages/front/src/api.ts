/**
 * The interfaces between the HTTP servers and the instance that they serve. The
 * servers parse requests and write responses; the implementations of these
 * interfaces make every decision.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Result} from 'true-myth/result';

/** A parsed request of an operator or an upstream. */
export type ApiRequest = {
	/** The bearer token; empty when the request has none. */
	readonly token: string;
	/** A label recorded in the history; it grants no permission. */
	readonly author: string;
	readonly query: Readonly<Record<string, string>>;
	readonly body: unknown;
};

/** Handles one kind of request and returns a JSON value or a failure. */
export type ApiHandler = (request: ApiRequest) => Promise<Result<unknown, Failure>>;

/** The handlers of the operator API, keyed by the last segment of the path. */
export type OperatorApi = {
	readonly apply: ApiHandler;
	readonly configuration: ApiHandler;
	readonly history: ApiHandler;
	readonly owners: ApiHandler;
	readonly status: ApiHandler;
	readonly members: ApiHandler;
	readonly move: ApiHandler;
	readonly drain: ApiHandler;
	readonly zoneDeclareLost: ApiHandler;
	readonly token: ApiHandler;
	readonly burn: ApiHandler;
	/** Handles the announcements of upstreams. */
	readonly announce: ApiHandler;
};

/** Whether the load balancer may route callers to this instance, and why. */
export type Readiness = {readonly ready: boolean; readonly reason: string};

/** The data source of the health and metrics endpoints. */
export type HealthApi = {
	readonly readiness: () => Readiness;
	readonly metrics: () => string;
};

/** Handles a caller's request before its body is read, and writes the raw response. */
export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A running server. */
export type FrontServer = {
	/** The address that it listens on, as `IP:port`. */
	readonly address: string;
	/** Stops accepting connections, waits for in-flight requests to complete, then closes. */
	readonly close: () => Promise<void>;
};
