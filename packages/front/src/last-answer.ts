/**
 * Closes the connections of a server that stops, each with the answer to its last
 * request: those before it were forwarded and would lose their answers.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** The answer that closes a connection, unless a further request arrives before its head is written. */
const closingAnswers = new WeakMap<Socket, ServerResponse>();

/**
 * Called with the unused response to each request in the order of arrival. Returns false if an earlier answer
 * has announced the end of the connection: the caller takes the request for unread, and it must not be handled.
 */
export function acceptRequest(response: ServerResponse, isStopping: boolean): boolean {
	const {socket} = response.req;
	const closing = closingAnswers.get(socket);
	if (closing?.headersSent === true) {
		return false;
	}

	if (closing !== undefined) {
		closing.shouldKeepAlive = true;
		closingAnswers.delete(socket);
	}

	if (isStopping) {
		response.shouldKeepAlive = false;
		closingAnswers.set(socket, response);
	}

	return true;
}
