/**
 * How a stand-in upstream answers under each fault.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {Fault, type FaultOrder} from './fault.js';

/** One request as the stand-in has read it. */
export type StandInRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly order: FaultOrder;
	/** The bytes of the whole answer. */
	readonly body: string;
	/** The operation, echoed so that the caller can tell its own answer. */
	readonly operation: string;
};

/** The header field that names an operation. */
export const operationHeader = 'stand-in-operation';

const ok = 200;
const shedStatus = 503;

function endWhole(met: StandInRequest): void {
	met.response.writeHead(ok, {'content-type': 'application/json', 'content-length': met.body.length, [operationHeader]: met.operation});
	met.response.end(met.body);
}

function closeAfter(met: StandInRequest): void {
	met.response.on('finish', () => {
		setImmediate(() => met.request.socket.destroy());
	});
	endWhole(met);
}

function half(body: string): string {
	return body.slice(0, Math.max(1, Math.floor(body.length / 2)));
}

function cutAfter(met: StandInRequest): void {
	met.response.write(half(met.body), () => met.request.socket.destroy());
}

function cutLength(met: StandInRequest): void {
	met.response.writeHead(ok, {'content-type': 'application/json', 'content-length': met.body.length, [operationHeader]: met.operation});
	cutAfter(met);
}

function cutChunks(met: StandInRequest): void {
	met.response.writeHead(ok, {'content-type': 'application/json', 'transfer-encoding': 'chunked', [operationHeader]: met.operation});
	cutAfter(met);
}

function rawAnswer(met: StandInRequest, body: string, end: (socket: Socket) => void): void {
	const {socket} = met.request;
	socket.write(`HTTP/1.1 ${ok} OK\r\ncontent-type: application/json\r\n${operationHeader}: ${met.operation}\r\n\r\n${body}`, () => {
		end(socket);
	});
}

/** What is done once the request ran, or did not, by fault. `runs`: whether it runs. */
export const answers: Readonly<Record<Fault, {readonly runs: boolean; readonly answer: (met: StandInRequest) => void}>> = {
	[Fault.none]: {runs: true, answer: endWhole},
	[Fault.refuse]: {runs: false, answer: met => met.request.socket.resetAndDestroy()},
	[Fault.shed]: {
		runs: false,
		answer: met => met.response.writeHead(shedStatus, {'retry-after': '0', 'content-length': 0}).end(),
	},
	[Fault.stall]: {
		runs: false,
		answer() {
			// It never answers.
		},
	},
	[Fault.runAndStall]: {
		runs: true,
		answer() {
			// It never answers.
		},
	},
	[Fault.resetOnConnect]: {runs: false, answer: met => met.request.socket.resetAndDestroy()},
	[Fault.resetBeforeRun]: {runs: false, answer: met => met.request.socket.resetAndDestroy()},
	[Fault.resetAfterRun]: {runs: true, answer: met => met.request.socket.resetAndDestroy()},
	[Fault.closeAfterRun]: {runs: true, answer: met => met.request.socket.destroy()},
	[Fault.cutLength]: {runs: true, answer: cutLength},
	[Fault.cutChunks]: {runs: true, answer: cutChunks},
	[Fault.late]: {
		runs: true,
		answer(met) {
			setTimeout(endWhole, met.order.delayMilliseconds ?? 0, met);
		},
	},
	[Fault.unbounded]: {
		runs: true,
		answer(met) {
			rawAnswer(met, met.body, socket => socket.end());
		},
	},
	[Fault.unboundedCut]: {
		runs: true,
		answer(met) {
			rawAnswer(met, half(met.body), socket => socket.resetAndDestroy());
		},
	},
	[Fault.closeIdle]: {runs: true, answer: closeAfter},
};
