/**
 * Where a server listens.
 */
import {type Server} from 'node:http';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';

/** The host and the port of an address. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** Splits `IP:port`. */
export function splitAddress(address: string): ListenAddress {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/** The address that a server got, as `IP:port`. */
export function boundAddress(server: Server, host: string): string {
	const bound = server.address();
	return `${host}:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
}

/** The failure `unreachable` of a server that can't listen at an address. */
export function cannotListen(address: string, error: Error): Failure {
	return failure(FailureKind.unreachable, `can't listen on ${address}: ${error.message}`);
}
