/**
 * The gRPC service that carries the calls: a session stream for most, a unary
 * method for calls with long requests, and the stream that followers read.
 */
import {Buffer} from 'node:buffer';
import {type MethodDefinition, type ServiceDefinition} from '@grpc/grpc-js';
import {meshCalls} from './calls.js';
import {decodeMessage, encodeMessage} from './encoding.js';

/** Encodes a value; a buffer is already encoded. */
function serialize(value: unknown): Buffer {
	return Buffer.isBuffer(value) ? value : encodeMessage(value);
}

/** Messages of streams are decoded by the readers of their parts or frames. */
function keepBytes(bytes: Buffer): unknown {
	return bytes;
}

/** Which directions of a method are streamed. */
export type StreamDirections = {readonly request: boolean; readonly response: boolean};

const noStreams: StreamDirections = {request: false, response: false};

/** Returns the definition of a method. */
export function methodOf(name: string, {request, response}: StreamDirections = noStreams): MethodDefinition<unknown, unknown> {
	return {
		path: `/dogwooddeck.Mesh/${name}`,
		requestStream: request,
		responseStream: response,
		requestSerialize: serialize,
		requestDeserialize: request ? keepBytes : decodeMessage,
		responseSerialize: serialize,
		responseDeserialize: response ? keepBytes : decodeMessage,
	};
}

/** The stream from an instance to its followers. */
export const followMethod = methodOf('follow', {request: false, response: true});

/** The stream that carries calls and their replies. */
export const sessionMethod = methodOf('session', {request: true, response: true});

/** All methods. Each call also has a unary method, for requests that are too long for a session. */
export const meshService: ServiceDefinition = {
	...Object.fromEntries(meshCalls.map(call => [call, methodOf(call)])),
	follow: followMethod,
	session: sessionMethod,
};
