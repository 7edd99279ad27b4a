/** Charges a request to all limits that apply to it, or to none. */
import {admit, type Admission} from '@dogwooddeck/limits/bucket';
import {
	type ContractedLimit, CountedQuantity, type ServiceContract,
} from '@dogwooddeck/model/contract';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type MonotonicTime, type WallTime} from '@dogwooddeck/model/identifiers';
import {type RequestHead} from '@dogwooddeck/routing/target';
import {err, ok, type Result} from 'true-myth/result';
import {type LimitEntry, currentShare} from './limit-entry.js';

/** A limit that applies to a request, and the cost of the request under it. */
export type Charge = {readonly entry: LimitEntry; readonly cost: number};

/** The limit that rejects a request. */
export type Refusal = {readonly entry: LimitEntry; readonly admission: Admission};

const maximumCallerLength = 128;

type CostFunction = (contract: ServiceContract, head: RequestHead, idempotent: boolean) => number;

/** The cost of a request, in counted items. */
export const costs: Readonly<Record<CountedQuantity, CostFunction>> = {
	[CountedQuantity.requests]: () => 1,
	[CountedQuantity.changes]: (_contract, _head, idempotent) => idempotent ? 0 : 1,
	[CountedQuantity.bodyBytes](contract, head) {
		const length = head.headers['content-length'];
		const isChunked = head.headers['transfer-encoding'] !== undefined;
		return isChunked ? contract.largestBodyBytes : Number(length ?? 0);
	},
};

/** The caller to whom a limit applies; empty if all callers share the limit. */
export function callerOf({callerHeader}: ContractedLimit, head: RequestHead): string {
	const value = callerHeader === undefined ? undefined : head.headers[callerHeader];
	return typeof value === 'string' ? value.slice(0, maximumCallerLength) : '';
}

/** Charges all limits if all of them admit the request. Fails with the first limit that doesn't. */
export function chargeAll(charges: readonly Charge[], wall: WallTime, now: MonotonicTime): Result<undefined, Refusal> {
	const admissions = charges.map(({entry, cost}) => ({entry, admission: admit(entry.bucket, wall, now, cost, currentShare(entry, now))}));
	const refusal = admissions.find(({admission}) => !admission.admitted);
	if (refusal !== undefined) {
		return err(refusal);
	}

	for (const {entry, admission} of admissions) {
		entry.bucket = admission.state;
	}

	return ok(undefined);
}

/** The failure of a request that an exhausted limit rejects. */
export function limitReached({entry: {limit, service}, admission}: Refusal): Failure {
	return failure(FailureKind.limitReached, `the contracted limit ${limit} of ${service} is spent`, {
		retryAfterMilliseconds: admission.retryAfterMilliseconds,
	});
}
