/**
 * Multiplexes calls on one stream: the requests of one turn of the event loop are
 * sent as one message, and so are the replies. A stream for each call costs both
 * sides several times as much processor time as the payload of most calls.
 */
import {type Buffer} from 'node:buffer';
import {
	failure, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {type MeshCall, type Reply} from './calls.js';
import {decodeMessage, encodeText} from './encoding.js';

/** An encoded call: its number within the session, its name and its request. */
export type CallFrame = readonly [number, MeshCall, unknown];

/** An encoded reply: the number of its call, and the reply. */
export type ReplyFrame = readonly [number, Reply<unknown>];

/** The subset of a bidirectional stream that a session uses. */
export type SessionStream = {
	readonly write: (message: Buffer) => boolean;
	readonly end: () => void;
	readonly cancel: () => void;
	readonly on: ((event: 'data', listener: (message: Buffer) => void) => unknown)
		& ((event: 'error', listener: (error: Error) => void) => unknown)
		& ((event: 'end' | 'drain', listener: () => void) => unknown);
};

/** The calls to one instance. */
export type Session = {
	/** Makes a call; `request` is JSON. Fails with `unreachable` if there is no answer in time. */
	readonly call: (call: MeshCall, request: string, timeoutMilliseconds: Milliseconds) => Promise<Result<Reply<unknown>, Failure>>;
	/** Closes the stream once the pending calls have completed. No calls may be made after this. */
	readonly retire: () => void;
};

/** Writes the frames of one turn of the event loop together, respecting backpressure. */
export class FrameWriter {
	readonly #write: (message: Buffer) => boolean;
	#frames = new Map<number, string>();
	#isScheduled = false;
	#hasRoom = true;

	/** `write` returns `false` if the write buffer of the stream is full. */
	constructor(write: (message: Buffer) => boolean) {
		this.#write = write;
	}

	/** Queues a JSON frame. */
	add(number: number, frame: string): void {
		this.#frames.set(number, frame);
		this.#schedule();
	}

	/** Removes a queued frame. */
	drop(number: number): void {
		this.#frames.delete(number);
	}

	/** Called when the write buffer of the stream has drained. */
	drained(): void {
		this.#hasRoom = true;
		this.#schedule();
	}

	#schedule(): void {
		if (!this.#isScheduled && this.#hasRoom && this.#frames.size > 0) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#isScheduled = false;
				this.#flush();
			});
		}
	}

	#flush(): void {
		if (this.#hasRoom && this.#frames.size > 0) {
			const frames = [...this.#frames.values()];
			this.#frames = new Map();
			this.#hasRoom = this.#write(encodeText(`[${frames.join(',')}]`));
		}
	}
}

/** Decodes the frames of a message. Fails with `malformed`. */
export function readFrames<Frame extends CallFrame | ReplyFrame>(message: Buffer): Result<readonly Frame[], Failure> {
	try {
		const frames: unknown = decodeMessage(message);
		return Array.isArray(frames) && frames.every(frame => Array.isArray(frame) && typeof frame[0] === 'number')
			? ok(frames as readonly Frame[])
			: err(failure(FailureKind.malformed, 'a session message does not consist of frames'));
	} catch (error) {
		return err(toFailure(error, FailureKind.malformed));
	}
}

/** Opens a session on a stream. `onEnd` is called once when the stream ends. */
export function openSession(stream: SessionStream, onEnd: () => void): Session {
	const pendingCalls = new Map<number, (outcome: Result<Reply<unknown>, Failure>) => void>();
	const writer = new FrameWriter(message => stream.write(message));
	let calls = 0;
	let endFailure: Failure | undefined;
	let isRetired = false;

	function end(failed: Failure): void {
		if (endFailure !== undefined) {
			return;
		}

		endFailure = failed;
		for (const settle of pendingCalls.values()) {
			settle(err(failed));
		}

		onEnd();
	}

	function endIfIdle(): void {
		if (isRetired && pendingCalls.size === 0) {
			stream.cancel();
		}
	}

	stream.on('data', message => {
		const frames = readFrames<ReplyFrame>(message);
		if (frames.isErr) {
			stream.cancel();
			end(frames.error);
			return;
		}

		for (const [number, reply] of frames.value) {
			pendingCalls.get(number)?.(ok(reply));
		}
	});
	stream.on('drain', () => {
		writer.drained();
	});
	stream.on('error', error => {
		end(toFailure(error, FailureKind.unreachable));
	});
	stream.on('end', () => {
		end(failure(FailureKind.unreachable, 'the other instance ended the session'));
	});
	return {
		async call(call, request, timeoutMilliseconds) {
			if (endFailure !== undefined) {
				return err(endFailure);
			}

			calls += 1;
			const number = calls;
			return new Promise(resolve => {
				const settle = (outcome: Result<Reply<unknown>, Failure>) => {
					clearTimeout(timer);
					pendingCalls.delete(number);
					writer.drop(number);
					resolve(outcome);
					endIfIdle();
				};

				const timer = setTimeout(() => {
					settle(err(failure(FailureKind.unreachable, `no answer within ${timeoutMilliseconds} ms`)));
				}, timeoutMilliseconds);
				pendingCalls.set(number, settle);
				writer.add(number, `[${number},${JSON.stringify(call)},${request}]`);
			});
		},
		retire() {
			isRetired = true;
			endIfIdle();
		},
	};
}

/** Answers the calls of a session. `answer` must not reject: its reply reports failures. */
export function serveSession(stream: SessionStream, answer: (call: MeshCall, request: unknown) => Promise<Reply<unknown>>): void {
	const writer = new FrameWriter(message => stream.write(message));

	async function answerCall([number, call, request]: CallFrame): Promise<void> {
		writer.add(number, JSON.stringify([number, await answer(call, request)]));
	}

	stream.on('data', message => {
		const frames = readFrames<CallFrame>(message);
		if (frames.isErr) {
			stream.end();
			return;
		}

		for (const frame of frames.value) {
			void answerCall(frame);
		}
	});
	stream.on('drain', () => {
		writer.drained();
	});
	stream.on('error', () => {
		stream.end();
	});
	stream.on('end', () => {
		stream.end();
	});
}
