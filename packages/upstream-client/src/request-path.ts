/**
 * What the forwarder needs of the program around it: who owns the key, whether
 * the request may start, and who is told how it went.
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

/** A request whose head was read and is allowed. */
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

/** The owner of the request's key, as one attempt finds it. */
export type RequestOwner = {
	/** Where the upstream listens, as `IP:port`. */
	readonly address: string;
	/** The connections that this instance may have to it. */
	readonly connections: number;
	readonly slot: Slot;
	readonly fence: FenceNumber;
	readonly admission: Admission;
};

/** How one attempt went. */
export type AttemptReport = {
	readonly seen: AttemptObservation;
	/** From the send to the end. */
	readonly latencyMilliseconds: Milliseconds;
};

/** How one request went, as its caller sees it. */
export type RequestReport = {
	readonly outcome: Outcome;
	/** The status that the caller got. Absent: its connection was broken, or it went away. */
	readonly status?: number;
	readonly failure?: Failure;
	/** From the head of the request to the end. */
	readonly latencyMilliseconds: Milliseconds;
	readonly attempts: number;
	readonly bodyBytes: number;
};

/** A claim that was asked for. */
export type OpenClaim = {
	/** The decision is of no use any more: the deadline passed, or the caller went away. */
	giveUp(): void;
	/** The request ended after the decision was to run it. An answer comes only where it is whole and small enough to keep. */
	finished(outcome: Outcome, answer?: StoredAnswer): void;
};

/** The decisions and records around one request. `Opened` and `Owner` carry what the program adds. */
export type RequestPath<Opened extends OpenedRequest, Owner extends RequestOwner> = {
	/** Reads the monotonic clock. */
	now(): MonotonicTime;
	/** Decides on a head: service, key, route, limits, deadline. Called once. */
	open(head: RequestHead): Result<Opened, Failure>;
	/** Finds the key's owner under a valid lease. Called for each attempt. A failure with `retryAfterMilliseconds` is tried again. */
	locate(opened: Opened): Result<Owner, Failure>;
	/** Checks the lease over the key and its fence again, right before the first byte. */
	mayStart(opened: Opened, owner: Owner): boolean;
	/** Whether the service's budget allows a retry. */
	allowsRetry(opened: Opened): boolean;
	/** An attempt is sent. `retry`: draw it from the budget. */
	attemptStarted(opened: Opened, owner: Owner, retry: boolean): void;
	attemptEnded(opened: Opened, owner: Owner, report: AttemptReport): void;
	/** Claims the operation and calls `decided` once, now or later. */
	claim(opened: Opened, body: Uint8Array | undefined, decided: (decision: ClaimDecision) => void): OpenClaim;
	/** The request is over. Absent `opened`: its head was refused. */
	requestEnded(opened: Opened | undefined, report: RequestReport): void;
};
