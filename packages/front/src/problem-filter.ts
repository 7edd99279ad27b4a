/**
 * Turns whatever a controller or Fastify throws into a problem body.
 */
import {problemMediaType, problemOfFailure} from '@dogwooddeck/configuration/problem';
import {
	failure, type Failure, FailureError, FailureKind,
} from '@dogwooddeck/model/failure';
import {
	type ArgumentsHost, Catch, type ExceptionFilter, HttpException,
} from '@nestjs/common';
import {type FastifyReply} from 'fastify';

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

/** Answers every failure as `application/problem+json`. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
	catch(thrown: unknown, host: ArgumentsHost): void {
		const problem = problemOfFailure(failureOf(thrown));
		const reply = host.switchToHttp().getResponse<FastifyReply>();
		void reply.status(problem.status).type(problemMediaType).send(JSON.stringify(problem));
	}
}
