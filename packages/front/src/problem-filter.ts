/**
 * Converts errors thrown by a controller or by Fastify to problem details responses.
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {problemMediaType, problemOfFailure} from '@dogwooddeck/configuration/problem';
import {
	failure, type Failure, FailureError, FailureKind,
} from '@dogwooddeck/model/failure';
import {
	type ArgumentsHost, Catch, type ExceptionFilter, HttpException,
} from '@nestjs/common';

const kindOfStatus: Readonly<Record<number, FailureKind>> = {
	400: FailureKind.malformed,
	404: FailureKind.notFound,
	405: FailureKind.notFound,
	413: FailureKind.tooLarge,
	415: FailureKind.malformed,
};

function statusOf(thrown: unknown): number {
	return thrown instanceof HttpException ? thrown.getStatus() : (thrown as {readonly statusCode?: number}).statusCode ?? 0;
}

function failureOf(thrown: unknown): Failure {
	if (thrown instanceof FailureError) {
		return thrown.failure;
	}

	const kind = kindOfStatus[statusOf(thrown)] ?? FailureKind.internal;
	const detail = kind === FailureKind.internal || !(thrown instanceof Error) ? 'the instance failed to answer' : thrown.message;
	return failure(kind, detail);
}

/** The part of a Fastify reply that is common to our version of Fastify and the one that Nest depends on. */
export type RefusableReply = {
	readonly raw: ServerResponse;
	readonly request: {readonly headers: IncomingHttpHeaders};
	readonly hijack: () => unknown;
};

/** Rejects a request with a failure. */
export type Refuse = (reply: RefusableReply, why: Failure) => void;

/** Responds with `application/problem+json`. Closes the connection afterwards if the request was not read completely. */
export const refuseWithProblem: Refuse = (reply, why) => {
	const problem = problemOfFailure(why);
	const body = Buffer.from(JSON.stringify(problem));
	const close = reply.raw.req.complete ? {} : {connection: 'close'};
	reply.hijack();
	reply.raw.writeHead(problem.status, {'content-type': problemMediaType, 'content-length': body.length, ...close}).end(body);
};

/** Responds to every error that no handler has responded to. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
	readonly #refuse: Refuse;

	constructor(refuse: Refuse) {
		this.#refuse = refuse;
	}

	catch(thrown: unknown, host: ArgumentsHost): void {
		this.#refuse(host.switchToHttp().getResponse<RefusableReply>(), failureOf(thrown));
	}
}
