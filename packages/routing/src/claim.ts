/**
 * Types and messages of the claim protocol. A claim records one operation of a caller
 * under its idempotency key, so that the operation runs at most once. Two instances in
 * different availability zones, its holders, keep each claim. The messages are plain
 * JSON, so that any front end can carry them.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, sameInstance, type ServiceName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Outcome} from '@dogwooddeck/model/outcome';

/** An operation, as identified by its caller. */
export type Operation = {
	readonly service: ServiceName;
	/** The key of the request. */
	readonly key: string;
	/** The value of the caller's `Idempotency-Key`. */
	readonly operationKey: string;
};

/** A response that is kept to be replayed to resends. */
export type StoredAnswer = {
	readonly status: number;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	/** The body in base64. */
	readonly body: string;
};

/** A seated instance, which may hold claims. */
export type ClaimSeat = InstanceIdentity & {readonly zone: ZoneName};

/** The seated instances of all zones as of a log entry. */
export type ClaimRoster = {
	/** The index of the log entry that created this roster. */
	readonly index: LogIndex;
	readonly seats: readonly ClaimSeat[];
};

/** What a request asks a holder to do. */
export const ClaimPurpose = {
	/** Record the claim. */
	hold: 'hold',
	/** Report whether the operation is claimed, and refuse older rosters from now on. */
	check: 'check',
	/** Store a copy of another holder's record. */
	copy: 'copy',
} as const;

export type ClaimPurpose = (typeof ClaimPurpose)[keyof typeof ClaimPurpose];

/** Identifies a claim, also among those of the same operation. */
export type ClaimToken = {
	readonly claimant: InstanceIdentity;
	/** Numbers the claims of one incarnation of the claimant. */
	readonly sequence: number;
};

/** The status of a claimed operation. */
export type ClaimStatus =
	/** May run for this long; after that its outcome is unknown. */
	| {readonly kind: 'running'; readonly remainingMilliseconds: Milliseconds}
	/** Ended; `not-run` is never stored. `answer` is absent if it was too large to store or was never received. */
	| {readonly kind: 'ended'; readonly outcome: Outcome; readonly answer?: StoredAnswer};

/** A request of the claimant, the entry instance of a request, or of a copying holder to a holder. */
export type ClaimRequest = {
	readonly kind: 'claim-request';
	readonly purpose: ClaimPurpose;
	readonly operation: Operation;
	/** A hash of the request, equal for a resend. */
	readonly fingerprint: string;
	readonly token: ClaimToken;
	/** The incarnation that the request is addressed to. */
	readonly holder: InstanceIdentity;
	/** The index of the roster by which the sender chose the holders. */
	readonly rosterIndex: LogIndex;
	/** With `hold` and `copy`: the status to record. */
	readonly status: ClaimStatus;
	/** How long the record is kept from now. */
	readonly lifetimeMilliseconds: Milliseconds;
};

/** A holder's verdict on a request. */
export const ClaimVerdict = {
	/** The claim is recorded. */
	held: 'held',
	/** Nothing is recorded for the operation. */
	free: 'free',
	/** The operation is recorded under another claim. */
	taken: 'taken',
	/** The operation was claimed for a different request. */
	mismatch: 'mismatch',
	/** The claimant's roster is older than the newest that the holder received. */
	staleRoster: 'stale-roster',
	/** The message is addressed to another incarnation of the holder. */
	notHolder: 'not-holder',
	/** The holder has reached its limit of records. */
	full: 'full',
} as const;

export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

/** A holder's answer to a claimant. */
export type ClaimAnswer = {
	readonly kind: 'claim-answer';
	readonly token: ClaimToken;
	/** The incarnation that the request was addressed to, also if another one answers `not-holder`. */
	readonly holder: InstanceIdentity;
	readonly verdict: ClaimVerdict;
	/** With `taken`: the recorded status. */
	readonly status?: ClaimStatus;
	/** The index of the newest roster that the holder received. */
	readonly rosterIndex: LogIndex;
};

/** A claimant reports the end of the operation to a holder. After `not-run` the operation can be claimed again. */
export type ClaimEnded = {
	readonly kind: 'claim-ended';
	readonly operation: Operation;
	readonly token: ClaimToken;
	readonly holder: InstanceIdentity;
	readonly outcome: Outcome;
	readonly answer?: StoredAnswer;
};

/** The decision on a claim. */
export type ClaimDecision =
	/** The claim is held: the request may be sent. */
	| {readonly kind: 'run'}
	/** The operation ended before, with this response. */
	| {readonly kind: 'replay'; readonly answer: StoredAnswer}
	/** Nothing was sent. `outcome` is that of the operation, whether by this request or an earlier one. */
	| {readonly kind: 'refuse'; readonly failure: Failure; readonly outcome: Outcome};

/** Whether two tokens identify the same claim. */
export function sameToken(one: ClaimToken, other: ClaimToken): boolean {
	return one.sequence === other.sequence && sameInstance(one.claimant, other.claimant);
}

/** Returns a string key for an operation, different for different operations. */
export function operationId(operation: Operation): string {
	return JSON.stringify([operation.service, operation.key, operation.operationKey]);
}
