/**
 * A service's contract: which keys exist, who may own them, how requests are
 * treated and which limits hold. Contracts are plain data that travel in the
 * replicated log.
 */
import {type Milliseconds, type ServiceName, type ZoneName} from './identifiers.js';

/** Where a request carries its key. */
export const KeyLocation = {
	/** A segment of the path after the service's prefix, counted from 0. */
	path: 'path',
	/** A header field. */
	header: 'header',
	/** A parameter of the query. */
	query: 'query',
} as const;

/** One of the places of a key. */
export type KeyLocation = (typeof KeyLocation)[keyof typeof KeyLocation];

/** How the key is read from a request. */
export type KeySource =
	| {readonly place: typeof KeyLocation.path; readonly segment: number}
	| {readonly place: typeof KeyLocation.header; readonly name: string}
	| {readonly place: typeof KeyLocation.query; readonly name: string};

/** What a deployment weighs most when ownership has to move. */
export const MovePreference = {
	/** Keep the time during which keys are unavailable short. */
	availability: 'availability',
	/** Keep the number of moves low. */
	churn: 'churn',
} as const;

/** One of the weights. */
export type MovePreference = (typeof MovePreference)[keyof typeof MovePreference];

/** What happens to an availability zone's slots when the zone can't reach control. */
export const PartitionPolicy = {
	/** The zone keeps its own slots and goes on serving them. */
	hold: 'hold',
	/** Control gives the slots to other zones after the delegation's term. */
	takeOver: 'take-over',
} as const;

/** One of the policies for a cut. */
export type PartitionPolicy = (typeof PartitionPolicy)[keyof typeof PartitionPolicy];

/** Which work goes first when there is too much of it. */
export const Importance = {
	high: 'high',
	low: 'low',
} as const;

/** One of the importances. */
export type Importance = (typeof Importance)[keyof typeof Importance];

/** How requests of one method and path are treated. Undeclared ones are non-idempotent and of high importance. */
export type RouteContract = {
	/** The HTTP method, in upper case. */
	readonly method: string;
	/** The path after the service's prefix; `*` stands for one segment. */
	readonly path: string;
	readonly idempotent: boolean;
	readonly importance: Importance;
};

/** What the service's upstreams can do. */
export type UpstreamContract = {
	/** Requests that one upstream runs at one time. */
	readonly slots: number;
	/** Connections that one upstream takes, from all instances together. */
	readonly connections: number;
	/** Whether upstreams refuse a request with an older fence number. */
	readonly checksFence: boolean;
	/** Statuses by which an upstream says that it did not run the request. */
	readonly notRunStatuses: readonly number[];
	/** The time over which a new upstream comes to its full share of load. */
	readonly warmUpMilliseconds: Milliseconds;
	/** The zones that may own keys. Empty: all zones. */
	readonly zones: readonly ZoneName[];
};

/** How requests are sent again. */
export type RetryContract = {
	/** Attempts for one request, the first among them. */
	readonly attempts: number;
	/** Retries as a share of first attempts. */
	readonly budgetRatio: number;
	/** The longest pause before the first retry; it doubles with each. */
	readonly backoffMilliseconds: Milliseconds;
};

/** How a legacy unit counts over time. */
export const WindowForm = {
	/** Windows that start at whole multiples of the interval since 1970 in UTC. */
	fixed: 'fixed',
	/** Any stretch of time that is as long as the interval. */
	sliding: 'sliding',
} as const;

/** One of the forms of a window. */
export type WindowForm = (typeof WindowForm)[keyof typeof WindowForm];

/** How a limit that is not whole is made whole. */
export const Rounding = {
	down: 'down',
	nearest: 'nearest',
	up: 'up',
} as const;

/** One of the roundings. */
export type Rounding = (typeof Rounding)[keyof typeof Rounding];

/** Who shares a limit. */
export const LimitScope = {
	/** All instances together. */
	deployment: 'deployment',
	/** Each instance has the whole limit, as in the old system. */
	instance: 'instance',
} as const;

/** One of the scopes of a limit. */
export type LimitScope = (typeof LimitScope)[keyof typeof LimitScope];

/** What a unit counts. */
export const CountedQuantity = {
	requests: 'requests',
	/** Requests that change something: those that are not idempotent. */
	changes: 'changes',
	/** Bytes of request bodies. */
	bodyBytes: 'body-bytes',
} as const;

/** One of the things that are counted. */
export type CountedQuantity = (typeof CountedQuantity)[keyof typeof CountedQuantity];

/** The declaration of a unit that only the old system used. */
export type LegacyUnit = {
	readonly name: string;
	readonly counts: CountedQuantity;
	/** How many counted things make one of the unit. */
	readonly countedPerUnit: number;
	readonly intervalMilliseconds: Milliseconds;
	readonly window: WindowForm;
	/** What may be used at once, as a multiple of the limit. 1: no more than the limit. */
	readonly burst: number;
	readonly rounding: Rounding;
	readonly scope: LimitScope;
};

/** A contracted limit, quoted in a declared unit. */
export type ContractedLimit = {
	readonly name: string;
	readonly amount: number;
	readonly unit: string;
	/** The header field whose value names the caller that the limit holds for. Absent: all callers together. */
	readonly callerHeader?: string;
	/** The part of the amount, from 0 to 1, that is divided over the zones of `upstream.zones` for the time of a cut. Absent: none. */
	readonly cutReserve?: number;
};

/** A service-level objective. */
export type Objective = {
	readonly name: string;
	/** The share of requests that must be good, below 1. */
	readonly target: number;
	/** A good answer comes within this time. Absent: any time within the deadline. */
	readonly withinMilliseconds?: Milliseconds;
	/** The period over which the target holds. */
	readonly periodDays: number;
};

/** The `cutReserve` of a limit whose contract file says nothing else. */
export const defaultCutReserve = 0.2;

/** All that is contracted about one service. */
export type ServiceContract = {
	readonly name: ServiceName;
	/** The path prefix of the service's requests, such as `/schedule`. */
	readonly prefix: string;
	readonly key: KeySource;
	/** The number of slots that keys hash to. It never changes for a service. */
	readonly slots: number;
	readonly weigh: MovePreference;
	readonly whenCut: PartitionPolicy;
	/** No request of the service is given more time than this. */
	readonly longestDeadlineMilliseconds: Milliseconds;
	/** Keys are to be served again within this time of the loss of their upstream. Absent: nothing is stated. */
	readonly servedAgainWithinMilliseconds?: Milliseconds;
	/** The largest request body that is taken. */
	readonly largestBodyBytes: number;
	readonly routes: readonly RouteContract[];
	readonly upstream: UpstreamContract;
	readonly retry: RetryContract;
	readonly units: readonly LegacyUnit[];
	readonly limits: readonly ContractedLimit[];
	readonly objectives: readonly Objective[];
};

/** A contract with the values that hold when operators say nothing else. */
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
