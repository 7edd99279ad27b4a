/**
 * What the HTTP front asks of the instance behind it. The front reads and
 * writes HTTP; whoever implements these decides.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Result} from 'true-myth/result';

/** What an operator or an upstream sent. */
export type ApiRequest = {
	/** The bearer token; empty where there is none. */
	readonly token: string;
	/** A label for the history that gives no right. */
	readonly author: string;
	readonly query: Readonly<Record<string, string>>;
	readonly body: unknown;
};

/** Answers one kind of request with a JSON value or a failure. */
export type ApiHandler = (request: ApiRequest) => Promise<Result<unknown, Failure>>;

/** The operators' surface, keyed by the last segment of the path. */
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
	/** Upstreams announce themselves here. */
	readonly announce: ApiHandler;
};

/** Whether the balancer may send callers here, and why. */
export type Readiness = {readonly ready: boolean; readonly reason: string};

/** What the health endpoints tell. */
export type HealthApi = {
	readonly readiness: () => Readiness;
	readonly metrics: () => string;
};

/** Takes a caller's request as it arrives and answers it on the raw response. */
export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A server that runs. */
export type FrontServer = {
	/** The address that it listens on, as `IP:port`. */
	readonly address: string;
	/** Takes no new connections, lets requests in flight end, then closes. */
	readonly close: () => Promise<void>;
};
