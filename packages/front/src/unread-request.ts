/**
 * Responses to requests that Node.js fails to parse: invalid HTTP, headers that
 * are too long, or a timeout. These errors occur before any controller or filter runs.
 */
import {type Socket} from 'node:net';
import {problemMediaType, problemOfFailure} from '@dogwooddeck/configuration/problem';
import {failure, FailureKind} from '@dogwooddeck/model/failure';

type ClientErrorResponse = {readonly status: number; readonly phrase: string; readonly kind: FailureKind; readonly detail: string};

const defaultResponse: ClientErrorResponse = {
	status: 400, phrase: 'Bad Request', kind: FailureKind.malformed, detail: 'the received data is not a complete HTTP request',
};

/** Keyed by the error code of Node.js. */
const responsesByErrorCode: Readonly<Record<string, ClientErrorResponse>> = {
	HPE_HEADER_OVERFLOW: {
		status: 431, phrase: 'Request Header Fields Too Large', kind: FailureKind.tooLarge, detail: 'the path and the header fields are too long',
	},
	ERR_HTTP_REQUEST_TIMEOUT: {
		status: 408, phrase: 'Request Timeout', kind: FailureKind.malformed, detail: 'the request did not arrive in time',
	},
};

function formatResponse({status, phrase, kind, detail}: ClientErrorResponse): string {
	const body = JSON.stringify({...problemOfFailure(failure(kind, detail)), status});
	return `HTTP/1.1 ${status} ${phrase}\r\ncontent-type: ${problemMediaType}\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`;
}

/** Responds to a request that can't be parsed with a problem body, and closes the connection. */
export function respondToClientError(error: {readonly code?: string}, socket: Socket): void {
	if (error.code === 'ECONNRESET' || socket.destroyed || !socket.writable) {
		socket.destroy();
		return;
	}

	socket.end(formatResponse(responsesByErrorCode[error.code ?? ''] ?? defaultResponse));
}
