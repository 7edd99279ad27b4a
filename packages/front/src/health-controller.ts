/**
 * The health endpoints for the load balancer and the metrics endpoint for scrapers.
 */
import {
	Controller, Get, Header, Inject, Res,
} from '@nestjs/common';
import {type FastifyReply} from 'fastify';
import {healthApiToken} from './injection.js';
import {type HealthApi} from './api.js';

const readyStatus = 200;
const notReadyStatus = 503;

/** Answers `/live`, `/ready` and `/metrics`. */
@Controller()
export class HealthController {
	constructor(@Inject(healthApiToken) private readonly api: HealthApi) {}

	/** Liveness: succeeds whenever the process runs. */
	@Get('live')
	live(): {readonly live: true} {
		return {live: true};
	}

	/** Readiness: 200 when the load balancer may route callers to this instance, 503 otherwise. */
	@Get('ready')
	ready(@Res() reply: FastifyReply): void {
		const readiness = this.api.readiness();
		void reply.status(readiness.ready ? readyStatus : notReadyStatus).send(readiness);
	}

	/** The instance's metrics in text format. */
	@Get('metrics')
	@Header('content-type', 'text/plain; version=0.0.4')
	metrics(): string {
		return this.api.metrics();
	}
}
