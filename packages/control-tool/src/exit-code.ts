/**
 * The exit codes of the command line, by class of failure.
 */
import {FailureKind} from '@dogwooddeck/model/failure';

/** What an exit code says. */
export const ExitCode = {
	/** Done. */
	done: 0,
	/** A fault of the program or of the server. */
	internal: 1,
	/** The command line itself is wrong. */
	usage: 2,
	/** Settings, a profile or a file don't pass their check. */
	settingsInvalid: 3,
	/** The token is missing or wrong, or gives no right to this. */
	forbidden: 4,
	/** The change builds on an old revision, or the operation stands for another change. */
	conflict: 5,
	/** No server can be reached, or none has a majority, or it is too busy. Nothing was changed. */
	unavailable: 6,
	/** The change was sent, and whether it was accepted isn't known. Send the same operation again. */
	outcomeUnknown: 7,
	/** No such team, service, slot, upstream or zone. */
	notFound: 8,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** The exit code of each kind of failure. */
export const exitCodeOfKind: Readonly<Record<FailureKind, ExitCode>> = {
	[FailureKind.malformed]: ExitCode.settingsInvalid,
	[FailureKind.tooLarge]: ExitCode.settingsInvalid,
	[FailureKind.unauthenticated]: ExitCode.forbidden,
	[FailureKind.forbidden]: ExitCode.forbidden,
	[FailureKind.notFound]: ExitCode.notFound,
	[FailureKind.conflict]: ExitCode.conflict,
	[FailureKind.settingsInvalid]: ExitCode.settingsInvalid,
	[FailureKind.unitUndeclared]: ExitCode.settingsInvalid,
	[FailureKind.noQuorum]: ExitCode.unavailable,
	[FailureKind.notLeader]: ExitCode.unavailable,
	[FailureKind.outcomeUnknown]: ExitCode.outcomeUnknown,
	[FailureKind.noOwner]: ExitCode.unavailable,
	[FailureKind.noLease]: ExitCode.unavailable,
	[FailureKind.limitReached]: ExitCode.unavailable,
	[FailureKind.overloaded]: ExitCode.unavailable,
	[FailureKind.deadlineExceeded]: ExitCode.unavailable,
	[FailureKind.upstreamFailed]: ExitCode.unavailable,
	[FailureKind.duplicate]: ExitCode.conflict,
	[FailureKind.claimUnavailable]: ExitCode.unavailable,
	[FailureKind.notReady]: ExitCode.unavailable,
	[FailureKind.superseded]: ExitCode.conflict,
	[FailureKind.storageDamaged]: ExitCode.internal,
	[FailureKind.storageFailed]: ExitCode.settingsInvalid,
	[FailureKind.unreachable]: ExitCode.unavailable,
	[FailureKind.internal]: ExitCode.internal,
};
