/**
 * The HTTP server for callers. Requests are handed over unchanged: the framework
 * interprets neither their path nor their body.
 */
import {type Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {type CallerLimits} from '@dogwooddeck/directory/item';
import {type PeerLimits} from '@dogwooddeck/gateway/peer-memory';
import {type ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {CallerConnection} from '@dogwooddeck/upstream-client/caller-connection';
import {fastify} from 'fastify';
import {CallerExchange} from './caller-exchange.js';
import {PeerGuard, type PeerLog} from './peer-guard.js';
import {type ListenAddress} from './settings.js';

/** The running server. */
export type CallerServer = {
	readonly setLimits: (limits: CallerLimits | undefined) => void;
	readonly connections: () => number;
	/** The number of requests whose answers were not handed over yet. */
	readonly openRequests: () => number;
	/** Accepts no new connections. */
	readonly stopListening: () => void;
	/** Closes connections on which no request is being received or answered. */
	readonly closeIdle: () => void;
	readonly closeAll: () => void;
};

/** Handles a request. */
export type RequestListener = (exchange: CallerExchange, path: string) => void;

/** The largest request head before limits are declared, in bytes. */
const headerBytes = 16_384;

/** The largest request head that a declared limit can allow, in bytes: the parser's limit is fixed when the server starts. */
const maximumHeaderBytes = 65_536;

const defaultIdleTimeoutMilliseconds = 15_000;
const defaultHeaderTimeoutMilliseconds = 3000;

/** Added to the declared idle timeout, for requests that are still on the network when it ends. */
const idleMarginMilliseconds = 1000;

/** Replaces the schema compilers, whose loading takes a tenth of the processor time of a start: no route has a schema. */
const noSchemas = {
	buildValidator: (() => () => () => true) as never,
	buildSerializer: (() => () => String) as never,
};

/** What the server needs beside its address. */
export type CallerServerOptions = {
	readonly onRequest: RequestListener;
	/** Returns whether a connection may carry another request after the current one. */
	readonly keepsConnection: () => boolean;
	readonly limits: PeerLimits;
	readonly peerLog: PeerLog;
	readonly throttle: ReadThrottle;
};

/** Starts the server. */
export async function startCallerServer({host, port}: ListenAddress, {
	onRequest, keepsConnection, limits: peerLimits, peerLog, throttle,
}: CallerServerOptions): Promise<CallerServer> {
	const application = fastify({
		logger: false,
		http: {maxHeaderSize: Math.max(headerBytes, maximumHeaderBytes)},
		keepAliveTimeout: defaultIdleTimeoutMilliseconds + idleMarginMilliseconds,
		requestTimeout: 0,
		exposeHeadRoutes: false,
		schemaController: {compilersFactory: noSchemas},
		rewriteUrl: () => '/',
	});
	application.removeAllContentTypeParsers();
	application.addContentTypeParser('*', (_request, _payload, done) => {
		done(null);
	});
	application.all('/', (request, reply) => {
		reply.hijack();
		const connection = CallerConnection.of(request.raw.socket);
		const number = connection.accept(reply.raw);
		if (number !== undefined) {
			onRequest(new CallerExchange(request.raw, reply.raw, {
				connection, number, keepsConnection, guard,
			}), request.originalUrl);
		}
	});
	const {server}: {readonly server: Server} = application;
	const guard = new PeerGuard(server, {limits: peerLimits, record: peerLog, throttle});
	server.headersTimeout = defaultHeaderTimeoutMilliseconds;
	server.on('connection', socket => {
		socket.setNoDelay(true);
	});
	await application.listen({host, port});
	return {
		setLimits(limits) {
			server.keepAliveTimeout = (limits?.idleTimeoutMilliseconds ?? defaultIdleTimeoutMilliseconds) + idleMarginMilliseconds;
			server.headersTimeout = limits?.headerTimeoutMilliseconds ?? defaultHeaderTimeoutMilliseconds;
		},
		connections: () => guard.connections,
		openRequests: () => [...guard.sockets].reduce((sum, socket) => sum + CallerConnection.of(socket).openRequests, 0),
		stopListening() {
			// The method of HTTP servers also closes the connections that Node.js counts as idle.
			NetServer.prototype.close.call(server);
		},
		closeIdle() {
			// Node.js counts a connection as idle once an answer was handed to its socket, also while the socket has to send it and other requests wait behind it.
			for (const socket of guard.sockets) {
				if (CallerConnection.of(socket).isIdle) {
					socket.destroy();
				}
			}
		},
		closeAll() {
			server.closeAllConnections();
		},
	};
}
