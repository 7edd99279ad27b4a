/**
 * Handlers for the calls of other instances.
 */
import {type PeerHandlers} from '@dogwooddeck/wire/server';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type ZoneName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlVoter} from './control-voter.js';
import {type ClaimRunner} from './claim-runner.js';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {checkIncarnation, checkZone} from './peer-check.js';
import {type ZoneRunner} from './zone-runner.js';

/** Functions that return this instance's report on a subject, as JSON. */
export type Collectors = Readonly<Record<string, () => string>>;

/** The components that answer calls. */
export type PeerHandlerDependencies = {
	/** The zone that this instance serves. */
	readonly ownZone: ZoneName;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly zone: () => ZoneRunner;
	readonly claims: ClaimRunner;
	readonly voter: () => ControlVoter | undefined;
	readonly collectors: Collectors;
};

/** Creates the handlers. Rejects lease and support requests of another zone or of a superseded incarnation. */
export function createPeerHandlers(dependencies: PeerHandlerDependencies): PeerHandlers {
	const {
		ownZone, holder, control, claims, collectors,
	} = dependencies;

	function checkCaller(zone: ZoneName, caller: InstanceIdentity): Result<undefined, Failure> {
		const members = holder.state().ownership.rosters[ownZone]?.members ?? [];
		return checkZone(ownZone, zone).andThen(() => checkIncarnation(members, caller));
	}

	return {
		async deliver(envelope) {
			const voter = dependencies.voter();
			return voter === undefined
				? err(failure(FailureKind.notReady, 'this instance does not vote, or not yet'))
				: voter.receive(envelope);
		},
		async renewLease(request) {
			const checked = checkCaller(request.instance.zone, request.instance);
			return checked.isOk ? dependencies.zone().handleLeaseRequest(request) : err(checked.error);
		},
		async support(request) {
			const checked = checkCaller(request.zone, request.candidate);
			return checked.isOk ? dependencies.zone().handleSupportRequest(request) : err(checked.error);
		},
		delegate: control.handleDelegation,
		seat: control.handleSeat,
		fetchState: async applied => ok(holder.catchUpAfter(applied)),
		async notify(applied) {
			dependencies.zone().handleNotice(applied);
			return ok(undefined);
		},
		propose: control.handleProposal,
		joinVoters: control.handleJoinVoters,
		claim: async body => claims.receive(body),
		async collect(subject) {
			const collector = Object.hasOwn(collectors, subject) ? collectors[subject] : undefined;
			return collector === undefined
				? err(failure(FailureKind.notFound, `nothing is collected about ${JSON.stringify(subject)}`))
				: ok(collector());
		},
	};
}
