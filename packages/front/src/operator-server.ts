/**
 * The HTTP server for operators, upstreams, the load balancer's health checks and metrics scrapers.
 */
import {largestOperatorBody} from '@dogwooddeck/configuration/messages';
import {type Failure} from '@dogwooddeck/model/failure';
import {Module} from '@nestjs/common';
import {type Result} from 'true-myth/result';
import {startApplication} from './application.js';
import {HealthController} from './health-controller.js';
import {healthApiToken, operatorApiToken} from './injection.js';
import {OperatorController} from './operator-controller.js';
import {refuseWithProblem} from './problem-filter.js';
import {type FrontServer, type HealthApi, type OperatorApi} from './api.js';

/** The Nest module of the operator server. */
@Module({})
class OperatorModule {}

/** Starts the server. Fails with `unreachable` when the address can't be bound. */
export async function startOperatorServer(
	address: string,
	operators: OperatorApi,
	health: HealthApi,
): Promise<Result<FrontServer, Failure>> {
	return startApplication({
		address,
		module: {
			module: OperatorModule,
			controllers: [HealthController, OperatorController],
			providers: [
				{provide: operatorApiToken, useValue: operators},
				{provide: healthApiToken, useValue: health},
			],
		},
		maximumBodyBytes: largestOperatorBody,
		refuse: refuseWithProblem,
		configureAdapter(adapter) {
			const fastify = adapter.getInstance();
			fastify.removeAllContentTypeParsers();
			fastify.addContentTypeParser('application/json', {parseAs: 'string'}, fastify.getDefaultJsonParser('error', 'error'));
		},
	});
}
