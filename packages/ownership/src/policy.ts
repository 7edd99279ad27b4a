/**
 * The part of a service's contract that leases and the evidence for moves depend
 * on. It is stored in the ownership table, so that it changes at the same log
 * index on every instance. Until every zone has applied a change, the stricter
 * of the old and the new value applies.
 */
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {type LogIndex, type Milliseconds, type ServiceName} from '@dogwooddeck/model/identifiers';

/** A contract's terms for network partitions and deadlines. */
export type PolicyTerms = {
	/** What happens to the slots of a zone that is partitioned from control. */
	readonly whenCut: PartitionPolicy;
	readonly longestDeadlineMilliseconds: Milliseconds;
};

/** A service's policy, together with the former terms while some zone may still apply them. */
export type ServicePolicy = PolicyTerms & {
	readonly service: ServiceName;
	/** The number of slots that keys hash to. The slots of pinned keys are numbered from here. */
	readonly slots: number;
	/** The index of the entry that last changed the policy. */
	readonly changedAt: LogIndex;
	/** The strictest of the former terms that some zone may still apply. */
	readonly former?: PolicyTerms;
};

/** Whether a partitioned instance may continue to serve its own zone's slots. */
export function mayHold(policy: ServicePolicy): boolean {
	return policy.whenCut === PartitionPolicy.hold;
}

/** Whether some instance may hold slots without contact to control, so that the expiry of a delegation is no evidence. */
export function someMayHold(policy: ServicePolicy): boolean {
	return policy.whenCut === PartitionPolicy.hold || policy.former?.whenCut === PartitionPolicy.hold;
}

/** Returns the longest deadline that an instance may set for a new request. */
export function longestRequestDeadline(policy: ServicePolicy): Milliseconds {
	return Math.min(policy.longestDeadlineMilliseconds, policy.former?.longestDeadlineMilliseconds ?? Infinity);
}

/** Returns the longest deadline that an in-flight request may have. */
export function longestInFlightDeadline(policy: ServicePolicy): Milliseconds {
	return Math.max(policy.longestDeadlineMilliseconds, policy.former?.longestDeadlineMilliseconds ?? 0);
}

/** Combines two sets of terms into the strictest. */
export function strictestTerms(one: PolicyTerms, other: PolicyTerms | undefined): PolicyTerms {
	const holds = one.whenCut === PartitionPolicy.hold || other?.whenCut === PartitionPolicy.hold;
	return {
		whenCut: holds ? PartitionPolicy.hold : PartitionPolicy.takeOver,
		longestDeadlineMilliseconds: Math.max(one.longestDeadlineMilliseconds, other?.longestDeadlineMilliseconds ?? 0),
	};
}
