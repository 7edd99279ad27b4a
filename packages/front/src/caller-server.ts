/**
 * The server for callers: one raw route on a Fastify instance of its own. Nest
 * has no part in it, since its adapter runs hooks for every request, and a
 * request meets no controller and no body parser on its way.
 */
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {statusOf} from '@dogwooddeck/routing/outcome';
import {outcomeOfRefusedHead, writeProblem} from '@dogwooddeck/upstream-client/problem';
import {fastify, type FastifyReply} from 'fastify';
import {err, ok, type Result} from 'true-myth/result';
import {boundAddress, cannotListen, splitAddress} from './address.js';
import {closeGracefully} from './closing.js';
import {type CallerHandler, type FrontServer} from './surface.js';

/** Bodies are bounded by each service's contract, after its route is known. */
const noBodyLimitBytes = Number.MAX_SAFE_INTEGER;

const unknownMethod = failure(FailureKind.notFound, 'no service takes this method');
const unreadableHead = failure(FailureKind.malformed, 'the path or a header field can\'t be read');

function refuse(reply: FastifyReply, why: Failure): void {
	reply.hijack();
	writeProblem(reply.raw, why, statusOf(why.kind), outcomeOfRefusedHead(reply.request.headers));
}

/** Makes the server, which doesn't listen yet. What Fastify doesn't route is refused in the same form as by the forwarder. */
function createServer(handle: CallerHandler) {
	const server = fastify({
		bodyLimit: noBodyLimitBytes,
		forceCloseConnections: 'idle',
		frameworkErrors(_error, _request, reply) {
			refuse(reply, unreadableHead);
		},
	});
	server.removeAllContentTypeParsers();
	server.addContentTypeParser('*', (_request, _payload, done) => {
		done(null);
	});
	server.setErrorHandler((_error, _request, reply) => {
		refuse(reply, unreadableHead);
	});
	server.setNotFoundHandler((_request, reply) => {
		refuse(reply, unknownMethod);
	});
	server.all('/*', (request, reply) => {
		reply.hijack();
		handle(request.raw, reply.raw);
	});
	return server;
}

/** Starts the server. Fails with `unreachable` when the address can't be bound. */
export async function startCallerServer(address: string, handle: CallerHandler): Promise<Result<FrontServer, Failure>> {
	const server = createServer(handle);
	const {host, port} = splitAddress(address);
	try {
		await server.listen({host, port});
	} catch (error) {
		await server.close();
		return err(cannotListen(address, error as Error));
	}

	return ok({
		address: boundAddress(server.server, host),
		close: async () => closeGracefully(server.server, async () => server.close()),
	});
}
