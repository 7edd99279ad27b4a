/**
 * Settles policy changes. A change is settled once every zone has applied it and
 * all requests that were started under the former longest deadline are past it.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type PolicySettled} from './command.js';
import {
	type GrantorState, isReleased, isReleaseExpired, type SettlingPolicy, delegationOf,
} from './grantor.js';
import {type ServicePolicy, longestInFlightDeadline} from './policy.js';
import {type OwnershipState} from './state.js';
import {grantorWait} from './terms.js';

function everyZoneApplied(grantor: GrantorState, table: OwnershipState, policy: ServicePolicy, now: MonotonicTime): boolean {
	return Object.values(table.rosters).every(roster =>
		delegationOf(grantor, roster.zone).drained >= policy.changedAt
		|| (isReleased(roster) && isReleaseExpired(grantor, roster, longestInFlightDeadline(policy), now)));
}

function settlingOf(grantor: GrantorState, policy: ServicePolicy, now: MonotonicTime): SettlingPolicy {
	const recorded = grantor.settling[policy.service];
	return recorded?.changedAt === policy.changedAt ? recorded : {changedAt: policy.changedAt, since: now};
}

/** Returns the commands for the policy changes that can be settled now, and the next grantor state. */
export function settlePolicies(
	grantor: GrantorState,
	table: OwnershipState,
	now: MonotonicTime,
): {readonly grantor: GrantorState; readonly commands: readonly PolicySettled[]} {
	const unsettled = Object.values(table.policies).filter(policy => policy.former !== undefined);
	const applied = unsettled.filter(policy => everyZoneApplied(grantor, table, policy, now));
	const entries = applied.map(policy => [policy, settlingOf(grantor, policy, now)] as const);
	const expired = entries.filter(([policy, {since}]) => now >= since + grantorWait(longestInFlightDeadline(policy), grantor.terms));
	const commands = expired.map(([{service, changedAt}]): PolicySettled => ({kind: 'policySettled', service, changedAt}));
	const settling = Object.fromEntries(entries.map(([{service}, since]) => [service, since]));
	return {grantor: {...grantor, settling}, commands};
}
