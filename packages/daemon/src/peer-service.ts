/**
 * What an instance does with the calls of other instances.
 */
import {type PeerHandlers} from '@dogwooddeck/wire/server';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {err, ok} from 'true-myth/result';
import {type ClaimRunner} from './claim-runner.js';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {type VoterRunner} from './voter-runner.js';
import {type ZoneRunner} from './zone-runner.js';

/** Answers what an instance is asked to tell of itself, as JSON. */
export type Collectors = Readonly<Record<string, () => string>>;

/** The parts that answer calls. */
export type PeerParts = {
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly zone: () => ZoneRunner;
	readonly claims: ClaimRunner;
	readonly voter: () => VoterRunner | undefined;
	readonly collectors: Collectors;
};

/** Makes the handlers. */
export function createPeerHandlers(parts: PeerParts): PeerHandlers {
	const {holder, control, claims, collectors} = parts;
	return {
		async deliver(envelope) {
			const voter = parts.voter();
			return voter === undefined
				? err(failure(FailureKind.notReady, 'this instance does not vote, or not yet'))
				: voter.receive(envelope);
		},
		renewLease: async request => parts.zone().takeLeaseRequest(request),
		support: async request => parts.zone().takeSupportRequest(request),
		delegate: control.takeDelegation,
		seat: control.takeSeat,
		fetchState: async applied => ok(holder.after(applied)),
		async notify(applied) {
			parts.zone().takeNotice(applied);
			return ok(undefined);
		},
		propose: control.takeProposal,
		joinVoters: control.takeVoter,
		claim: async body => claims.take(body),
		async collect(subject) {
			const collector = Object.hasOwn(collectors, subject) ? collectors[subject] : undefined;
			return collector === undefined
				? err(failure(FailureKind.notFound, `nothing is collected about ${JSON.stringify(subject)}`))
				: ok(collector());
		},
	};
}
