/**
 * The server for calls from other instances. Every call carries the deployment's
 * peer key; one without it is refused before its message is looked at.
 */
import {type Buffer} from 'node:buffer';
import {
	failure, type Failure, FailureKind, toFailure,
} from '@dogwooddeck/model/failure';
import {
	type Metadata, Server, ServerCredentials, type sendUnaryData, type ServerUnaryCall, type ServiceDefinition,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'true-myth/result';
import {largestMessageBytes} from './client.js';
import {PeerService} from './generated/peer.js';
import {
	methodCodecs, type MethodCodec, type PeerCall, type PeerCalls,
} from './methods.js';
import {checkRequest} from './request-check.js';
import {sameSecret} from './secret.js';
import {statusOfFailure} from './status.js';

/** What an instance does with each call. */
export type PeerHandlers = {
	readonly [Call in PeerCall]: (request: PeerCalls[Call]['request']) => Promise<Result<PeerCalls[Call]['answer'], Failure>>;
};

/** A server that runs. */
export type PeerServer = {
	/** The address that it listens on, as `IP:port`. */
	readonly address: string;
	/** Lets calls in flight end, then closes. */
	readonly close: () => Promise<void>;
};

function authenticated(metadata: Metadata, expected: string): boolean {
	const [given] = metadata.get('authorization');
	return typeof given === 'string' && sameSecret(given, expected);
}

function decoded(call: PeerCall, bytes: Buffer): Result<unknown, Failure> {
	try {
		return ok(PeerService[call].requestDeserialize(bytes));
	} catch (error) {
		return err(failure(FailureKind.malformed, `${call}: the message can't be decoded: ${(error as Error).message}`));
	}
}

async function answerCall<Call extends PeerCall>(
	call: Call,
	bytes: Buffer,
	handlers: PeerHandlers,
): Promise<Result<unknown, Failure>> {
	const codec = methodCodecs[call] as unknown as MethodCodec<Call, unknown, unknown>;
	const request = decoded(call, bytes).andThen(wire => checkRequest(call, wire).andThen(() => codec.requestFromWire(wire)));
	if (request.isErr) {
		return err(request.error);
	}

	const answer = await handlers[call](request.value);
	return answer.map(value => codec.answerToWire(value));
}

function implementation(call: PeerCall, handlers: PeerHandlers, expected: string) {
	return async (received: ServerUnaryCall<Buffer, unknown>, respond: sendUnaryData<unknown>): Promise<void> => {
		if (!authenticated(received.metadata, expected)) {
			respond(statusOfFailure(failure(FailureKind.unauthenticated, 'the peer key is missing or wrong')));
			return;
		}

		try {
			const answer = await answerCall(call, received.request, handlers);
			if (answer.isOk) {
				respond(null, answer.value);
			} else {
				respond(statusOfFailure(answer.error));
			}
		} catch (error) {
			respond(statusOfFailure(toFailure(error)));
		}
	};
}

/** The service as the server takes it: a request stays bytes until the peer key was looked at. */
function undecodedService(): ServiceDefinition {
	const methods = Object.entries(PeerService).map(([call, method]) => [call, {...method, requestDeserialize: (bytes: Buffer) => bytes}] as const);
	return Object.fromEntries(methods);
}

/** Starts to listen. Fails with `unreachable` when the address can't be bound. */
export async function startPeerServer(address: string, key: string, handlers: PeerHandlers): Promise<Result<PeerServer, Failure>> {
	const server = new Server({'grpc.max_receive_message_length': largestMessageBytes, 'grpc.max_send_message_length': largestMessageBytes});
	const expected = `Bearer ${key}`;
	const calls = Object.keys(methodCodecs) as PeerCall[];
	const table = Object.fromEntries(calls.map(call => [call, implementation(call, handlers, expected)]));
	server.addService(undecodedService(), table);
	return new Promise(resolve => {
		server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
			if (error !== null) {
				resolve(err(failure(FailureKind.unreachable, `can't listen on ${address}: ${error.message}`)));
				return;
			}

			resolve(ok({
				address: address.replace(/:\d+$/v, `:${port}`),
				close: async () => closeServer(server),
			}));
		});
	});
}

const longestCloseMilliseconds = 1000;

async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		const force = setTimeout(() => {
			server.forceShutdown();
		}, longestCloseMilliseconds);
		server.tryShutdown(() => {
			clearTimeout(force);
			resolve();
		});
	});
}
