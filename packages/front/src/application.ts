/**
 * Starts Nest on Fastify at an address.
 */
import {type Server} from 'node:http';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type DynamicModule} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {err, ok, type Result} from 'true-myth/result';
import {ProblemFilter, type RefusableReply, type Refuse} from './problem-filter.js';
import {type FrontServer} from './api.js';
import {answerUnread} from './unread-request.js';

/** What an application is made of. */
export type ApplicationOptions = {
	/** Where to listen, as `IP:port`. */
	readonly address: string;
	readonly module: DynamicModule;
	readonly largestBodyBytes: number;
	/** Answers what reaches no handler: an unknown method, a path that can't be decoded. */
	readonly refuse: Refuse;
	/** Says which bodies are read before a handler runs, and adds routes beside Nest's own. */
	readonly prepare: (adapter: FastifyAdapter) => void;
};

function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

function boundAddress(application: NestFastifyApplication, host: string): string {
	const bound = application.getHttpServer().address();
	return `${host}:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
}

const idlePollMilliseconds = 25;

/** Lets what has arrived on the sockets be read, also after a turn that took long. */
async function arrivedRead(): Promise<void> {
	for (let turn = 0; turn < 2; turn++) {
		await new Promise(resolve => {
			setTimeout(() => setImmediate(resolve), idlePollMilliseconds);
		});
	}
}

/**
 * Connections that become idle while the server closes are closed as well. A
 * connection whose request has arrived and wasn't read yet would look idle.
 */
async function closeApplication(application: NestFastifyApplication): Promise<void> {
	const server: Server = application.getHttpServer();
	await arrivedRead();
	const closingIdle = setInterval(() => {
		setImmediate(() => {
			server.closeIdleConnections();
		});
	}, idlePollMilliseconds);
	await application.close();
	clearInterval(closingIdle);
}

/** Starts to listen. Fails with `unreachable` when the address can't be bound. */
export async function startApplication(options: ApplicationOptions): Promise<Result<FrontServer, Failure>> {
	const adapter = new FastifyAdapter({
		bodyLimit: options.largestBodyBytes,
		forceCloseConnections: 'idle',
		// What arrives on an open connection while the server closes still gets its own answer.
		return503OnClosing: false,
		clientErrorHandler: answerUnread,
		frameworkErrors(error: Error, _request: unknown, reply: RefusableReply) {
			options.refuse(reply, failure(FailureKind.malformed, error.message));
		},
	});
	const application = await NestFactory.create<NestFastifyApplication>(options.module, adapter, {
		logger: false, bodyParser: false, abortOnError: false,
	});
	application.useGlobalFilters(new ProblemFilter(options.refuse));
	options.prepare(adapter);
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
