/**
 * Applies commands to the ownership table through a lookup table of handlers. A
 * command that conflicts with the table is rejected and changes nothing.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {type Result} from 'true-myth/result';
import {grantAssignments, releaseAssignments, revokeAssignments} from './assigning.js';
import {type OwnershipCommand} from './command.js';
import {pinKey, unpinKey} from './pinning.js';
import {
	releaseZone, seatInstance, settleRoster, unseatInstance,
} from './roster.js';
import {
	changePolicy, closeService, openService, settlePolicy,
} from './services.js';
import {type OwnershipState} from './state.js';

const handlers: HandlerTable<OwnershipCommand, [OwnershipState, LogIndex], Result<OwnershipState, Failure>> = {
	serviceOpened: openService,
	serviceClosed: closeService,
	policyChanged: changePolicy,
	policySettled: settlePolicy,
	assignmentsGranted: grantAssignments,
	assignmentsRevoked: revokeAssignments,
	assignmentsReleased: releaseAssignments,
	keyPinned: pinKey,
	keyUnpinned: unpinKey,
	instanceSeated: seatInstance,
	instanceUnseated: unseatInstance,
	rosterSettled: settleRoster,
	zoneReleased: releaseZone,
};

/** Returns the table after applying the command of log entry `index`. Fails with `notFound`, `conflict` or `malformed`. */
export function applyOwnership(state: OwnershipState, command: OwnershipCommand, index: LogIndex): Result<OwnershipState, Failure> {
	return dispatch(handlers, command, state, index);
}

export {
	assignmentOf, emptyOwnership, seatedInstances, slotFor, type OwnershipState, type ZoneRoster,
} from './state.js';
export {type OwnershipCommand} from './command.js';
