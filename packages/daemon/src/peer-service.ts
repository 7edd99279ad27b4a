/**
 * What an instance does with the calls of other instances.
 */
import {type PeerHandlers} from '@dogwooddeck/wire/server';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type ZoneName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlVoter} from './control-voter.js';
import {type ClaimRunner} from './claim-runner.js';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {checkLife, checkZone} from './peer-check.js';
import {type ZoneRunner} from './zone-runner.js';

/** Answers what an instance is asked to tell of itself, as JSON. */
export type Collectors = Readonly<Record<string, () => string>>;

/** The parts that answer calls. */
export type PeerParts = {
	/** The zone that this instance serves. */
	readonly ownZone: ZoneName;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly zone: () => ZoneRunner;
	readonly claims: ClaimRunner;
	readonly voter: () => ControlVoter | undefined;
	readonly collectors: Collectors;
};

/** Makes the handlers. */
export function createPeerHandlers(parts: PeerParts): PeerHandlers {
	const {
		ownZone, holder, control, claims, collectors,
	} = parts;

	function checkCaller(zone: ZoneName, caller: InstanceIdentity): Result<undefined, Failure> {
		const members = holder.state().ownership.rosters[ownZone]?.members ?? [];
		return checkZone(ownZone, zone).andThen(() => checkLife(members, caller));
	}

	return {
		async deliver(envelope) {
			const voter = parts.voter();
			return voter === undefined
				? err(failure(FailureKind.notReady, 'this instance does not vote, or not yet'))
				: voter.receive(envelope);
		},
		async renewLease(request) {
			const checked = checkCaller(request.instance.zone, request.instance);
			return checked.isOk ? parts.zone().takeLeaseRequest(request) : err(checked.error);
		},
		async support(request) {
			const checked = checkCaller(request.zone, request.candidate);
			return checked.isOk ? parts.zone().takeSupportRequest(request) : err(checked.error);
		},
		delegate: control.takeDelegation,
		seat: control.takeSeat,
		fetchState: async applied => ok(holder.catchUpAfter(applied)),
		async notify(applied) {
			parts.zone().takeNotice(applied);
			return ok(undefined);
		},
		propose: control.takeProposal,
		joinVoters: control.takeVoter,
		claim: async body => claims.receive(body),
		async collect(subject) {
			const collector = Object.hasOwn(collectors, subject) ? collectors[subject] : undefined;
			return collector === undefined
				? err(failure(FailureKind.notFound, `nothing is collected about ${JSON.stringify(subject)}`))
				: ok(collector());
		},
	};
}
