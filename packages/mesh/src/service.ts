/**
 * The gRPC service that carries the calls: one method for each, and a stream.
 */
import {Buffer} from 'node:buffer';
import {type MethodDefinition, type ServiceDefinition} from '@grpc/grpc-js';
import {meshCalls} from './calls.js';
import {decodeMessage, encodeMessage} from './encoding.js';

/** What was encoded before is sent as it is. */
function serialize(value: unknown): Buffer {
	return Buffer.isBuffer(value) ? value : encodeMessage(value);
}

/** Parts of a stream's messages are put together by the client. */
function keepBytes(bytes: Buffer): unknown {
	return bytes;
}

/** Describes one method. */
export function methodOf(name: string, responseStream: boolean): MethodDefinition<unknown, unknown> {
	return {
		path: `/dogwooddeck.Mesh/${name}`,
		requestStream: false,
		responseStream,
		requestSerialize: serialize,
		requestDeserialize: decodeMessage,
		responseSerialize: serialize,
		responseDeserialize: responseStream ? keepBytes : decodeMessage,
	};
}

/** The name of the stream. */
export const followMethod = 'follow';

/** All methods. */
export const meshService: ServiceDefinition = Object.fromEntries([
	...meshCalls.map(call => [call, methodOf(call, false)] as const),
	[followMethod, methodOf(followMethod, true)],
]);
