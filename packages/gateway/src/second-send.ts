/**
 * Decides whether a request that has waited long for its answer is sent to a
 * second upstream as well, whose answer is used if it comes first.
 *
 * Load patterns: a few upstreams are slow, fail silently, or have a queue in front
 * of a long request, and hold up the few requests in a hundred that set the slowest
 * answers, while others are idle: a second send after most answers would have come
 * costs few sends and avoids most of these waits. All upstreams are near their
 * limits: every answer is slow then, and second sends would add load where there is
 * no room, so that still more requests are slow; there are none.
 */
import {AnswerSize, BodySize, type Route} from '@dogwooddeck/directory/item';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	allowsRetry, createRetryBudget, recordAttempt, type RetryBudget, withCapacity,
} from '@dogwooddeck/routing/budget';
import {RecentLatency} from './recent-latency.js';
import {type UpstreamLoad} from './upstream-load.js';

/** The limits on second sends. */
export type SecondSendSettings = {
	/** The most second sends, as a fraction of a service's requests, above 0 and at most `maximumShare`. */
	readonly share: number;
	/** The most second sends beyond that fraction in any span of time, by all instances together, but one for each instance at least. */
	readonly burst: number;
	/** No second send is made sooner after the first one, in milliseconds. */
	readonly minimumDelayMilliseconds: Milliseconds;
	/** Whether upstreams of other regions may be used. */
	readonly otherRegions: boolean;
};

/** The largest share that settings may name. */
export const maximumShare = 0.1;

/** What is decided about a second send, and the reason if there is none. */
export const SecondSendVerdict = {
	send: 'send',
	/** The head of an answer has been received. */
	answering: 'answering',
	/** The route allows no more attempts. */
	attemptsSpent: 'attempts-spent',
	/** Requests wait or waited lately, upstreams refused lately, or the upstreams are near their limits. */
	scarceRoom: 'scarce-room',
	/** No other upstream is idle. */
	noUpstream: 'no-upstream',
	/** An answer is not expected before the deadline. */
	late: 'late',
	/** The share of second sends is spent. */
	shareSpent: 'share-spent',
	/** The retry budget is spent: requests fail and are sent again. */
	budgetSpent: 'budget-spent',
} as const;

export type SecondSendVerdict = (typeof SecondSendVerdict)[keyof typeof SecondSendVerdict];

/** The state of a request when a second send is due. */
export type SecondSendCircumstances = {
	readonly hasHead: boolean;
	/** The number of further upstreams that the route allows. */
	readonly attemptsLeft: number;
	/** The number of requests that wait for the service. */
	readonly waiting: number;
	/** The loads of the upstreams that may process the request. */
	readonly loads: readonly UpstreamLoad[];
	/** The load of the upstream that the request would be sent to; undefined if no other is idle. */
	readonly alternative: UpstreamLoad | undefined;
	/** The time left until the deadline. */
	readonly left: Milliseconds;
	/** The retry budget of the service. */
	readonly retries: RetryBudget;
};

/** A second send is due once this share of the recent answers would have come. */
const delayQuantile = 0.95;

/** Where most answers take equally long, a second send is due after this many times the usual latency: an earlier one would rarely come first. */
const minimumDelayShare = 2;

/** The answer to a second send is expected to take as long as this share of the recent ones. */
const expectedQuantile = 0.5;

/** Longer bodies are not sent twice, in bytes. */
const maximumBodyBytes = 65_536;

/** After a request had to wait, or an upstream had no room, room counts as scarce for this long. */
const scarceMilliseconds: Milliseconds = 10_000;

/** Room is scarce while more than this share of what the upstreams may be sent is in flight, or this share of them is congested. */
const maximumBusyShare = 0.5;
const maximumCongestedShare = 0.5;

/** Whether a request may be sent to two upstreams. A key has one holder, and what is large costs much twice. */
export function maySendTwice(route: Route, keyed: boolean, bodyBytes: number): boolean {
	return route.idempotent && !keyed && route.maxAttempts > 1 && route.answerSize !== AnswerSize.large && route.bodySize !== BodySize.large && bodyBytes <= maximumBodyBytes;
}

/** Whether most of the room of the upstreams is taken, or most of those that were measured are slower than without contention. */
function areNearLimits(loads: readonly UpstreamLoad[]): boolean {
	let inFlight = 0;
	let limit = 0;
	let measured = 0;
	let congested = 0;
	for (const load of loads) {
		inFlight += load.inFlight;
		limit += load.concurrencyLimit;
		measured += load.isMeasured ? 1 : 0;
		congested += load.isCongested ? 1 : 0;
	}

	return inFlight > limit * maximumBusyShare || congested > measured * maximumCongestedShare;
}

type Judged = SecondSendCircumstances & {readonly isScarce: boolean; readonly expected: Milliseconds; readonly share: RetryBudget};

/** What keeps a second send from being made; the first that applies is the reason. */
const hindrances: ReadonlyArray<readonly [SecondSendVerdict, (judged: Judged) => boolean]> = [
	[SecondSendVerdict.answering, ({hasHead}) => hasHead],
	[SecondSendVerdict.attemptsSpent, ({attemptsLeft}) => attemptsLeft < 1],
	[SecondSendVerdict.scarceRoom, ({isScarce, waiting, loads}) => isScarce || waiting > 0 || areNearLimits(loads)],
	[SecondSendVerdict.noUpstream, ({alternative}) => alternative === undefined],
	[SecondSendVerdict.late, ({left, expected}) => left < expected],
	[SecondSendVerdict.shareSpent, ({share}) => !allowsRetry(share)],
	[SecondSendVerdict.budgetSpent, ({retries}) => !allowsRetry(retries)],
];

/** The second sends of one service at one instance. It is on the request path, so it is updated in place. */
export class SecondSends {
	readonly #latency = new RecentLatency();
	#share: RetryBudget;
	#scarceUntil: MonotonicTime = -Infinity;

	/** A new instance has saved up no second sends, as it doesn't know how many other instances there are. */
	constructor(readonly settings: SecondSendSettings) {
		this.#share = {...createRetryBudget(settings.share, 1), balance: 0};
	}

	/**
	 * Divides the burst by the number of instances. `slack` is what the retry budget leaves to
	 * second sends of all instances; there are none if it doesn't cover one for each instance.
	 */
	divide(instances: number, slack: number): void {
		this.#share = withCapacity(this.#share, Math.min(slack, Math.max(instances, this.settings.burst)) / instances);
	}

	/** Records a request. `unsavedRetries` is what the retry budget could not save up of its share, which second sends may use: retries of failed requests come first. */
	recordRequest(unsavedRetries: number): void {
		this.#share = recordAttempt({...this.#share, ratio: Math.min(this.settings.share, unsavedRetries)}, {kind: 'first-attempt'}).state;
	}

	/** Records a second send. */
	recordSend(): void {
		this.#share = recordAttempt(this.#share, {kind: 'retry'}).state;
	}

	/** Records the time that an answer took. */
	recordAnswer(milliseconds: Milliseconds): void {
		this.#latency.record(milliseconds);
	}

	/** Records how long an answer that didn't come would have taken at least; a short time says nothing. */
	recordSilence(milliseconds: Milliseconds): void {
		if (milliseconds >= (this.#latency.quantile(delayQuantile) ?? 0)) {
			this.#latency.record(milliseconds);
		}
	}

	/** Records that a request had to wait, or that an upstream had no room for it. */
	recordScarcity(now: MonotonicTime): void {
		this.#scarceUntil = now + scarceMilliseconds;
	}

	/** Returns how long after its first send a request may be sent to a second upstream; undefined while too few answers are known. */
	get delay(): Milliseconds | undefined {
		const high = this.#latency.quantile(delayQuantile);
		const usual = this.#latency.quantile(expectedQuantile);
		return high === undefined || usual === undefined ? undefined : Math.max(this.settings.minimumDelayMilliseconds, high, usual * minimumDelayShare);
	}

	/** Decides about a second send that is due. Changes nothing. */
	judge(circumstances: SecondSendCircumstances, now: MonotonicTime): SecondSendVerdict {
		const {alternative} = circumstances;
		const usual = this.#latency.quantile(expectedQuantile) ?? Infinity;
		const judged: Judged = {
			...circumstances, isScarce: now < this.#scarceUntil, expected: alternative?.isMeasured === true ? alternative.latency : usual, share: this.#share,
		};
		return hindrances.find(([, applies]) => applies(judged))?.[0] ?? SecondSendVerdict.send;
	}
}
