/**
 * A client that sends several safe requests on one connection before the first is
 * answered, and reads the answers in order.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

const headEnd = Buffer.from('\r\n\r\n');

/** Parses one whole answer with a length at the start of `bytes`; undefined if it isn't complete. */
function parseAnswer(bytes) {
	const end = bytes.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [statusLine, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const bodyStart = end + headEnd.length;
	const length = Number(headers['content-length'] ?? 0);
	return bytes.length < bodyStart + length
		? undefined
		: {
			status: Number(statusLine.split(' ')[1]), headers, body: bytes.subarray(bodyStart, bodyStart + length).toString(), size: bodyStart + length,
		};
}

/** One connection to an entry. */
export class PipeliningClient {
	#bytes = Buffer.alloc(0);
	#waiting = [];
	isClosed = false;

	constructor(host, port) {
		this.socket = connect({host, port});
		this.socket.setNoDelay(true);
		this.socket.on('data', chunk => {
			this.#bytes = Buffer.concat([this.#bytes, chunk]);
			this.#read();
		});
		this.socket.on('error', () => undefined);
		this.socket.on('close', () => {
			this.isClosed = true;
			for (const resolve of this.#waiting) {
				resolve();
			}

			this.#waiting = [];
		});
	}

	/** Sends requests in one write; returns a promise for each answer, undefined if the connection ended before it was complete. */
	send(requests) {
		const answers = requests.map(async () => new Promise(resolve => {
			if (this.isClosed) {
				resolve();
			} else {
				this.#waiting.push(resolve);
			}
		}));
		this.socket.write(requests.map(({path, host, headers}) =>
			[`GET ${path} HTTP/1.1`, `Host: ${host}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')).join(''));
		return answers;
	}

	close() {
		this.socket.destroy();
	}

	#read() {
		for (let answer = parseAnswer(this.#bytes); answer !== undefined && this.#waiting.length > 0; answer = parseAnswer(this.#bytes)) {
			this.#bytes = this.#bytes.subarray(answer.size);
			this.#waiting.shift()(answer);
		}
	}
}
