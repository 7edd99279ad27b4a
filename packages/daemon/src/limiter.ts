/**
 * Admits requests within the contracted limits. A limit that all instances share
 * is used by the share that this instance holds; where it holds none yet, the
 * request waits until the first share has come. Updated in place: it is on the
 * path of every request.
 */
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {
	admit, type BucketState, createBucket, usedShare,
} from '@dogwooddeck/limits/bucket';
import {mayGrow} from '@dogwooddeck/limits/growth';
import {effectiveLimit, type EffectiveLimit} from '@dogwooddeck/limits/unit';
import {
	type ContractedLimit, Counted, LimitScope, type ServiceContract,
} from '@dogwooddeck/model/contract';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type Milliseconds, type MonotonicTime, type ServiceName,
} from '@dogwooddeck/model/identifiers';
import {type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {type RequestHead} from '@dogwooddeck/routing/target';
import {err, ok, type Result} from 'true-myth/result';

/** Admits requests within the contracted limits. */
export type Limiter = {
	/**
	 * Charges a request. Fails with `limitReached` where a limit is spent, and
	 * with `noLease`, to be tried again, while a first or a larger share is asked for.
	 */
	readonly admit: (contract: ServiceContract, head: RequestHead, idempotent: boolean) => Result<undefined, Failure>;
	/** What to ask for now. */
	readonly takeDemands: () => readonly LimitDemand[];
	readonly takeShares: (shares: readonly LimitShare[]) => void;
	/** Whether a request waits for a share. */
	readonly lacksShares: () => boolean;
};

/** The name under which an instance's present life holds shares. */
export function shareHolder({name, incarnation}: InstanceIdentity): string {
	return `${name}#${incarnation}`;
}

type Entry = {
	readonly service: ServiceName;
	readonly limit: string;
	readonly caller: string;
	effective: EffectiveLimit;
	bucket: BucketState;
	share: number;
	shareUntil: MonotonicTime;
	/**
	 * The newest demand, until it is answered. No other answer is taken: by this
	 * demand control learned which share is in force, and forgot any that it gave before.
	 */
	asked: {readonly sequence: number; readonly at: MonotonicTime; readonly wanted: number} | undefined;
	/** What was wanted by the demand that the share answers. */
	answeredFor: number;
	/** The costs that were asked for in this interval and in the one before. */
	wanted: number;
	wantedBefore: number;
	intervalAt: MonotonicTime;
	usedAt: MonotonicTime;
	waits: boolean;
	waitsSince: MonotonicTime;
};

const demandMilliseconds: Milliseconds = 1000;
/** A limit that no request met for this long is asked for no more. */
const idleMilliseconds: Milliseconds = 60_000;
/** A demand that isn't answered within this is made again. */
const answerMilliseconds: Milliseconds = 3000;
const entriesAtMost = 10_000;
const waitMilliseconds: Milliseconds = 25;
/** A spent share is refused when no answer about a larger one came within this, as in a cut. */
const longestWaitMilliseconds: Milliseconds = 1000;
const skewMilliseconds: Milliseconds = 1000;
const longestCaller = 128;

type Cost = (contract: ServiceContract, head: RequestHead, idempotent: boolean) => number;

const costs: Readonly<Record<Counted, Cost>> = {
	[Counted.requests]: () => 1,
	[Counted.changes]: (_contract, _head, idempotent) => idempotent ? 0 : 1,
	[Counted.bodyBytes](contract, head) {
		const length = head.headers['content-length'];
		const isChunked = head.headers['transfer-encoding'] !== undefined;
		return isChunked ? contract.largestBodyBytes : Number(length ?? 0);
	},
};

const shareAwaited = failure(FailureKind.noLease, 'this instance asks for its share of a contracted limit', {retryAfterMilliseconds: waitMilliseconds});
const tooManyCallers = failure(FailureKind.overloaded, 'too many callers have limits of their own', {retryAfterMilliseconds: 1000});

function callerOf(limit: ContractedLimit, head: RequestHead): string {
	const value = limit.callerHeader === undefined ? undefined : head.headers[limit.callerHeader];
	return typeof value === 'string' ? value.slice(0, longestCaller) : '';
}

function sameLimit(one: EffectiveLimit, other: EffectiveLimit): boolean {
	return one.amount === other.amount && one.intervalMilliseconds === other.intervalMilliseconds
		&& one.window === other.window && one.burst === other.burst;
}

/** Makes the limiter of an instance. It calls `noteAwaited` when a request begins to wait for a share. */
export function createLimiter(self: InstanceIdentity, noteAwaited: () => void): Limiter {
	const holder = shareHolder(self);
	const entries = new Map<string, Entry>();
	const effectives = new WeakMap<ContractedLimit, EffectiveLimit>();
	let sequence = 0;
	let demandedAt = -Infinity;
	let waiting = 0;

	function effectiveOf(contract: ServiceContract, limit: ContractedLimit): EffectiveLimit | undefined {
		const known = effectives.get(limit);
		if (known !== undefined) {
			return known;
		}

		const made = effectiveLimit(limit, contract.units);
		if (made.isOk) {
			effectives.set(limit, made.value);
		}

		return made.unwrapOr(undefined);
	}

	function create(contract: ServiceContract, limit: ContractedLimit, caller: string, effective: EffectiveLimit): Entry {
		const isOwn = effective.scope === LimitScope.instance;
		return {
			service: contract.name,
			limit: limit.name,
			caller,
			effective,
			bucket: createBucket(effective),
			share: isOwn ? effective.amount : 0,
			shareUntil: isOwn ? Infinity : -Infinity,
			asked: undefined,
			answeredFor: 0,
			wanted: 0,
			wantedBefore: 0,
			intervalAt: monotonicNow(),
			usedAt: monotonicNow(),
			waits: false,
			waitsSince: -Infinity,
		};
	}

	function entryOf(contract: ServiceContract, limit: ContractedLimit, head: RequestHead): Entry | undefined {
		const effective = effectiveOf(contract, limit);
		if (effective === undefined) {
			return undefined;
		}

		const caller = callerOf(limit, head);
		const key = `${contract.name}\n${limit.name}\n${caller}`;
		const known = entries.get(key);
		if (known !== undefined && sameLimit(known.effective, effective)) {
			return known;
		}

		const made = create(contract, limit, caller, effective);
		entries.set(key, made);
		return made;
	}

	function noteWanted(entry: Entry, cost: number, now: MonotonicTime): void {
		const passed = Math.floor((now - entry.intervalAt) / entry.effective.intervalMilliseconds);
		if (passed > 0) {
			entry.wantedBefore = passed === 1 ? entry.wanted : 0;
			entry.wanted = 0;
			entry.intervalAt += passed * entry.effective.intervalMilliseconds;
		}

		entry.wanted += cost;
		entry.usedAt = now;
	}

	function shareNow(entry: Entry, now: MonotonicTime): number {
		return now < entry.shareUntil ? entry.share : 0;
	}

	function setWaits(entry: Entry, waits: boolean): void {
		const begins = waits && !entry.waits;
		waiting += Number(waits) - Number(entry.waits);
		entry.waits = waits;
		if (begins) {
			noteAwaited();
		}
	}

	function dropIdle(now: MonotonicTime): void {
		for (const [key, entry] of entries) {
			if (now - entry.usedAt > idleMilliseconds + entry.effective.intervalMilliseconds) {
				setWaits(entry, false);
				entries.delete(key);
			}
		}
	}

	function wantedOf(entry: Entry): number {
		return Math.max(1, entry.wanted, entry.wantedBefore);
	}

	function isAsked({asked}: Entry, now: MonotonicTime): boolean {
		return asked !== undefined && now < asked.at + answerMilliseconds;
	}

	function demandOf(entry: Entry, now: MonotonicTime): LimitDemand {
		sequence += 1;
		const wanted = wantedOf(entry);
		entry.asked = {sequence, at: now, wanted};
		const held = shareNow(entry, now);
		return {
			service: entry.service,
			limit: entry.limit,
			caller: entry.caller,
			holder,
			sequence,
			wanted,
			held,
			usable: Math.max(held, usedShare(entry.bucket, wallNow(), now, skewMilliseconds)),
		};
	}

	/** Whether a larger share is asked for; until the answer has come, requests wait for it. */
	function asksForMore(entry: Entry, now: MonotonicTime): boolean {
		if (entry.waits) {
			return now < entry.waitsSince + longestWaitMilliseconds;
		}

		const isShared = entry.effective.scope === LimitScope.deployment;
		const grows = isShared && mayGrow({
			share: shareNow(entry, now), amount: entry.effective.amount, answeredFor: entry.answeredFor, wanted: wantedOf(entry),
		});
		if (grows) {
			setWaits(entry, true);
			entry.waitsSince = now;
		}

		return grows;
	}

	function admitAll(charged: ReadonlyArray<{readonly entry: Entry; readonly cost: number}>, now: MonotonicTime): Result<undefined, Failure> {
		const wall = wallNow();
		const admissions = charged.map(({entry, cost}) => ({entry, admission: admit(entry.bucket, wall, now, cost, shareNow(entry, now))}));
		const refusal = admissions.find(({admission}) => !admission.admitted);
		if (refusal !== undefined) {
			const {entry, admission} = refusal;
			if (asksForMore(entry, now)) {
				return err(shareAwaited);
			}

			return err(failure(FailureKind.limitReached, `the contracted limit ${entry.limit} of ${entry.service} is spent`, {
				retryAfterMilliseconds: admission.retryAfterMilliseconds,
			}));
		}

		for (const {entry, admission} of admissions) {
			entry.bucket = admission.state;
		}

		return ok(undefined);
	}

	function admitRequest(contract: ServiceContract, head: RequestHead, idempotent: boolean): Result<undefined, Failure> {
		const now = monotonicNow();
		if (entries.size > entriesAtMost) {
			dropIdle(now);
		}

		if (entries.size > entriesAtMost) {
			return err(tooManyCallers);
		}

		const charged: Array<{readonly entry: Entry; readonly cost: number}> = [];
		for (const limit of contract.limits) {
			const entry = entryOf(contract, limit, head);
			const cost = entry === undefined ? 0 : costs[entry.effective.counts](contract, head, idempotent);
			if (entry !== undefined && cost > 0) {
				charged.push({entry, cost});
			}
		}

		const awaited = charged.find(({entry}) => entry.shareUntil === -Infinity);
		if (awaited !== undefined) {
			setWaits(awaited.entry, true);
			return err(shareAwaited);
		}

		for (const {entry, cost} of charged) {
			noteWanted(entry, cost, now);
		}

		return admitAll(charged, now);
	}

	return {
		admit: (contract, head, idempotent) => contract.limits.length === 0 ? ok(undefined) : admitRequest(contract, head, idempotent),
		takeDemands() {
			const now = monotonicNow();
			const isDue = now >= demandedAt + demandMilliseconds;
			if (isDue) {
				demandedAt = now;
				dropIdle(now);
			}

			const asking = [...entries.values()].filter(entry =>
				entry.effective.scope === LimitScope.deployment && (isDue || entry.waits) && !isAsked(entry, now));
			return asking.map(entry => demandOf(entry, now));
		},
		takeShares(shares) {
			const now = monotonicNow();
			for (const share of shares) {
				const entry = entries.get(`${share.service}\n${share.limit}\n${share.caller}`);
				const asked = entry?.asked;
				if (entry === undefined || asked?.sequence !== share.sequence) {
					continue;
				}

				entry.asked = undefined;

				entry.bucket = admit(entry.bucket, wallNow(), now, 0, share.amount).state;
				entry.share = share.amount;
				entry.shareUntil = asked.at + share.validMilliseconds;
				entry.answeredFor = asked.wanted;
				setWaits(entry, false);
			}
		},
		lacksShares: () => waiting > 0,
	};
}
