/**
 * The exit codes of the daemon, by class of failure.
 */
import {FailureKind} from '@dogwooddeck/model/failure';

/** The exit codes. */
export const ExitCode = {
	ok: 0,
	internal: 1,
	usage: 2,
	settingsInvalid: 3,
	storage: 4,
	conflict: 5,
	addressUnavailable: 6,
} as const;

const codes: Partial<Record<FailureKind, number>> = {
	[FailureKind.settingsInvalid]: ExitCode.settingsInvalid,
	[FailureKind.storageDamaged]: ExitCode.storage,
	[FailureKind.storageFailed]: ExitCode.storage,
	[FailureKind.conflict]: ExitCode.conflict,
	[FailureKind.unreachable]: ExitCode.addressUnavailable,
};

/** The exit code for a failure. */
export function exitCodeOf(kind: FailureKind): number {
	return codes[kind] ?? ExitCode.internal;
}
