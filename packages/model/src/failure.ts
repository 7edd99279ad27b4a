/**
 * Every failure that the system tells a caller, an operator, an upstream or
 * another instance about. No failure is a bare string.
 */

/** The kinds of failure. The values are what travels and what is logged. */
export const FailureKind = {
	/** The message can't be read, or one of its fields is not what it should be. */
	malformed: 'malformed',
	/** The message is larger than the receiver takes. */
	tooLarge: 'too-large',
	/** No credential, or a wrong one. */
	unauthenticated: 'unauthenticated',
	/** The credential is right, but doesn't give the right to this. */
	forbidden: 'forbidden',
	/** No such service, path, slot, upstream, instance or operation. */
	notFound: 'not-found',
	/** A change builds on a revision that is no longer the newest. */
	conflict: 'conflict',
	/** Settings or a contract don't pass their check. */
	settingsInvalid: 'settings-invalid',
	/** A limit is quoted in a unit that nobody declared. */
	unitUndeclared: 'unit-undeclared',
	/** No majority of the voters can be reached, so nothing can be accepted. */
	noQuorum: 'no-quorum',
	/** This instance is not the leader; another may be. */
	notLeader: 'not-leader',
	/** A change was sent, and whether it was accepted can't be told yet. */
	outcomeUnknown: 'outcome-unknown',
	/** The key has no owner at this moment. */
	noOwner: 'no-owner',
	/** This instance holds no lease over the key at this moment. */
	noLease: 'no-lease',
	/** The contracted limit is spent. */
	limitReached: 'limit-reached',
	/** The queue is full, or the work can't be done in time. */
	overloaded: 'overloaded',
	/** The deadline passed. */
	deadlineExceeded: 'deadline-exceeded',
	/** The upstream refused, or cut the connection. */
	upstreamFailed: 'upstream-failed',
	/** The same operation is running or has ended already. */
	duplicate: 'duplicate',
	/** Whether the operation was already claimed can't be checked. */
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
	/** A fault of the program itself. */
	internal: 'internal',
} as const;

/** One of the kinds of failure. */
export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** One thing that is wrong with a settings file or a contract. */
export type SettingsProblem = {
	/** The file, or the name of the surface that the settings came through. */
	readonly file: string;
	/** The path within the file, with dots between its segments. */
	readonly path: string;
	/** What is wrong, as a sentence. */
	readonly reason: string;
};

/** A failure: its kind, a sentence for a person, and what a program may need. */
export type Failure = {
	readonly kind: FailureKind;
	readonly detail: string;
	/** With `conflict`: the revision that stands. */
	readonly winningRevision?: number;
	/** With `settingsInvalid` and `unitUndeclared`: each thing that is wrong. */
	readonly problems?: readonly SettingsProblem[];
	/** With `notLeader`: the name of the instance that may be the leader. */
	readonly leader?: string;
	/** With `limitReached`, `overloaded` and `noOwner`: when to come again. */
	readonly retryAfterMilliseconds?: number;
	/** With `storageDamaged`: where the damage is. */
	readonly location?: {readonly file: string; readonly offsetBytes: number};
};

/** Makes a failure of a kind. */
export function failure(kind: FailureKind, detail: string, more: Omit<Failure, 'kind' | 'detail'> = {}): Failure {
	return {kind, detail, ...more};
}

/** The one exception that this project throws, for faults that no result can carry. */
export class FailureError extends Error {
	readonly failure: Failure;

	/** Wraps a failure, so that it can be thrown. */
	constructor(failure: Failure) {
		super(`${failure.kind}: ${failure.detail}`);
		this.name = 'FailureError';
		this.failure = failure;
	}
}

/** Turns anything that was thrown into a failure. */
export function toFailure(thrown: unknown, kind: FailureKind = FailureKind.internal): Failure {
	if (thrown instanceof FailureError) {
		return thrown.failure;
	}

	return failure(kind, thrown instanceof Error ? thrown.message : String(thrown));
}
