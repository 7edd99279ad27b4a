/**
 * The client side of the calls between instances, with one channel for each
 * address. It doesn't retry: the caller decides how to handle a failure.
 */
import {type Buffer} from 'node:buffer';
import {
	failure, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {
	type ChannelOptions, Client, credentials, logVerbosity, setLogVerbosity,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'true-myth/result';
import {
	type FollowMessage, type FollowRequest, type MeshCall, type MeshCalls, type Reply,
} from './calls.js';
import {decodeMessage, encodeText, largestMessageBytes} from './encoding.js';
import {PartAssembler, partBytes} from './parts.js';
import {followMethod, methodOf, sessionMethod} from './service.js';
import {openSession, type Session} from './session.js';

/** Delay between connection attempts: short, since a peer may be back within a second. */
const reconnectMilliseconds: Milliseconds = 200;

/** A connection is closed if a ping isn't answered within the timeout: a network partition doesn't close it. */
const keepaliveMilliseconds: Milliseconds = 1000;
const keepaliveTimeoutMilliseconds: Milliseconds = 900;

const channelOptions: ChannelOptions = {
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.initial_reconnect_backoff_ms': reconnectMilliseconds,
	'grpc.min_reconnect_backoff_ms': reconnectMilliseconds,
	'grpc.max_reconnect_backoff_ms': 2 * reconnectMilliseconds,
	'grpc.keepalive_time_ms': keepaliveMilliseconds,
	'grpc.keepalive_timeout_ms': keepaliveTimeoutMilliseconds,
	'grpc.max_receive_message_length': largestMessageBytes,
	'grpc.max_send_message_length': largestMessageBytes,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_channelz': 0,
};

/** Number of consecutive timeouts of calls to an address after which its channel is reopened. */
const timeoutsBeforeReopening = 2;

/** An open stream of messages from a control instance. */
export type FollowStream = {readonly stop: () => void};

/** The callbacks of a follower. */
export type FollowListener = {
	/** Called for each part of a message: the stream is alive. */
	readonly onPart: () => void;
	readonly onMessage: (message: FollowMessage) => void;
	/** Called once, also after `stop`; with a failure if the stream broke off or can't be read. */
	readonly onEnd: (failed?: Failure) => void;
};

/** Calls other instances by address. */
export type MeshClients = {
	/** Fails with `unreachable` if there is no answer in time, or with the failure that the other instance returned. */
	readonly call: <Call extends MeshCall>(address: string, call: Call, request: MeshCalls[Call]['request'], timeoutMilliseconds: Milliseconds) => Promise<Result<MeshCalls[Call]['answer'], Failure>>;
	readonly follow: (address: string, request: FollowRequest, listener: FollowListener) => FollowStream;
	/** Retires the connection to an address; the next call opens a new one. */
	readonly reopen: (address: string) => void;
	readonly close: () => void;
};

/** Called with the outcome of each call. */
export type CallListener = (call: MeshCall, outcome: Result<unknown, Failure>) => void;

type Channel = {readonly client: Client; session: Session | undefined; timeouts: number};

setLogVerbosity(logVerbosity.NONE);

function readMessage(bytes: Buffer): Result<FollowMessage, Failure> {
	try {
		return ok(decodeMessage(bytes) as FollowMessage);
	} catch (error) {
		return err(toFailure(error, FailureKind.malformed));
	}
}

/** Creates the clients of one instance. */
export function createMeshClients(onCall: CallListener = () => undefined): MeshClients {
	const channels = new Map<string, Channel>();

	function channelOf(address: string): Channel {
		const existing = channels.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const created = {client: new Client(address, credentials.createInsecure(), channelOptions), session: undefined, timeouts: 0};
		channels.set(address, created);
		return created;
	}

	function reopen(address: string): void {
		const channel = channels.get(address);
		channels.delete(address);
		channel?.session?.retire();
		channel?.client.close();
	}

	function recordTimeout(address: string, channel: Channel): void {
		channel.timeouts += 1;
		if (channel.timeouts >= timeoutsBeforeReopening && channels.get(address) === channel) {
			reopen(address);
		}
	}

	function sessionOf(channel: Channel): Session {
		if (channel.session === undefined) {
			const stream = channel.client.makeBidiStreamRequest<unknown, unknown>(sessionMethod.path, sessionMethod.requestSerialize, sessionMethod.responseDeserialize);
			const opened = openSession(stream, () => {
				if (channel.session === opened) {
					channel.session = undefined;
				}
			});
			channel.session = opened;
		}

		return channel.session;
	}

	/** Makes a call on a stream of its own: a long message would delay all other calls of a session. */
	async function callUnary({client}: Channel, call: MeshCall, request: string, timeoutMilliseconds: Milliseconds): Promise<Result<Reply<unknown>, Failure>> {
		const method = methodOf(call);
		return new Promise(resolve => {
			client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, encodeText(request), {deadline: Date.now() + timeoutMilliseconds}, (error, value) => {
				resolve(error === null ? ok(value as Reply<unknown>) : err(failure(FailureKind.unreachable, error.message)));
			});
		});
	}

	return {
		async call(address, call, request, timeoutMilliseconds) {
			const channel = channelOf(address);
			const text = JSON.stringify(request);
			const replied = await (text.length > partBytes ? callUnary(channel, call, text, timeoutMilliseconds) : sessionOf(channel).call(call, text, timeoutMilliseconds));
			if (replied.isErr) {
				recordTimeout(address, channel);
			} else {
				channel.timeouts = 0;
			}

			const outcome = replied
				.mapErr(({detail}) => failure(FailureKind.unreachable, `${call} at ${address}: ${detail}`))
				.andThen((reply): Result<MeshCalls[typeof call]['answer'], Failure> => 'failure' in reply ? err(reply.failure) : ok(reply.answer as MeshCalls[typeof call]['answer']));
			onCall(call, outcome);
			return outcome;
		},
		follow(address, request, listener) {
			const stream = channelOf(address).client.makeServerStreamRequest(followMethod.path, followMethod.requestSerialize, followMethod.responseDeserialize, request);
			let isOver = false;
			const end = (failed?: Failure) => {
				if (!isOver) {
					isOver = true;
					listener.onEnd(failed);
				}
			};

			const assembler = new PartAssembler(largestMessageBytes);
			stream.on('data', (part: Buffer) => {
				if (isOver) {
					return;
				}

				listener.onPart();
				const message = assembler.add(part).andThen(whole => whole === undefined ? ok(undefined) : readMessage(whole));
				if (message.isErr) {
					stream.cancel();
					end(message.error);
				} else if (message.value !== undefined) {
					listener.onMessage(message.value);
				}
			});
			stream.on('error', error => {
				end(toFailure(error, FailureKind.unreachable));
			});
			stream.on('end', () => {
				end();
			});
			return {
				stop() {
					stream.cancel();
					end();
				},
			};
		},
		reopen,
		close() {
			for (const address of channels.keys()) {
				reopen(address);
			}
		},
	};
}
