/**
 * The server side of the calls between instances.
 */
import {type Buffer} from 'node:buffer';
import {
	failure, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {
	type sendUnaryData, Server, ServerCredentials, type ServerDuplexStream, type ServerUnaryCall, type ServerWritableStream,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'true-myth/result';
import {
	type FollowRequest, type MeshCall, type MeshCalls, meshCalls, type Reply,
} from './calls.js';
import {largestMessageBytes} from './encoding.js';
import {splitMessage} from './parts.js';
import {meshService} from './service.js';
import {serveSession} from './session.js';

/** The handler of each call. */
export type MeshHandlers = {
	readonly [Call in MeshCall]: (request: MeshCalls[Call]['request']) => Promise<Result<MeshCalls[Call]['answer'], Failure>>;
};

/** An entry that follows this instance. */
export type Follower = {
	readonly request: FollowRequest;
	/** Sends an encoded `FollowMessage`. Returns `false`, and sends nothing, if the write buffer of the stream is full because the follower doesn't read. */
	readonly send: (message: Buffer) => boolean;
	readonly onEnd: (ended: () => void) => void;
};

/** A listening server. */
export type MeshServer = {readonly close: () => void};

type UntypedHandler = (request: unknown) => Promise<Result<unknown, Failure>>;

async function callHandler(handler: UntypedHandler, request: unknown): Promise<Reply<unknown>> {
	try {
		const answer = await handler(request);
		return answer.isOk ? {answer: answer.value} : {failure: answer.error};
	} catch (error) {
		return {failure: toFailure(error)};
	}
}

function unaryHandler(handler: UntypedHandler) {
	return async (call: ServerUnaryCall<unknown, unknown>, respond: sendUnaryData<unknown>) => {
		respond(null, await callHandler(handler, call.request));
	};
}

function sessionHandler(handlers: MeshHandlers) {
	return (call: ServerDuplexStream<Buffer, Buffer>) => {
		serveSession({
			write: message => call.write(message),
			end() {
				call.end();
			},
			cancel() {
				call.destroy();
			},
			on: call.on.bind(call),
		}, async (name, request) => {
			const handler = handlers[name] as UntypedHandler | undefined;
			return handler === undefined ? {failure: failure(FailureKind.malformed, `unknown call ${name}`)} : callHandler(handler, request);
		});
	};
}

function followHandler(follow: (follower: Follower) => void) {
	return (call: ServerWritableStream<FollowRequest, Buffer>) => {
		let hasRoom = true;
		call.on('drain', () => {
			hasRoom = true;
		});
		call.on('error', () => {
			call.end();
		});
		follow({
			request: call.request,
			send(message) {
				if (hasRoom) {
					hasRoom = splitMessage(message).map(part => call.write(part)).every(Boolean);
					return true;
				}

				return false;
			},
			onEnd(ended) {
				call.on('cancelled', ended);
				call.on('close', ended);
			},
		});
	};
}

/** Listens on an address. Fails with `unreachable` if it can't be bound. */
export async function startMeshServer(address: string, handlers: MeshHandlers, follow: (follower: Follower) => void): Promise<Result<MeshServer, Failure>> {
	const server = new Server({'grpc.max_receive_message_length': largestMessageBytes, 'grpc.max_send_message_length': largestMessageBytes});
	const table = Object.fromEntries(meshCalls.map(call => [call, unaryHandler(handlers[call] as UntypedHandler)]));
	server.addService(meshService, {...table, follow: followHandler(follow) as never, session: sessionHandler(handlers) as never});
	return new Promise(resolve => {
		server.bindAsync(address, ServerCredentials.createInsecure(), error => {
			resolve(error === null
				? ok({
					close() {
						server.forceShutdown();
					},
				})
				: err(failure(FailureKind.unreachable, `can't listen on ${address}: ${error.message}`)));
		});
	});
}
