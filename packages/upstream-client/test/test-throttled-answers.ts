/**
 * Answers in pieces of a byte: however many arrive at once, reading them leaves most of the loop to others that need it, and
 * each that ends arrives whole. The clock advances by a fixed time with each piece, as if parsing it took that long.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {mock, test} from 'node:test';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {createUpstreamClient, type UpstreamClient} from '@dogwooddeck/upstream-client/client';

const pieceMilliseconds = 0.02;
const oneByteChunk = '1\r\na\r\n';
const chunksPerWrite = 5000;
const timeoutMilliseconds = 3000;
/** Reading answers may take at most this part of the time while other work is waiting. */
const largestShare = 0.5;

type Ending = {readonly chunks: number; readonly end: (socket: Socket) => void; readonly seen: AttemptObservation};

const Endings = {
	none: {chunks: Infinity, end: () => undefined, seen: AttemptObservation.deadlinePassedAfterFirstByte},
	closed: {
		chunks: 5000,
		end(socket) {
			socket.end();
		},
		seen: AttemptObservation.wholeAnswer,
	},
} as const satisfies Record<string, Ending>;

function sendChunks(socket: Socket, {chunks, end}: Ending): void {
	let left = chunks;
	const write = () => {
		while (left > 0 && !socket.destroyed) {
			left -= chunksPerWrite;
			if (!socket.write(oneByteChunk.repeat(chunksPerWrite))) {
				break;
			}
		}

		if (left === 0) {
			left -= 1;
			socket.write('0\r\n\r\n');
			end(socket);
		}
	};

	socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n');
	socket.on('drain', write);
	write();
}

type Result = {readonly observation: AttemptObservation; readonly pieces: number};

async function readAnswer(client: UpstreamClient, port: number, onPiece: () => void): Promise<Result> {
	return new Promise(resolve => {
		let pieces = 0;
		client.send({
			address: `127.0.0.1:${port}`, connections: 100, method: 'GET', path: '/', headers: [], body: undefined, slot: 0, fence: 1, timeoutMilliseconds, notRunStatuses: [],
		}, {
			beforeFirstByte: () => true,
			onHead: () => undefined,
			onChunk() {
				pieces += 1;
				onPiece();
				return true;
			},
			onEnd(observation) {
				resolve({observation, pieces});
			},
		});
	});
}

const cases: ReadonlyArray<{readonly name: string; readonly answers: number; readonly ending: Ending; readonly hasOtherWork: boolean}> = [
	{
		name: 'one answer without end beside other work', answers: 1, ending: Endings.none, hasOtherWork: true,
	},
	{
		name: 'ten answers without end beside other work', answers: 10, ending: Endings.none, hasOtherWork: true,
	},
	{
		name: 'three whole answers beside other work', answers: 3, ending: Endings.closed, hasOtherWork: true,
	},
	{
		name: 'three whole answers in a loop that has nothing else to do', answers: 3, ending: Endings.closed, hasOtherWork: false,
	},
];

/** Keeps the loop from waiting for events, until the returned function is called. */
function startOtherWork(): () => void {
	let isOver = false;
	const work = () => {
		if (!isOver) {
			setImmediate(work);
		}
	};

	work();
	return () => {
		isOver = true;
	};
}

/** Guards against answers of a few upstreams that take the whole loop, so that requests to others wait or are given up. */
for (const {
	name, answers, ending, hasOtherWork,
} of cases) {
	test(`throttled answers: ${name}`, async context => {
		const server = createServer(socket => {
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('data', () => {
				sendChunks(socket, ending);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const now = performance.now.bind(performance);
		let piecesMilliseconds = 0;
		mock.method(performance, 'now', () => now() + piecesMilliseconds);
		context.after(() => {
			mock.restoreAll();
		});
		const endOtherWork = hasOtherWork ? startOtherWork() : () => undefined;
		const startedAt = performance.now();
		const client = createUpstreamClient({connectTimeoutMilliseconds: 1000, idleMilliseconds: 1000});
		const results = await Promise.all(Array.from({length: answers}, async () => readAnswer(client, port, () => {
			piecesMilliseconds += pieceMilliseconds;
		})));
		const milliseconds = performance.now() - startedAt;
		endOtherWork();
		await client.close();
		server.close();
		for (const {observation, pieces} of results) {
			assert.equal(observation, ending.seen);
			assert.ok(ending.chunks === Infinity || pieces === ending.chunks, `${pieces} pieces`);
		}

		assert.ok(!hasOtherWork || piecesMilliseconds < largestShare * milliseconds, `pieces took ${piecesMilliseconds} of ${milliseconds} ms`);
	});
}
