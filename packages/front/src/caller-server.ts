/**
 * The HTTP server for callers: a single raw route on the adapter's Fastify
 * instance, so that requests bypass controllers and body parsers.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {httpStatusOf} from '@dogwooddeck/routing/outcome';
import {outcomeOfRefusedHead, writeProblem} from '@dogwooddeck/upstream-client/problem';
import {Module} from '@nestjs/common';
import {type Result} from 'true-myth/result';
import {startApplication} from './application.js';
import {type Refuse} from './problem-filter.js';
import {type CallerHandler, type FrontServer} from './api.js';

/** The Nest module of the caller server. */
@Module({})
class CallerModule {}

/** Each service's contract limits the body size, once the request is routed. */
const noBodyLimitBytes = Number.MAX_SAFE_INTEGER;

/** Includes the outcome header in every failure response, in the same format as the forwarder. */
const refuse: Refuse = (reply, why) => {
	reply.hijack();
	writeProblem(reply.raw, why, httpStatusOf(why.kind), outcomeOfRefusedHead(reply.request.headers));
};

/** Starts the server. Fails with `unreachable` when the address can't be bound. */
export async function startCallerServer(address: string, handle: CallerHandler): Promise<Result<FrontServer, Failure>> {
	return startApplication({
		address,
		module: {module: CallerModule},
		maximumBodyBytes: noBodyLimitBytes,
		refuse,
		configureAdapter(adapter) {
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
