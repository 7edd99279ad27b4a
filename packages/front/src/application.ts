/**
 * Starts and gracefully closes a Nest application on Fastify; both servers are built on it.
 */
import {type Server} from 'node:http';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type DynamicModule} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {err, ok, type Result} from 'true-myth/result';
import {ProblemFilter, type RefusableReply, type Refuse} from './problem-filter.js';
import {type FrontServer} from './api.js';
import {respondToClientError} from './unread-request.js';

/** The options of `startApplication`. */
export type ApplicationOptions = {
	/** The address to listen on, as `IP:port`. */
	readonly address: string;
	readonly module: DynamicModule;
	readonly maximumBodyBytes: number;
	/** Rejects requests that reach no handler, such as an unknown method or a path that can't be decoded. */
	readonly refuse: Refuse;
	/** Configures which bodies are parsed before a handler runs, and adds routes outside of Nest's controllers. */
	readonly configureAdapter: (adapter: FastifyAdapter) => void;
};

function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

function boundAddress(application: NestFastifyApplication, host: string): string {
	const socketAddress = application.getHttpServer().address();
	return `${host}:${typeof socketAddress === 'object' && socketAddress !== null ? socketAddress.port : 0}`;
}

const idlePollMilliseconds = 25;

/** Waits until data that has arrived on the sockets is read, even after a long turn of the event loop. */
async function waitForPendingReads(): Promise<void> {
	for (let turn = 0; turn < 2; turn++) {
		await new Promise(resolve => {
			setTimeout(() => setImmediate(resolve), idlePollMilliseconds);
		});
	}
}

/**
 * Closes the server, including connections that become idle meanwhile. Pending
 * socket data is read first, since a connection whose request has arrived but
 * isn't read yet looks idle.
 */
async function closeApplication(application: NestFastifyApplication): Promise<void> {
	const server: Server = application.getHttpServer();
	await waitForPendingReads();
	const idleCloseTimer = setInterval(() => {
		setImmediate(() => {
			server.closeIdleConnections();
		});
	}, idlePollMilliseconds);
	await application.close();
	clearInterval(idleCloseTimer);
}

/** Starts listening. Fails with `unreachable` when the address can't be bound. */
export async function startApplication(options: ApplicationOptions): Promise<Result<FrontServer, Failure>> {
	const adapter = new FastifyAdapter({
		bodyLimit: options.maximumBodyBytes,
		forceCloseConnections: 'idle',
		// A request on an open connection is still handled, not answered with 503, while the server closes.
		return503OnClosing: false,
		clientErrorHandler: respondToClientError,
		frameworkErrors(error: Error, _request: unknown, reply: RefusableReply) {
			options.refuse(reply, failure(FailureKind.malformed, error.message));
		},
	});
	const application = await NestFactory.create<NestFastifyApplication>(options.module, adapter, {
		logger: false, bodyParser: false, abortOnError: false,
	});
	application.useGlobalFilters(new ProblemFilter(options.refuse));
	options.configureAdapter(adapter);
	const {host, port} = splitAddress(options.address);
	try {
		await application.listen(port, host);
	} catch (error) {
		await application.close();
		return err(failure(FailureKind.unreachable, `can't listen on ${options.address}: ${(error as Error).message}`));
	}

	return ok({
		address: boundAddress(application, host),
		close: async () => closeApplication(application),
	});
}
