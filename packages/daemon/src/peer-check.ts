/**
 * Validates calls of other instances: rejects those of an earlier incarnation of
 * a seated instance, and those of an instance of another zone.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type DelegationRequest} from '@dogwooddeck/model/lease';
import {type OwnershipState} from '@dogwooddeck/ownership/table';
import {err, ok, type Result} from 'true-myth/result';

type CheckResult = Result<undefined, Failure>;

/** Fails with `superseded` if a later incarnation of the instance has a seat. */
export function checkIncarnation(members: readonly InstanceIdentity[], {name, incarnation}: InstanceIdentity): CheckResult {
	const later = members.find(member => member.name === name && member.incarnation > incarnation);
	return later === undefined
		? ok(undefined)
		: err(failure(FailureKind.superseded, `a later incarnation of ${name} has its seat: ${later.incarnation}`));
}

/** Fails with `forbidden` if the requested zone isn't this instance's own. */
export function checkZone(own: ZoneName, requested: ZoneName): CheckResult {
	return requested === own ? ok(undefined) : err(failure(FailureKind.forbidden, `this instance serves ${own}, not ${requested}`));
}

function checkIndexes({applied, drained}: DelegationRequest, newest: number): CheckResult {
	return drained <= applied && applied <= newest
		? ok(undefined)
		: err(failure(FailureKind.malformed, `drained ${drained} and applied ${applied} are impossible: ${newest} is the newest entry`));
}

/**
 * Validates a steward's request against the entries that the leader has applied.
 * Fails with `forbidden` for a zone without a roster, with `superseded`, and
 * with `malformed` for indexes out of order or past the last applied entry.
 */
export function checkDelegation(request: DelegationRequest, table: OwnershipState, applied: number): CheckResult {
	const roster = Object.hasOwn(table.rosters, request.zone) ? table.rosters[request.zone] : undefined;
	return roster === undefined
		? err(failure(FailureKind.forbidden, `the zone ${request.zone} has no roster`))
		: checkIncarnation(roster.members, request.steward).andThen(() => checkIndexes(request, applied));
}
