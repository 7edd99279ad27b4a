/**
 * The interface that the forwarder requires from the program: it finds a key's
 * owner, decides whether a request may start, and records its result.
 */
import {type Importance, type RetryContract} from '@dogwooddeck/model/contract';
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type FenceNumber, type Milliseconds, type MonotonicTime, type Slot,
} from '@dogwooddeck/model/identifiers';
import {type Outcome} from '@dogwooddeck/model/outcome';
import {type Admission} from '@dogwooddeck/routing/admission';
import {type ClaimDecision, type StoredAnswer} from '@dogwooddeck/routing/claim';
import {type AttemptObservation} from '@dogwooddeck/routing/outcome';
import {type RequestHead} from '@dogwooddeck/routing/target';
import {type Result} from 'true-myth';

/** A request whose head was read and accepted. */
export type OpenedRequest = {
	readonly deadline: MonotonicTime;
	readonly idempotent: boolean;
	readonly importance: Importance;
	readonly retry: RetryContract;
	readonly largestBodyBytes: number;
	readonly notRunStatuses: readonly number[];
	/** Whether the operation has to be claimed before it is sent. */
	readonly claims: boolean;
};

/** The owner of the request's key, as located for one attempt. */
export type RequestOwner = {
	/** Where the upstream listens, as `IP:port`. */
	readonly address: string;
	/** The maximum number of connections from this instance to the upstream. */
	readonly connections: number;
	readonly slot: Slot;
	readonly fence: FenceNumber;
	readonly admission: Admission;
};

/** The result of one attempt. */
export type AttemptReport = {
	readonly seen: AttemptObservation;
	/** From the send to the end of the attempt. */
	readonly latencyMilliseconds: Milliseconds;
};

/** The result of one request, as its caller sees it. */
export type RequestReport = {
	readonly outcome: Outcome;
	/** The status that the caller received. Absent if its connection was aborted or the caller disconnected. */
	readonly status?: number;
	readonly failure?: Failure;
	/** From the head of the request to the end of the answer. */
	readonly latencyMilliseconds: Milliseconds;
	readonly attempts: number;
	readonly bodyBytes: number;
};

/** A requested claim. */
export type OpenClaim = {
	/** Withdraws the claim: the deadline passed or the caller disconnected, so the decision is no longer needed. */
	giveUp(): void;
	/** Records that the request ended after the decision to run it. `answer` is present only if it is complete and small enough to store. */
	finished(outcome: Outcome, answer?: StoredAnswer): void;
};

/** The decisions and records for one request. `Opened` and `Owner` carry the fields that the program adds. */
export type RequestPath<Opened extends OpenedRequest, Owner extends RequestOwner> = {
	/** Reads the monotonic clock. */
	now(): MonotonicTime;
	/** Checks a head and resolves its service, key, route, limits and deadline. Called once. */
	open(head: RequestHead): Result<Opened, Failure>;
	/** Finds the key's owner under a valid lease. Called for each attempt. A failure with `retryAfterMilliseconds` is retried. */
	locate(opened: Opened): Result<Owner, Failure>;
	/** Rechecks the lease over the key and its fence right before the first byte. */
	mayStart(opened: Opened, owner: Owner): boolean;
	/** Whether the service's budget allows a retry. */
	allowsRetry(opened: Opened): boolean;
	/** Records that an attempt is sent. `retry`: charge it to the retry budget. */
	attemptStarted(opened: Opened, owner: Owner, retry: boolean): void;
	attemptEnded(opened: Opened, owner: Owner, report: AttemptReport): void;
	/** Claims the operation and calls `decided` once, now or later. */
	claim(opened: Opened, body: Uint8Array | undefined, decided: (decision: ClaimDecision) => void): OpenClaim;
	/** Records that the request ended. `opened` is absent if its head was refused. */
	requestEnded(opened: Opened | undefined, report: RequestReport): void;
};
