/**
 * Calls to other instances. There is one channel for each address; it connects
 * by itself. There is no retry here: whoever calls decides what a failure means.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {
	type ChannelOptions, credentials, logVerbosity, Metadata, type ServiceError, setLogVerbosity,
} from '@grpc/grpc-js';
import {err, type Result} from 'true-myth/result';
import {checkAnswer} from './answer-check.js';
import {PeerClient} from './generated/peer.js';
import {
	methodCodecs, type MethodCodec, type PeerCall, type PeerCalls,
} from './methods.js';
import {failureOfStatus} from './status.js';

/** The largest message that an instance takes from another. */
export const largestMessageBytes = 67_108_864;

const shortestReconnectMilliseconds = 100;
const longestReconnectMilliseconds = 500;

const channelOptions: ChannelOptions = {
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.initial_reconnect_backoff_ms': shortestReconnectMilliseconds,
	'grpc.min_reconnect_backoff_ms': shortestReconnectMilliseconds,
	'grpc.max_reconnect_backoff_ms': longestReconnectMilliseconds,
	'grpc.max_receive_message_length': largestMessageBytes,
	'grpc.max_send_message_length': largestMessageBytes,
	'grpc.use_local_subchannel_pool': 1,
};

type UnaryCall = (
	request: unknown,
	metadata: Metadata,
	options: {readonly deadline: number},
	callback: (error: ServiceError | null, answer: unknown) => void,
) => void;

/** Calls other instances by their address. */
export type PeerClients = {
	/** Calls the instance at an address. Fails with `unreachable` when no answer comes in time, and with `malformed` when a bad one comes. */
	readonly call: <Call extends PeerCall>(
		address: string,
		call: Call,
		request: PeerCalls[Call]['request'],
		timeoutMilliseconds: Milliseconds,
	) => Promise<Result<PeerCalls[Call]['answer'], Failure>>;
	/** Closes all channels. */
	readonly close: () => void;
};

setLogVerbosity(logVerbosity.NONE);

/** Makes the calls of one instance. The key authenticates it to the others. */
export function createPeerClients(key: string): PeerClients {
	const clients = new Map<string, PeerClient>();
	const metadata = new Metadata();
	metadata.set('authorization', `Bearer ${key}`);

	function clientOf(address: string): PeerClient {
		const known = clients.get(address);
		if (known !== undefined) {
			return known;
		}

		const made = new PeerClient(address, credentials.createInsecure(), channelOptions);
		clients.set(address, made);
		return made;
	}

	return {
		async call(address, call, request, timeoutMilliseconds) {
			const codec = methodCodecs[call] as unknown as MethodCodec<typeof call, unknown, unknown>;
			const client = clientOf(address);
			const unary = (client[call] as unknown as UnaryCall).bind(client);
			return new Promise(resolve => {
				unary(codec.requestToWire(request), metadata, {deadline: Date.now() + timeoutMilliseconds}, (error, answer) => {
					resolve(error === null ? checkAnswer(call, answer).andThen(() => codec.answerFromWire(answer)) : err(failureOfStatus(error)));
				});
			});
		},
		close() {
			for (const client of clients.values()) {
				client.close();
			}

			clients.clear();
		},
	};
}
