/**
 * The contract of a service: where its keys are read from, which upstreams may
 * own them, how requests are handled and which limits and objectives apply.
 * Contracts are plain data that is stored in the replicated log.
 */
import {type Milliseconds, type ServiceName, type ZoneName} from './identifiers.js';

/** The part of a request that contains the key. */
export const KeyLocation = {
	/** A segment of the path after the service's prefix, numbered from 0. */
	path: 'path',
	/** A header field. */
	header: 'header',
	/** A query parameter. */
	query: 'query',
} as const;

/** One of the key locations. */
export type KeyLocation = (typeof KeyLocation)[keyof typeof KeyLocation];

/** How the key is read from a request. */
export type KeySource =
	| {readonly place: typeof KeyLocation.path; readonly segment: number}
	| {readonly place: typeof KeyLocation.header; readonly name: string}
	| {readonly place: typeof KeyLocation.query; readonly name: string};

/** What a deployment optimises for when ownership has to move. */
export const MovePreference = {
	/** Minimise the time during which keys are unavailable. */
	availability: 'availability',
	/** Minimise the number of moves. */
	churn: 'churn',
} as const;

/** One of the preferences. */
export type MovePreference = (typeof MovePreference)[keyof typeof MovePreference];

/** What happens to an availability zone's slots when the zone can't reach control. */
export const PartitionPolicy = {
	/** The zone keeps its own slots and continues to serve them. */
	hold: 'hold',
	/** Control assigns the slots to other zones after the term of the zone's delegation. */
	takeOver: 'take-over',
} as const;

/** One of the partition policies. */
export type PartitionPolicy = (typeof PartitionPolicy)[keyof typeof PartitionPolicy];

/** Which requests take precedence under overload. */
export const Importance = {
	high: 'high',
	low: 'low',
} as const;

/** One of the levels of importance. */
export type Importance = (typeof Importance)[keyof typeof Importance];

/** How requests of one method and path are handled. Requests that match no declared route are non-idempotent and of high importance. */
export type RouteContract = {
	/** The HTTP method, in upper case. */
	readonly method: string;
	/** The path after the service's prefix; `*` matches one segment. */
	readonly path: string;
	readonly idempotent: boolean;
	readonly importance: Importance;
};

/** The capacity and capabilities of a service's upstreams. */
export type UpstreamContract = {
	/** The requests that one upstream runs concurrently. */
	readonly slots: number;
	/** The connections that one upstream accepts, from all instances together. */
	readonly connections: number;
	/** Whether upstreams reject a request with an older fence number. */
	readonly checksFence: boolean;
	/** The statuses by which an upstream reports that it did not run the request. */
	readonly notRunStatuses: readonly number[];
	/** The time over which a new upstream ramps up to its full share of load. */
	readonly warmUpMilliseconds: Milliseconds;
	/** The zones that may own keys. Empty: all zones. */
	readonly zones: readonly ZoneName[];
};

/** How requests are retried. */
export type RetryContract = {
	/** The maximum number of attempts for one request, including the first. */
	readonly attempts: number;
	/** The retry budget, as a ratio of retries to first attempts. */
	readonly budgetRatio: number;
	/** The maximum delay before the first retry; it doubles with each further one. */
	readonly backoffMilliseconds: Milliseconds;
};

/** The kind of time window over which a legacy unit counts. */
export const WindowForm = {
	/** Windows that start at whole multiples of the interval since 1970 in UTC. */
	fixed: 'fixed',
	/** Any period that is as long as the interval. */
	sliding: 'sliding',
} as const;

/** One of the kinds of window. */
export type WindowForm = (typeof WindowForm)[keyof typeof WindowForm];

/** How a limit that is not a whole number is rounded. */
export const Rounding = {
	down: 'down',
	nearest: 'nearest',
	up: 'up',
} as const;

/** One of the rounding modes. */
export type Rounding = (typeof Rounding)[keyof typeof Rounding];

/** Which instances share a limit. */
export const LimitScope = {
	/** All instances together. */
	deployment: 'deployment',
	/** Each instance has the whole limit to itself, as in the legacy system. */
	instance: 'instance',
} as const;

/** One of the scopes of a limit. */
export type LimitScope = (typeof LimitScope)[keyof typeof LimitScope];

/** The quantity that a unit counts. */
export const CountedQuantity = {
	requests: 'requests',
	/** Requests that change state: those that are not idempotent. */
	changes: 'changes',
	/** Bytes of request bodies. */
	bodyBytes: 'body-bytes',
} as const;

/** One of the counted quantities. */
export type CountedQuantity = (typeof CountedQuantity)[keyof typeof CountedQuantity];

/** The declaration of a unit in which only the legacy system quoted limits. */
export type LegacyUnit = {
	readonly name: string;
	readonly counts: CountedQuantity;
	/** How much of the counted quantity makes up one unit. */
	readonly countedPerUnit: number;
	readonly intervalMilliseconds: Milliseconds;
	readonly window: WindowForm;
	/** The amount that may be used at once, as a multiple of the limit. 1: no more than the limit. */
	readonly burst: number;
	readonly rounding: Rounding;
	readonly scope: LimitScope;
};

/** A contracted limit, quoted in a declared unit. */
export type ContractedLimit = {
	readonly name: string;
	readonly amount: number;
	readonly unit: string;
	/** The header field that identifies the caller; the limit applies to each caller separately. Absent: it applies to all callers together. */
	readonly callerHeader?: string;
	/** The fraction of the amount, from 0 to 1, that is reserved for partitions and divided among the zones of `upstream.zones`. Absent: none. */
	readonly cutReserve?: number;
};

/** A service-level objective. */
export type Objective = {
	readonly name: string;
	/** The fraction of requests that must be good, below 1. */
	readonly target: number;
	/** The latency within which an answer counts as good. Absent: any time within the deadline. */
	readonly withinMilliseconds?: Milliseconds;
	/** The period over which the target is measured. */
	readonly periodDays: number;
};

/** The `cutReserve` of a limit whose contract file sets none. */
export const defaultCutReserve = 0.2;

/** The contract of one service. */
export type ServiceContract = {
	readonly name: ServiceName;
	/** The path prefix of the service's requests, such as `/schedule`. */
	readonly prefix: string;
	readonly key: KeySource;
	/** The number of slots that keys hash to. It never changes for a service. */
	readonly slots: number;
	/** What to optimise for when ownership has to move. */
	readonly weigh: MovePreference;
	/** What happens to a zone's slots when the zone can't reach control. */
	readonly whenCut: PartitionPolicy;
	/** The upper bound on the deadline of every request of the service. */
	readonly longestDeadlineMilliseconds: Milliseconds;
	/** The target time from the loss of an upstream until its keys are served again. Absent: no target is stated. */
	readonly servedAgainWithinMilliseconds?: Milliseconds;
	/** The largest request body that is accepted. */
	readonly largestBodyBytes: number;
	readonly routes: readonly RouteContract[];
	readonly upstream: UpstreamContract;
	readonly retry: RetryContract;
	readonly units: readonly LegacyUnit[];
	readonly limits: readonly ContractedLimit[];
	readonly objectives: readonly Objective[];
};

/** The default values of a contract. */
export const defaultContract: Omit<ServiceContract, 'name' | 'prefix' | 'key'> = {
	slots: 256,
	weigh: MovePreference.availability,
	whenCut: PartitionPolicy.hold,
	longestDeadlineMilliseconds: 1500,
	largestBodyBytes: 1_048_576,
	routes: [],
	upstream: {
		slots: 3,
		connections: 110,
		checksFence: false,
		notRunStatuses: [],
		warmUpMilliseconds: 10_000,
		zones: [],
	},
	retry: {attempts: 3, budgetRatio: 0.1, backoffMilliseconds: 50},
	units: [],
	limits: [],
	objectives: [],
};
