/**
 * The decisions about each caller's request (service, owner, admission, retry), made
 * from the tables that this instance holds. Structures here are updated in place,
 * since every request uses them.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {contractsOf} from '@dogwooddeck/configuration/tree';
import {type ControlState} from '@dogwooddeck/control/state';
import {AttemptEnd, type EvidenceRecorder} from '@dogwooddeck/membership/evidence';
import {upstreamOf} from '@dogwooddeck/membership/registry';
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type ServiceName, type Slot, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {type InFlightRequests, type InFlightTracker} from '@dogwooddeck/ownership/drain';
import {isHeld, type LeaseState, mayStart} from '@dogwooddeck/ownership/lease';
import {longestRequestDeadline} from '@dogwooddeck/ownership/policy';
import {assignmentOf, seatedInstances, slotFor} from '@dogwooddeck/ownership/table';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type Admission, connectionsFor, createAdmission} from '@dogwooddeck/routing/admission';
import {
	allowsRetry, recordAttempt, createRetryBudget, type RetryBudget,
} from '@dogwooddeck/routing/budget';
import {fingerprintOf} from '@dogwooddeck/routing/claim-fingerprint';
import {deadlineOf} from '@dogwooddeck/routing/deadline';
import {AttemptObservation, observationRules} from '@dogwooddeck/routing/outcome';
import {
	createTargetIndex, matchService, readKey, type RequestHead, routeOf, type ServiceTarget, type TargetIndex,
} from '@dogwooddeck/routing/target';
import {
	type OpenedRequest, type RequestOwner, type RequestPath, type RequestReport,
} from '@dogwooddeck/upstream-client/request-path';
import {err, ok, type Result} from 'true-myth/result';
import {type ClaimRunner} from './claim-runner.js';
import {type ControlHolder} from './control-holder.js';
import {type Limiter} from './limiter.js';
import {type ReportCollector} from './report-collector.js';

/** A request whose head was parsed. */
export type ParsedRequest = OpenedRequest & {
	readonly target: ServiceTarget;
	readonly key: string;
	readonly hashSlot: Slot;
	readonly operationKey: string;
	readonly head: RequestHead;
	/** Whether the contracted limits have admitted it. */
	isWithinLimits: boolean;
};

/** The owner of a request's key. */
export type Owner = RequestOwner & {
	readonly service: ServiceName;
	readonly upstream: UpstreamIdentity;
	readonly zone: ZoneName;
	/** Set when the first byte may be sent. */
	inFlightRequest: InFlightRequests | undefined;
};

/** The collaborators of the request path. */
export type RequestPathDependencies = {
	readonly name: InstanceName;
	readonly zone: ZoneName;
	readonly holder: ControlHolder;
	readonly lease: () => LeaseState;
	/** When requests in flight are terminated; infinite unless the instance is stopping. */
	readonly endsAt: () => MonotonicTime;
	readonly inFlightRequests: InFlightTracker;
	readonly evidence: EvidenceRecorder;
	readonly reports: ReportCollector;
	readonly claims: ClaimRunner;
	readonly limiter: Limiter;
	readonly hash: SlotHash;
	readonly requestEnded: (service: ServiceName, request: ParsedRequest | undefined, report: RequestReport) => void;
};

/** The retry delay of a request without an owner or a lease. */
const ownerRetryMilliseconds: Milliseconds = 25;
const maximumQueueLength = 1000;
/** Added to the lifetime of a claimed operation, so that whatever a frozen socket still holds is past its deadline. */
const claimMarginMilliseconds: Milliseconds = 500;
const maximumOperationKeyLength = 256;

const attemptEnds: Readonly<Record<AttemptObservation, AttemptEnd>> = {
	[AttemptObservation.refusedConnection]: AttemptEnd.failed,
	[AttemptObservation.closedBeforeFirstByte]: AttemptEnd.failed,
	[AttemptObservation.closedAfterFirstByte]: AttemptEnd.failed,
	[AttemptObservation.shed]: AttemptEnd.shed,
	[AttemptObservation.deadlinePassedBeforeFirstByte]: AttemptEnd.cancelled,
	[AttemptObservation.deadlinePassedAfterFirstByte]: AttemptEnd.timedOut,
	[AttemptObservation.wholeAnswer]: AttemptEnd.answered,
	[AttemptObservation.cutAnswer]: AttemptEnd.failed,
	[AttemptObservation.foreignAnswer]: AttemptEnd.failed,
	[AttemptObservation.unboundedAnswer]: AttemptEnd.failed,
	[AttemptObservation.leaseLost]: AttemptEnd.cancelled,
	[AttemptObservation.unsendable]: AttemptEnd.cancelled,
	[AttemptObservation.cancelledBeforeFirstByte]: AttemptEnd.cancelled,
	[AttemptObservation.cancelledAfterFirstByte]: AttemptEnd.cancelled,
};

const noOwner = failure(FailureKind.noOwner, 'the key has no owner at this moment', {retryAfterMilliseconds: ownerRetryMilliseconds});
const noLease = failure(FailureKind.noLease, 'this instance holds no lease over the key at this moment', {retryAfterMilliseconds: ownerRetryMilliseconds});
const noConnections = failure(FailureKind.overloaded, 'all connections of the upstream are allotted to other instances');
const notReady = failure(FailureKind.notReady, 'the instance accepts no requests now');

function operationKeyOf(head: RequestHead): Result<string, Failure> {
	const value = head.headers[HeaderName.idempotencyKey];
	if (value === undefined) {
		return ok('');
	}

	return typeof value === 'string' && value.length > 0 && value.length <= maximumOperationKeyLength
		? ok(value)
		: err(failure(FailureKind.malformed, `${HeaderName.idempotencyKey} must be one value of 1 to ${maximumOperationKeyLength} characters`));
}

/** The number of instances that share the connections and slots of upstreams, and the position of this one among them. */
type Sharing = {readonly instances: number; readonly position: number};

function sharingOf(state: ControlState, name: InstanceName): Sharing {
	const sortedNames = seatedInstances(state.ownership).map(member => member.name).sort();
	return {instances: Math.max(1, sortedNames.length), position: Math.max(0, sortedNames.indexOf(name))};
}

/** Creates the request path of an instance. */
export function createRequestPath(dependencies: RequestPathDependencies): RequestPath<ParsedRequest, Owner> {
	const {
		holder, inFlightRequests, evidence, reports, claims, limiter, hash,
	} = dependencies;
	let targetIndex: TargetIndex = createTargetIndex([]);
	let configuration: ControlState['configuration'] | undefined;
	let sharing: Sharing = {instances: 1, position: 0};
	const admissions = new Map<string, Admission>();
	const budgets = new Map<ServiceName, RetryBudget>();

	function boundsOf(slots: number) {
		return {slots, instances: sharing.instances, queueLength: maximumQueueLength};
	}

	function applyState(state: ControlState): void {
		sharing = sharingOf(state, dependencies.name);
		if (state.configuration !== configuration) {
			configuration = state.configuration;
			targetIndex = createTargetIndex(contractsOf(configuration));
		}
	}

	function admissionOf(address: string, slots: number): Admission {
		const existing = admissions.get(address);
		if (existing !== undefined) {
			existing.updateBounds(boundsOf(slots));
			return existing;
		}

		const created = createAdmission(boundsOf(slots));
		admissions.set(address, created);
		return created;
	}

	function budgetOf(request: ParsedRequest): RetryBudget {
		const {name, retry} = request.target.contract;
		return budgets.get(name) ?? createRetryBudget(retry.budgetRatio);
	}

	function createRequest(target: ServiceTarget, head: RequestHead, key: string, operationKey: string): ParsedRequest {
		const {contract} = target;
		const now = monotonicNow();
		const policy = holder.state().ownership.policies[contract.name];
		const route = routeOf(target, head.method, head.path);
		const maximumDuration = policy === undefined ? contract.longestDeadlineMilliseconds : longestRequestDeadline(policy);
		return {
			target,
			key,
			hashSlot: hash(key, contract.slots),
			operationKey,
			head,
			isWithinLimits: false,
			deadline: Math.min(deadlineOf(contract, head, now), now + maximumDuration),
			idempotent: route.idempotent,
			importance: route.importance,
			retry: contract.retry,
			largestBodyBytes: contract.largestBodyBytes,
			notRunStatuses: contract.upstream.notRunStatuses,
			claims: operationKey !== '' && !route.idempotent,
		};
	}

	function open(head: RequestHead): Result<ParsedRequest, Failure> {
		const target = matchService(targetIndex, head.path);
		if (target === undefined) {
			return err(failure(FailureKind.notFound, 'no service has this path'));
		}

		const key = readKey(target, head);
		if (key.isErr) {
			return err(key.error);
		}

		return operationKeyOf(head)
			.map(operationKey => createRequest(target, head, key.value, operationKey))
			.andThen(request => request.deadline > dependencies.endsAt() ? err(notReady) : ok(request));
	}

	/** Charges only requests that have an owner: in a network partition, those for other zones' keys would use up what the zone may still use. */
	function locate(request: ParsedRequest): Result<Owner, Failure> {
		const owner = findOwner(request);
		return owner.isErr || request.isWithinLimits ? owner : charge(request, owner.value);
	}

	function charge(request: ParsedRequest, owner: Owner): Result<Owner, Failure> {
		return limiter.admit(request.target.contract, request.head, request.idempotent).map(() => {
			request.isWithinLimits = true;
			return owner;
		});
	}

	function findOwner(request: ParsedRequest): Result<Owner, Failure> {
		const state = holder.state();
		const {contract} = request.target;
		const assignments = state.ownership.services[contract.name];
		const policy = state.ownership.policies[contract.name];
		if (assignments === undefined || policy === undefined) {
			return err(noOwner);
		}

		const slot = slotFor(assignments, request.hashSlot, request.key);
		const assignment = assignments.assignments[slot];
		const upstream = assignment?.phase === AssignmentPhase.granted ? upstreamOf(state.membership, assignment.owner) : undefined;
		if (assignment?.phase !== AssignmentPhase.granted || upstream === undefined) {
			return err(noOwner);
		}

		const held = isHeld(policy, upstream.zone, dependencies.zone);
		if (!mayStart(dependencies.lease(), monotonicNow(), assignment, held)) {
			return err(noLease);
		}

		const connections = connectionsFor(contract.upstream.connections, sharing.instances, sharing.position);
		if (connections === 0) {
			return err(noConnections);
		}

		return ok({
			address: upstream.address,
			connections,
			slot,
			fence: assignment.fence,
			admission: admissionOf(upstream.address, contract.upstream.slots),
			service: contract.name,
			upstream: assignment.owner,
			zone: upstream.zone,
			inFlightRequest: undefined,
		});
	}

	function mayStartNow(request: ParsedRequest, owner: Owner): boolean {
		const assignment = assignmentOf(holder.state().ownership, owner.service, owner.slot);
		const now = monotonicNow();
		if (assignment?.phase !== AssignmentPhase.granted || assignment.fence !== owner.fence || now >= request.deadline) {
			return false;
		}

		const policy = holder.state().ownership.policies[owner.service];
		if (policy === undefined || !mayStart(dependencies.lease(), now, assignment, isHeld(policy, owner.zone, dependencies.zone))) {
			return false;
		}

		owner.inFlightRequest = inFlightRequests.start(owner.service, owner.slot, owner.fence, now, request.deadline);
		return true;
	}

	holder.listen(applyState);

	return {
		now: monotonicNow,
		open,
		locate,
		mayStart: mayStartNow,
		allowsRetry: request => allowsRetry(budgetOf(request)),
		attemptStarted(request, owner, retry) {
			budgets.set(owner.service, recordAttempt(budgetOf(request), {kind: retry ? 'retry' : 'first-attempt'}).state);
			evidence.started(owner.upstream);
			reports.recordRequest(owner.service, owner.slot, request.key);
		},
		attemptEnded(_request, owner, {seen, latencyMilliseconds}) {
			evidence.ended(owner.upstream, attemptEnds[seen], latencyMilliseconds);
			if (owner.inFlightRequest !== undefined) {
				const isDefinite = observationRules[seen].outcome !== Outcome.unknown;
				(isDefinite ? inFlightRequests.end : inFlightRequests.abandon)(owner.inFlightRequest);
				owner.inFlightRequest = undefined;
			}
		},
		claim(request, body, decided) {
			return claims.claim({
				operation: {service: request.target.contract.name, key: request.key, operationKey: request.operationKey},
				fingerprint: fingerprintOf(request.head, body),
				runsForMilliseconds: request.deadline - monotonicNow() + claimMarginMilliseconds,
			}, decided);
		},
		requestEnded(request, report) {
			dependencies.requestEnded(request?.target.contract.name ?? '', request, report);
		},
	};
}
