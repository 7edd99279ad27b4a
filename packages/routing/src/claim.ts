/**
 * The words of claims: a claim names one operation of a caller, so that it runs
 * at most once. Two instances in different availability zones hold each claim.
 * The messages are plain JSON, so that any front end can carry them.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, sameInstance, type ServiceName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Outcome} from '@dogwooddeck/model/outcome';

/** An operation, as its caller names it. */
export type Operation = {
	readonly service: ServiceName;
	/** The key that the request names. */
	readonly key: string;
	/** The value of the caller's `Idempotency-Key`. */
	readonly operationKey: string;
};

/** An answer that is kept for resends. */
export type StoredAnswer = {
	readonly status: number;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	/** The body in base64. */
	readonly body: string;
};

/** An instance that may hold claims. */
export type ClaimSeat = InstanceIdentity & {readonly zone: ZoneName};

/** The seated instances of all zones, as they stood from a log entry on. */
export type ClaimRoster = {
	/** The log entry that made this roster. */
	readonly index: LogIndex;
	readonly seats: readonly ClaimSeat[];
};

/** What a request wants of a holder. */
export const ClaimPurpose = {
	/** To record the claim. */
	hold: 'hold',
	/** To learn whether it is recorded, and to refuse older rosters from now on. */
	check: 'check',
	/** To copy a record to a new holder. */
	copy: 'copy',
} as const;

/** One of the purposes. */
export type ClaimPurpose = (typeof ClaimPurpose)[keyof typeof ClaimPurpose];

/** Tells one claim from any other, also of the same operation. */
export type ClaimToken = {
	readonly claimant: InstanceIdentity;
	/** Counts the claims of one life of the claimant. */
	readonly sequence: number;
};

/** What is known of a claimed operation. */
export type ClaimStatus =
	/** It may run until this much time has passed; after that its outcome is unknown. */
	| {readonly kind: 'running'; readonly remainingMilliseconds: Milliseconds}
	/** It ended; `not-run` is never kept. Without an answer: it was too large to keep, or never came. */
	| {readonly kind: 'ended'; readonly outcome: Outcome; readonly answer?: StoredAnswer};

/** An entry instance asks a holder. */
export type ClaimRequest = {
	readonly kind: 'claim-request';
	readonly purpose: ClaimPurpose;
	readonly operation: Operation;
	/** A hash of the request; a resend has the same. */
	readonly fingerprint: string;
	readonly token: ClaimToken;
	/** The life of the instance that is asked. */
	readonly holder: InstanceIdentity;
	/** The roster that the claimant chose the holders by. */
	readonly rosterIndex: LogIndex;
	/** With `hold` and `copy`: what is recorded. */
	readonly status: ClaimStatus;
	/** How long the record is kept from now. */
	readonly lifetimeMilliseconds: Milliseconds;
};

/** What a holder says. */
export const ClaimVerdict = {
	/** The claim is recorded. */
	held: 'held',
	/** Nothing is recorded for the operation. */
	free: 'free',
	/** Another claim of the operation stands. */
	taken: 'taken',
	/** The operation was claimed for a different request. */
	mismatch: 'mismatch',
	/** The claimant's roster is older than one that the holder has met. */
	staleRoster: 'stale-roster',
	/** The message is for another life of the holder. */
	notHolder: 'not-holder',
	/** The holder keeps as many records as it may. */
	full: 'full',
} as const;

/** One of the verdicts. */
export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

/** A holder's answer to a claimant. */
export type ClaimAnswer = {
	readonly kind: 'claim-answer';
	readonly token: ClaimToken;
	/** The life that was asked, also where another one answers with `not-holder`. */
	readonly holder: InstanceIdentity;
	readonly verdict: ClaimVerdict;
	/** With `taken`: what is recorded. */
	readonly status?: ClaimStatus;
	/** The newest roster that the holder has met. */
	readonly rosterIndex: LogIndex;
};

/** A claimant tells a holder how the operation ended. After `not-run` the operation is free again. */
export type ClaimEnded = {
	readonly kind: 'claim-ended';
	readonly operation: Operation;
	readonly token: ClaimToken;
	readonly holder: InstanceIdentity;
	readonly outcome: Outcome;
	readonly answer?: StoredAnswer;
};

/** What a claimant learns. */
export type ClaimDecision =
	/** The claim is held: the request may be sent. */
	| {readonly kind: 'run'}
	/** The operation ended before: this is its answer. */
	| {readonly kind: 'replay'; readonly answer: StoredAnswer}
	/** Nothing was sent. `outcome` is what is known of the operation, by this request or an earlier one. */
	| {readonly kind: 'refuse'; readonly failure: Failure; readonly outcome: Outcome};

/** Whether two tokens name the same claim. */
export function sameToken(one: ClaimToken, other: ClaimToken): boolean {
	return one.sequence === other.sequence && sameInstance(one.claimant, other.claimant);
}

/** The text that names an operation; different operations have different texts. */
export function operationText(operation: Operation): string {
	return JSON.stringify([operation.service, operation.key, operation.operationKey]);
}
