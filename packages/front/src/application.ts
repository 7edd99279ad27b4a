/**
 * Starts Nest on Fastify at an address.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type DynamicModule} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {err, ok, type Result} from 'true-myth/result';
import {boundAddress, cannotListen, splitAddress} from './address.js';
import {closeGracefully} from './closing.js';
import {ProblemFilter} from './problem-filter.js';
import {type FrontServer} from './surface.js';

/** What an application is made of. */
export type ApplicationOptions = {
	/** Where to listen, as `IP:port`. */
	readonly address: string;
	readonly module: DynamicModule;
	readonly largestBodyBytes: number;
};

/** Starts to listen. Fails with `unreachable` when the address can't be bound. */
export async function startApplication(options: ApplicationOptions): Promise<Result<FrontServer, Failure>> {
	const adapter = new FastifyAdapter({bodyLimit: options.largestBodyBytes, forceCloseConnections: 'idle'});
	const application = await NestFactory.create<NestFastifyApplication>(options.module, adapter, {
		logger: false, bodyParser: true, abortOnError: false,
	});
	application.useGlobalFilters(new ProblemFilter());
	const {host, port} = splitAddress(options.address);
	try {
		await application.listen(port, host);
	} catch (error) {
		await application.close();
		return err(cannotListen(options.address, error as Error));
	}

	const server = application.getHttpServer();
	return ok({
		address: boundAddress(server, host),
		close: async () => closeGracefully(server, async () => application.close()),
	});
}
