/**
 * The failures that the system reports to callers, operators, upstreams and
 * other instances. No failure is a bare string.
 */

/** The kinds of failure. The values are sent in messages and logged. */
export const FailureKind = {
	/** The message can't be parsed, or one of its fields is invalid. */
	malformed: 'malformed',
	/** The message is larger than the receiver accepts. */
	tooLarge: 'too-large',
	/** The credential is missing or wrong. */
	unauthenticated: 'unauthenticated',
	/** The credential is valid, but doesn't authorise this operation. */
	forbidden: 'forbidden',
	/** No such service, path, slot, upstream, instance or operation. */
	notFound: 'not-found',
	/** A change is based on a revision that is no longer the newest. */
	conflict: 'conflict',
	/** Settings or a contract fail validation. */
	settingsInvalid: 'settings-invalid',
	/** A limit is quoted in an undeclared unit. */
	unitUndeclared: 'unit-undeclared',
	/** No majority of the voters can be reached, so nothing can be accepted. */
	noQuorum: 'no-quorum',
	/** This instance is not the leader; another may be. */
	notLeader: 'not-leader',
	/** A change was sent, and it isn't known yet whether it was accepted. */
	outcomeUnknown: 'outcome-unknown',
	/** The key currently has no owner. */
	noOwner: 'no-owner',
	/** This instance currently holds no lease over the key. */
	noLease: 'no-lease',
	/** The contracted limit is spent. */
	limitReached: 'limit-reached',
	/** The queue is full, or the request can't be completed in time. */
	overloaded: 'overloaded',
	/** The deadline passed. */
	deadlineExceeded: 'deadline-exceeded',
	/** The upstream refused the connection or closed it early. */
	upstreamFailed: 'upstream-failed',
	/** The same operation is running or has already ended. */
	duplicate: 'duplicate',
	/** It can't be checked whether the operation was already claimed. */
	claimUnavailable: 'claim-unavailable',
	/** The instance is stopping or not yet ready. */
	notReady: 'not-ready',
	/** Another process of the same name has a later incarnation. */
	superseded: 'superseded',
	/** A file of the durable state is damaged. */
	storageDamaged: 'storage-damaged',
	/** A file can't be read or written. */
	storageFailed: 'storage-failed',
	/** A peer can't be reached. */
	unreachable: 'unreachable',
	/** A bug in the program itself. */
	internal: 'internal',
} as const;

/** One of the kinds of failure. */
export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** One validation error in a settings file or a contract. */
export type SettingsProblem = {
	/** The file, or the name of the API that the settings were submitted to. */
	readonly file: string;
	/** The path within the file, with segments separated by dots. */
	readonly path: string;
	/** What is wrong, as a sentence. */
	readonly reason: string;
};

/** A failure: its kind, a sentence for people, and details for programs. */
export type Failure = {
	readonly kind: FailureKind;
	readonly detail: string;
	/** With `conflict`: the current revision. */
	readonly winningRevision?: number;
	/** With `settingsInvalid` and `unitUndeclared`: all validation errors. */
	readonly problems?: readonly SettingsProblem[];
	/** With `notLeader`: the name of the instance that may be the leader. */
	readonly leader?: string;
	/** With `limitReached`, `overloaded` and `noOwner`: how long to wait before retrying. */
	readonly retryAfterMilliseconds?: number;
	/** With `storageDamaged`: where the damage is. */
	readonly location?: {readonly file: string; readonly offsetBytes: number};
};

/** Creates a failure. */
export function failure(kind: FailureKind, detail: string, more: Omit<Failure, 'kind' | 'detail'> = {}): Failure {
	return {kind, detail, ...more};
}

/** The only exception that this project throws, for failures that can't be returned as a `Result`. */
export class FailureError extends Error {
	readonly failure: Failure;

	/** Wraps a failure so that it can be thrown. */
	constructor(failure: Failure) {
		super(`${failure.kind}: ${failure.detail}`);
		this.name = 'FailureError';
		this.failure = failure;
	}
}

/** Converts a thrown value into a failure. `kind` applies to values other than a `FailureError`. */
export function toFailure(thrown: unknown, kind: FailureKind = FailureKind.internal): Failure {
	if (thrown instanceof FailureError) {
		return thrown.failure;
	}

	return failure(kind, thrown instanceof Error ? thrown.message : String(thrown));
}
