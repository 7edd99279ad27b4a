/**
 * Sends requests to the operators' surface. Servers are tried in turn; a write
 * is sent again as the same operation, which is accepted at most once.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {failureOfProblem} from '@dogwooddeck/configuration/problem';
import {authorHeader, largestOperatorBody, type OperatorPath} from '@dogwooddeck/configuration/messages';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {Agent, request} from 'undici';
import type * as v from 'valibot';
import {checkAnswer} from './answer-schema.js';
import {
	type Attempt, AttemptKind, conclude, settles,
} from './attempt.js';
import {type Connection} from './profile.js';

/** A request to the operators' surface. */
export type OperatorRequest = {
	readonly path: OperatorPath;
	readonly query?: Readonly<Record<string, string>>;
	/** Present: a write. It holds the operation identifier. */
	readonly body?: unknown;
	/** A label for the history. */
	readonly author?: string;
};

/** The pauses before the first and the later rounds over all servers. Together they are longer than it takes to elect another leader. */
const pausesMilliseconds: readonly Milliseconds[] = [0, 500, 2500];
const largestAnswerBytes = 16 * largestOperatorBody;

const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function codeOf(thrown: unknown): string {
	return thrown instanceof Error && 'code' in thrown ? String(thrown.code) : 'no code';
}

function attemptOfError(server: string, thrown: unknown): Attempt {
	const code = codeOf(thrown);
	return notSentCodes.has(code)
		? {kind: AttemptKind.notSent, failure: failure(FailureKind.unreachable, `${server} can't be reached: ${code}`)}
		: {kind: AttemptKind.lost, failure: failure(FailureKind.unreachable, `${server} gave no whole answer: ${code}`)};
}

function parseBody(text: string): Result<unknown, Failure> {
	try {
		return ok(JSON.parse(text));
	} catch {
		return err(failure(FailureKind.internal, 'the server\'s answer is not JSON'));
	}
}

function answerOf(status: number, text: string): Result<unknown, Failure> {
	const body = parseBody(text);
	return status >= 200 && status < 300 ? body : err(failureOfProblem(status, body.unwrapOr(undefined)));
}

function headersOf(connection: Connection, sent: OperatorRequest): Record<string, string> {
	return {
		accept: 'application/json, application/problem+json',
		...(connection.token === undefined ? {} : {authorization: `Bearer ${connection.token}`}),
		...(sent.body === undefined ? {} : {'content-type': 'application/json'}),
		...(sent.author === undefined ? {} : {[authorHeader]: sent.author}),
	};
}

async function attempt(agent: Agent, server: string, connection: Connection, sent: OperatorRequest): Promise<Attempt> {
	try {
		const response = await request(new URL(sent.path, server), {
			dispatcher: agent,
			method: sent.body === undefined ? 'GET' : 'POST',
			query: {...sent.query},
			headers: headersOf(connection, sent),
			body: sent.body === undefined ? null : JSON.stringify(sent.body),
		});
		return {kind: AttemptKind.answered, answer: answerOf(response.statusCode, await response.body.text())};
	} catch (error) {
		return attemptOfError(server, error);
	}
}

async function attemptAll(agent: Agent, connection: Connection, sent: OperatorRequest): Promise<readonly Attempt[]> {
	const attempts: Attempt[] = [];
	for (const duration of pausesMilliseconds) {
		await pause(duration);
		for (const server of connection.servers) {
			const next = await attempt(agent, server, connection, sent);
			attempts.push(next);
			if (settles(next)) {
				return attempts;
			}
		}
	}

	return attempts;
}

/**
 * Sends a request and gives the checked body of its answer. Fails with the
 * server's failure, `unreachable`, `outcomeUnknown`, or `internal` for an
 * answer of another form.
 */
export async function send<Answer>(
	connection: Connection,
	sent: OperatorRequest,
	schema: v.GenericSchema<unknown, Answer>,
): Promise<Result<Answer, Failure>> {
	const {timeoutMilliseconds} = connection;
	const agent = new Agent({
		connect: {timeout: timeoutMilliseconds},
		headersTimeout: timeoutMilliseconds,
		bodyTimeout: timeoutMilliseconds,
		maxResponseSize: largestAnswerBytes,
	});
	const attempts = await attemptAll(agent, connection, sent);
	await agent.destroy();
	return conclude(attempts, sent.body !== undefined).andThen(body => checkAnswer(schema, body));
}
