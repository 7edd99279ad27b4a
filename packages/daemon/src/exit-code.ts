/**
 * The daemon's exit codes, by kind of failure.
 */
import {FailureKind} from '@dogwooddeck/model/failure';

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

/** Returns the exit code for a kind of failure, `internal` for those without their own. */
export function exitCodeOf(kind: FailureKind): number {
	return codes[kind] ?? ExitCode.internal;
}
