/**
 * The server for callers: one raw route on the adapter's Fastify instance, so
 * that a request meets no controller and no body parser on its way.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {httpStatusOf} from '@dogwooddeck/routing/outcome';
import {outcomeOfRefusedHead, writeProblem} from '@dogwooddeck/upstream-client/problem';
import {Module} from '@nestjs/common';
import {type Result} from 'true-myth/result';
import {startApplication} from './application.js';
import {type Refuse} from './problem-filter.js';
import {type CallerHandler, type FrontServer} from './api.js';

/** The Nest module of the callers' server. */
@Module({})
class CallerModule {}

/** Bodies are bounded by each service's contract, after its route is known. */
const noBodyLimitBytes = Number.MAX_SAFE_INTEGER;

/** Callers are told an outcome with every failure, in the form of the forwarder. */
const refuse: Refuse = (reply, why) => {
	reply.hijack();
	writeProblem(reply.raw, why, httpStatusOf(why.kind), outcomeOfRefusedHead(reply.request.headers));
};

/** Starts the server. Fails with `unreachable` when the address can't be bound. */
export async function startCallerServer(address: string, handle: CallerHandler): Promise<Result<FrontServer, Failure>> {
	return startApplication({
		address,
		module: {module: CallerModule},
		largestBodyBytes: noBodyLimitBytes,
		refuse,
		prepare(adapter) {
			const fastify = adapter.getInstance();
			fastify.removeAllContentTypeParsers();
			fastify.addContentTypeParser('*', (_request, _payload, done) => {
				done(null);
			});
			fastify.all('/*', (request, reply) => {
				reply.hijack();
				handle(request.raw, reply.raw);
			});
		},
	});
}
