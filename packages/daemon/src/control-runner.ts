/**
 * Connects this process to the control group: runs the leader's decisions while
 * its voter leads, and sends requests to the leader otherwise.
 */
import {type ControlCommand, decodeForwarded, encodeCommands} from '@dogwooddeck/control/command';
import {type ControlAccepted} from '@dogwooddeck/control/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {err, type Result} from 'true-myth/result';
import {firstAnswer, type ControlVoter} from './control-voter.js';
import {type ControlHolder} from './control-holder.js';
import {createJoinVotersHandler, type JoinVotersHandler} from './joining-voters.js';
import {createCachedLeader, type CachedLeader} from './cached-leader.js';
import {type LeaderRunner, createLeaderRunner} from './leader-runner.js';
import {type InstanceSettings} from './settings.js';
import {createStewardNotices, type StewardNotices} from './steward-notices.js';
import {type LeaderClient, createLeaderClient, type LeaderHandlers} from './leader-client.js';

/** This process's access to the control group. */
export type ControlRunner = {
	/** Sends a command to the leader. Resolves when it is accepted and applied there, or rejected. */
	readonly submit: (command: ControlCommand) => Promise<Result<ControlAccepted, Failure>>;
	readonly callLeader: LeaderClient;
	readonly handleDelegation: LeaderHandlers['delegate'];
	readonly handleSeat: LeaderHandlers['seat'];
	readonly handleProposal: LeaderHandlers['propose'];
	readonly handleJoinVoters: JoinVotersHandler;
	/** Called when the voter's role has changed. */
	readonly roleChanged: () => void;
	readonly leader: () => InstanceName | undefined;
	readonly stop: () => void;
};

/** Collaborators of the runner. */
export type ControlDependencies = {
	readonly settings: InstanceSettings;
	readonly terms: LeaseTerms;
	readonly hash: SlotHash;
	readonly holder: ControlHolder;
	readonly clients: PeerClients;
	readonly log: Log;
	/** Undefined on instances that don't vote. */
	readonly voter: () => ControlVoter | undefined;
};

function createProposalHandler(voter: () => ControlVoter | undefined, cachedLeader: CachedLeader): LeaderHandlers['propose'] {
	return async payload => {
		const leadingVoter = voter();
		if (!leadingVoter?.isLeader()) {
			return err(cachedLeader.notLeader());
		}

		const command = decodeForwarded(payload);
		if (command.isErr) {
			return err(command.error);
		}

		const proposed = await leadingVoter.propose(payload);
		return proposed.andThen(committed => firstAnswer(committed))
			.map(accepted => ({index: accepted.index, answer: JSON.stringify(accepted)}));
	};
}

/** Records the stewards whose delegation requests the leader answered, so that they are notified of new entries. */
function recordingStewards(leaderRunner: LeaderRunner, notices: StewardNotices): LeaderHandlers['delegate'] {
	return async request => {
		const answer = await leaderRunner.handleDelegation(request);
		if (answer.isOk) {
			notices.recordSteward(request.zone, request.steward.name);
		}

		return answer;
	};
}

export function startControl(dependencies: ControlDependencies): ControlRunner {
	const {
		settings, holder, clients, log, voter,
	} = dependencies;
	const addresses = new Map(settings.control.voters.map(({name, peerAddress}) => [name, peerAddress]));
	const cachedLeader = createCachedLeader(settings.name, voter);
	const leaderRunner = createLeaderRunner({...dependencies, cachedLeader});
	const notices = createStewardNotices(settings.name, clients);
	const handlers: LeaderHandlers = {
		delegate: recordingStewards(leaderRunner, notices),
		seat: leaderRunner.handleSeat,
		propose: createProposalHandler(voter, cachedLeader),
		joinVoters: createJoinVotersHandler({
			isListedVoter: name => addresses.has(name), voter, cachedLeader, log,
		}),
	};
	const callLeader = createLeaderClient({
		self: settings.name, addresses, clients, cachedLeader, handlers,
	});
	holder.listen(control => {
		if (leaderRunner.isLeading()) {
			notices.send(control);
		}
	});

	return {
		async submit(command) {
			const answer = await callLeader('propose', encodeCommands([command]));
			return answer.map(({answer: text}) => JSON.parse(text) as ControlAccepted);
		},
		callLeader,
		handleDelegation: handlers.delegate,
		handleSeat: handlers.seat,
		handleProposal: handlers.propose,
		handleJoinVoters: handlers.joinVoters,
		roleChanged: leaderRunner.roleChanged,
		leader: cachedLeader.leader,
		stop: leaderRunner.stop,
	};
}
