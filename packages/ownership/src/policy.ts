/**
 * The part of a service's contract that evidence and leases rest on. It stands
 * in the ownership table, so that it changes at one log index for everyone.
 * Until every zone has applied a change, the stricter of both values holds.
 */
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {type LogIndex, type Milliseconds, type ServiceName} from '@dogwooddeck/model/identifiers';

/** What a contract says about cuts and deadlines. */
export type PolicyTerms = {
	readonly whenCut: PartitionPolicy;
	readonly longestDeadlineMilliseconds: Milliseconds;
};

/** A service's policy, with the one before it while some zone may still follow that. */
export type ServicePolicy = PolicyTerms & {
	readonly service: ServiceName;
	/** The number of slots that keys hash to; pinned keys are numbered from here. */
	readonly slots: number;
	readonly changedAt: LogIndex;
	/** The strictest of the terms that were in force before and are not settled. */
	readonly former?: PolicyTerms;
};

/** Whether an instance that is cut off may go on serving its own zone's slots. */
export function mayHold(policy: ServicePolicy): boolean {
	return policy.whenCut === PartitionPolicy.hold;
}

/** Whether some instance may be holding slots, so that expiry of a delegation proves nothing. */
export function someMayHold(policy: ServicePolicy): boolean {
	return policy.whenCut === PartitionPolicy.hold || policy.former?.whenCut === PartitionPolicy.hold;
}

/** The longest deadline that an instance may give a request. */
export function routedDeadline(policy: ServicePolicy): Milliseconds {
	return Math.min(policy.longestDeadlineMilliseconds, policy.former?.longestDeadlineMilliseconds ?? Infinity);
}

/** The longest deadline that a request in flight may have. */
export function waitedDeadline(policy: ServicePolicy): Milliseconds {
	return Math.max(policy.longestDeadlineMilliseconds, policy.former?.longestDeadlineMilliseconds ?? 0);
}

/** The strictest terms of two. */
export function strictestTerms(one: PolicyTerms, other: PolicyTerms | undefined): PolicyTerms {
	const holds = one.whenCut === PartitionPolicy.hold || other?.whenCut === PartitionPolicy.hold;
	return {
		whenCut: holds ? PartitionPolicy.hold : PartitionPolicy.takeOver,
		longestDeadlineMilliseconds: Math.max(one.longestDeadlineMilliseconds, other?.longestDeadlineMilliseconds ?? 0),
	};
}
