/**
 * Answers for requests that never become one: what arrived is no HTTP, too
 * long, or names no path. Fastify meets them before any controller or filter.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {problemMediaType, problemOfFailure} from '@dogwooddeck/configuration/problem';
import {failure, FailureKind} from '@dogwooddeck/model/failure';

type UnreadKind = {readonly status: number; readonly phrase: string; readonly kind: FailureKind; readonly detail: string};

const unread: UnreadKind = {
	status: 400, phrase: 'Bad Request', kind: FailureKind.malformed, detail: 'what arrived is no whole HTTP request',
};

/** By the code of Node.js's error. */
const unreadKinds: Readonly<Record<string, UnreadKind>> = {
	HPE_HEADER_OVERFLOW: {
		status: 431, phrase: 'Request Header Fields Too Large', kind: FailureKind.tooLarge, detail: 'the path and the header fields are too long',
	},
	ERR_HTTP_REQUEST_TIMEOUT: {
		status: 408, phrase: 'Request Timeout', kind: FailureKind.malformed, detail: 'the request did not arrive in time',
	},
};

function answerText({status, phrase, kind, detail}: UnreadKind): string {
	const body = JSON.stringify({...problemOfFailure(failure(kind, detail)), status});
	return `HTTP/1.1 ${status} ${phrase}\r\ncontent-type: ${problemMediaType}\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`;
}

/** Answers what can't be read as HTTP with a problem body, and closes the connection. */
export function answerUnread(error: {readonly code?: string}, socket: Socket): void {
	if (error.code === 'ECONNRESET' || socket.destroyed || !socket.writable) {
		socket.destroy();
		return;
	}

	socket.end(answerText(unreadKinds[error.code ?? ''] ?? unread));
}

/** Answers a request whose path can't be decoded with a problem body. */
export function answerUnreadPath(error: Error, _request: unknown, reply: {readonly raw: ServerResponse}): void {
	const problem = problemOfFailure(failure(FailureKind.malformed, error.message));
	const body = Buffer.from(JSON.stringify(problem));
	reply.raw.writeHead(problem.status, {'content-type': problemMediaType, 'content-length': body.length}).end(body);
}
