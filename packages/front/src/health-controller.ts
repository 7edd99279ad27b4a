/**
 * Health for the balancer and measures for scrapers.
 */
import {
	Controller, Get, Header, Inject, Res,
} from '@nestjs/common';
import {type FastifyReply} from 'fastify';
import {healthSurfaceToken} from './injection.js';
import {type HealthApi} from './api.js';

const readyStatus = 200;
const notReadyStatus = 503;

/** Answers `/live`, `/ready` and `/metrics`. */
@Controller()
export class HealthController {
	constructor(@Inject(healthSurfaceToken) private readonly surface: HealthApi) {}

	/** The process runs. */
	@Get('live')
	live(): {readonly live: true} {
		return {live: true};
	}

	/** Whether the balancer may send callers here: 200 or 503. */
	@Get('ready')
	ready(@Res() reply: FastifyReply): void {
		const readiness = this.surface.readiness();
		void reply.status(readiness.ready ? readyStatus : notReadyStatus).send(readiness);
	}

	/** The instance's measures as text. */
	@Get('metrics')
	@Header('content-type', 'text/plain; version=0.0.4')
	metrics(): string {
		return this.surface.metrics();
	}
}
