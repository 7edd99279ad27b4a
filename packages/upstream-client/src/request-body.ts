/**
 * Reads a request's body into memory up to a limit, so that it can be resent.
 */
import {type IncomingMessage} from 'node:http';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {Result} from 'true-myth';
import {ByteCollector} from './byte-collector.js';

/** Whether a request announces a body. */
export function announcesBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || (request.headers['content-length'] ?? '0') !== '0';
}

function tooLarge(maximumBytes: number): Failure {
	return failure(FailureKind.tooLarge, `the body is larger than ${maximumBytes} bytes`);
}

/** What a body is read under, beside its own limit. */
export type BodyObserver = {
	/** Called before bytes are kept. `false` refuses the body. */
	readonly tryKeep: (bytes: number) => boolean;
	readonly onPiece: (bytes: number) => void;
};

const unlimited: BodyObserver = {tryKeep: () => true, onPiece: () => undefined};

/** A body of unknown length is collected in parts, which are then joined. */
const copiesOfChunked = 2;

function noRoom(): Failure {
	return failure(FailureKind.overloaded, 'the bodies of other requests take all memory that is meant for bodies');
}

/**
 * Reads the whole body and calls `done` once, unless the caller disconnects.
 * Fails with `tooLarge` as soon as the body exceeds `maximumBytes`, and with `overloaded` when there is no room for it.
 */
export function readBody(request: IncomingMessage, maximumBytes: number, done: (body: Result<Uint8Array, Failure>) => void, {tryKeep, onPiece}: BodyObserver = unlimited): void {
	const announcedBytes = Number(request.headers['content-length'] ?? 0);
	if (announcedBytes > maximumBytes || !tryKeep(announcedBytes)) {
		done(Result.err(announcedBytes > maximumBytes ? tooLarge(maximumBytes) : noRoom()));
		return;
	}

	const collected = new ByteCollector(announcedBytes, maximumBytes);
	const onEnd = () => {
		done(Result.ok(collected.take()));
	};

	const onData = (chunk: Uint8Array) => {
		onPiece(chunk.length);
		const isTooLarge = collected.length + chunk.length > maximumBytes;
		if (isTooLarge || (announcedBytes === 0 && !tryKeep(chunk.length * copiesOfChunked))) {
			collected.clear();
			request.off('data', onData).off('end', onEnd).pause();
			done(Result.err(isTooLarge ? tooLarge(maximumBytes) : noRoom()));
			return;
		}

		collected.add(chunk);
	};

	request.on('data', onData).on('end', onEnd);
}
