/**
 * Failures as gRPC statuses: the code says the class, the details carry the
 * whole failure as JSON.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {status, type ServiceError} from '@grpc/grpc-js';

const codes: Partial<Record<FailureKind, status>> = {
	[FailureKind.malformed]: status.INVALID_ARGUMENT,
	[FailureKind.unauthenticated]: status.UNAUTHENTICATED,
	[FailureKind.forbidden]: status.PERMISSION_DENIED,
	[FailureKind.notFound]: status.NOT_FOUND,
	[FailureKind.conflict]: status.FAILED_PRECONDITION,
	[FailureKind.notLeader]: status.FAILED_PRECONDITION,
	[FailureKind.noQuorum]: status.UNAVAILABLE,
	[FailureKind.notReady]: status.UNAVAILABLE,
	[FailureKind.internal]: status.INTERNAL,
};

const kinds: ReadonlySet<string> = new Set(Object.values(FailureKind));

/** The status that a server answers a failed call with. */
export function statusOfFailure(failed: Failure): {code: status; details: string} {
	return {code: codes[failed.kind] ?? status.FAILED_PRECONDITION, details: JSON.stringify(failed)};
}

function carried(details: string): Failure | undefined {
	try {
		const parsed = JSON.parse(details) as Failure;
		return kinds.has(parsed.kind) && typeof parsed.detail === 'string' ? parsed : undefined;
	} catch {
		return undefined;
	}
}

const local: Partial<Record<status, FailureKind>> = {
	[status.UNAUTHENTICATED]: FailureKind.unauthenticated,
	[status.DEADLINE_EXCEEDED]: FailureKind.unreachable,
	[status.UNAVAILABLE]: FailureKind.unreachable,
	[status.RESOURCE_EXHAUSTED]: FailureKind.tooLarge,
	[status.UNIMPLEMENTED]: FailureKind.notFound,
};

/** The failure that a call ended with. A peer that did not answer in time is `unreachable`. */
export function failureOfStatus(error: ServiceError): Failure {
	return carried(error.details) ?? failure(local[error.code] ?? FailureKind.internal, error.details);
}
