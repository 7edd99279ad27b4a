/**
 * Admits requests within the contracted limits. A limit that all instances share is
 * enforced by the shares that this instance holds; if it holds none yet, the request
 * waits until the first share has arrived. Updated in place, since every request
 * uses it.
 */
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {effectiveLimit, type EffectiveLimit} from '@dogwooddeck/limits/unit';
import {type ContractedLimit, type ServiceContract} from '@dogwooddeck/model/contract';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, incarnationKey, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {Divider, type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {type RequestHead} from '@dogwooddeck/routing/target';
import {err, ok, type Result} from 'true-myth/result';
import {
	callerOf, type Charge, chargeAll, costs, limitReached,
} from './limit-admission.js';
import {
	awaitsFirstShare, dividersDue, mayReceiveMore, createDemand, applyShare,
} from './limit-demand.js';
import {
	updateEntry, createEntry, isIdle, type LimitEntry, recordWanted,
} from './limit-entry.js';

/** Admits requests within the contracted limits. */
export type Limiter = {
	/**
	 * Charges a request. Fails with `limitReached` if a limit is exhausted, and with
	 * `noLease`, to be retried, while a first or a larger share is requested.
	 */
	readonly admit: (contract: ServiceContract, head: RequestHead, idempotent: boolean) => Result<undefined, Failure>;
	/** Returns the demands to send now. */
	readonly takeDemands: () => readonly LimitDemand[];
	readonly applyShares: (shares: readonly LimitShare[]) => void;
	/** Whether a request is waiting for a share. */
	readonly lacksShares: () => boolean;
};

const demandIntervalMilliseconds: Milliseconds = 1000;
const maximumEntries = 10_000;
const retryMilliseconds: Milliseconds = 25;
/** Requests beyond an exhausted share are rejected if no answer about a larger one arrives within this time, as in a network partition. */
const maximumWaitMilliseconds: Milliseconds = 1000;

const awaitingShare = failure(FailureKind.noLease, 'this instance is waiting for its share of a contracted limit', {retryAfterMilliseconds: retryMilliseconds});
const tooManyCallers = failure(FailureKind.overloaded, 'too many callers have limits of their own', {retryAfterMilliseconds: 1000});

function entryKey(service: string, limit: string, caller: string): string {
	return `${service}\n${limit}\n${caller}`;
}

/** Creates the limiter of an instance. It calls `onWaitStarted` when a request begins to wait for a share. */
export function createLimiter(self: InstanceIdentity & {readonly zone: ZoneName}, onWaitStarted: () => void): Limiter {
	const holder = incarnationKey(self);
	const entries = new Map<string, LimitEntry>();
	const effectiveLimits = new WeakMap<ContractedLimit, EffectiveLimit>();
	const waiting = new Set<LimitEntry>();
	let sequence = 0;
	let lastDemandsAt = -Infinity;

	function effectiveOf(contract: ServiceContract, limit: ContractedLimit): EffectiveLimit | undefined {
		const cached = effectiveLimits.get(limit);
		if (cached !== undefined) {
			return cached;
		}

		const computed = effectiveLimit(limit, contract.units);
		if (computed.isOk) {
			effectiveLimits.set(limit, computed.value);
		}

		return computed.unwrapOr(undefined);
	}

	function entryOf(contract: ServiceContract, limit: ContractedLimit, head: RequestHead, now: MonotonicTime): LimitEntry | undefined {
		const effective = effectiveOf(contract, limit);
		if (effective === undefined) {
			return undefined;
		}

		const caller = callerOf(limit, head);
		const key = entryKey(contract.name, limit.name, caller);
		const existing = entries.get(key);
		if (existing?.contract === contract) {
			return existing;
		}

		const options = {
			contract, limit, caller, effective, zone: self.zone,
		};
		if (existing !== undefined && updateEntry(existing, options)) {
			return existing;
		}

		const created = createEntry(options, now);
		drop(key);
		entries.set(key, created);
		return created;
	}

	function drop(key: string): void {
		waiting.delete(entries.get(key)!);
		entries.delete(key);
	}

	function dropIdle(now: MonotonicTime): void {
		for (const [key, entry] of entries) {
			if (isIdle(entry, now)) {
				drop(key);
			}
		}
	}

	function startWaiting(entry: LimitEntry, now: MonotonicTime): void {
		if (entry.waitingSince === undefined) {
			entry.waitingSince = now;
			waiting.add(entry);
			onWaitStarted();
		}
	}

	function stopWaiting(entry: LimitEntry): void {
		entry.waitingSince = undefined;
		waiting.delete(entry);
	}

	/** Whether a larger share is requested. Requests wait until the answer has arrived. */
	function awaitsLargerShare(entry: LimitEntry, now: MonotonicTime): boolean {
		if (entry.waitingSince !== undefined) {
			return now < entry.waitingSince + maximumWaitMilliseconds;
		}

		const mayGrow = mayReceiveMore(entry, Divider.control, now);
		if (mayGrow) {
			startWaiting(entry, now);
		}

		return mayGrow;
	}

	function chargesOf(contract: ServiceContract, head: RequestHead, idempotent: boolean, now: MonotonicTime): readonly Charge[] {
		const charges: Charge[] = [];
		for (const limit of contract.limits) {
			const entry = entryOf(contract, limit, head, now);
			const cost = entry === undefined ? 0 : costs[entry.effective.counts](contract, head, idempotent);
			if (entry !== undefined && cost > 0) {
				charges.push({entry, cost});
			}
		}

		return charges;
	}

	function admitCharges(charges: readonly Charge[], now: MonotonicTime): Result<undefined, Failure> {
		const awaitingCharge = charges.find(({entry}) => awaitsFirstShare(entry, now));
		if (awaitingCharge !== undefined) {
			startWaiting(awaitingCharge.entry, now);
			return err(awaitingShare);
		}

		for (const {entry, cost} of charges) {
			recordWanted(entry, cost, now);
		}

		return chargeAll(charges, wallNow(), now).mapErr(refusal => awaitsLargerShare(refusal.entry, now) ? awaitingShare : limitReached(refusal));
	}

	function admitRequest(contract: ServiceContract, head: RequestHead, idempotent: boolean): Result<undefined, Failure> {
		const now = monotonicNow();
		if (entries.size > maximumEntries) {
			dropIdle(now);
		}

		return entries.size > maximumEntries ? err(tooManyCallers) : admitCharges(chargesOf(contract, head, idempotent, now), now);
	}

	function demandsOf(entry: LimitEntry, isDue: boolean, now: MonotonicTime): readonly LimitDemand[] {
		return dividersDue(entry, isDue, now).map(divider => {
			sequence += 1;
			return createDemand(entry, divider, {
				holder, sequence, now, wall: wallNow(),
			});
		});
	}

	return {
		admit: (contract, head, idempotent) => contract.limits.length === 0 ? ok(undefined) : admitRequest(contract, head, idempotent),
		takeDemands() {
			const now = monotonicNow();
			const isDue = now >= lastDemandsAt + demandIntervalMilliseconds;
			if (isDue) {
				lastDemandsAt = now;
				dropIdle(now);
			}

			const demandingEntries = isDue ? entries.values() : waiting;
			return [...demandingEntries].flatMap(entry => demandsOf(entry, isDue, now));
		},
		applyShares(shares) {
			const now = monotonicNow();
			for (const share of shares) {
				const entry = entries.get(entryKey(share.service, share.limit, share.caller));
				const divider = entry === undefined ? undefined : applyShare(entry, share, wallNow(), now);
				if (divider === Divider.control) {
					stopWaiting(entry!);
				}
			}
		},
		lacksShares: () => waiting.size > 0,
	};
}
