/**
 * Runs the leader's state machine while this process's voter leads: feeds it
 * requests and ticks, and proposes the commands that it emits.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type ControlCommand, encodeCommands} from '@dogwooddeck/control/command';
import {
	createLeader, type LeaderEffect, type LeaderEvent, stepLeader,
} from '@dogwooddeck/control/leader';
import {type LeaderState} from '@dogwooddeck/control/leader-state';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {
	type DelegationAnswer, type DelegationRequest, type SeatRequest,
} from '@dogwooddeck/model/lease';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type CatchUp} from '@dogwooddeck/model/catch-up';
import {type WithCatchUp} from '@dogwooddeck/wire/methods';
import {err, type Result} from 'true-myth/result';
import {type ControlCommitted, type ControlVoter} from './control-voter.js';
import {type ControlHolder} from './control-holder.js';
import {type CachedLeader} from './cached-leader.js';
import {checkDelegation, checkIncarnation} from './peer-check.js';

/** The leader's side of the control group, idle while another voter leads. */
export type LeaderRunner = {
	readonly isLeading: () => boolean;
	/** Fails with `notLeader`, and as the validation of the request does. */
	readonly handleDelegation: (request: DelegationRequest) => Promise<Result<WithCatchUp<DelegationAnswer>, Failure>>;
	/** Fails with `notLeader`, and as the validation of the request does. */
	readonly handleSeat: (request: SeatRequest) => Promise<Result<CatchUp, Failure>>;
	/** Called when the voter's role has changed. */
	readonly roleChanged: () => void;
	readonly stop: () => void;
};

/** Collaborators of the leader runner. */
export type LeaderRunnerDependencies = {
	readonly terms: LeaseTerms;
	readonly hash: SlotHash;
	readonly holder: ControlHolder;
	readonly cachedLeader: CachedLeader;
	readonly log: Log;
	readonly voter: () => ControlVoter | undefined;
};

const tickMilliseconds: Milliseconds = 50;
/** The delay before the state machine continues after a failed proposal. */
const failedProposalDelayMilliseconds: Milliseconds = 50;

function rejectionsOf(proposed: Result<ControlCommitted, Failure>): readonly Failure[] {
	const results = proposed.isOk ? proposed.value.answers : [proposed];
	return results.flatMap(result => result.isErr ? [result.error] : []);
}

/** Creates the leader runner. It ticks once this voter has won an election and has read up to its committed index. */
export function createLeaderRunner(dependencies: LeaderRunnerDependencies): LeaderRunner {
	const {
		terms, hash, holder, cachedLeader, log, voter,
	} = dependencies;
	let leaderState: LeaderState | undefined;
	/** Set while this voter leads. */
	let tickTimer: NodeJS.Timeout | undefined;
	let delegationAnswer: DelegationAnswer | undefined;

	function proposalEnded(): void {
		step({kind: 'proposalEnded', now: monotonicNow(), control: holder.state()});
	}

	async function propose(commands: readonly ControlCommand[]): Promise<void> {
		const proposed = await voter()!.propose(encodeCommands(commands));
		for (const {kind, detail} of rejectionsOf(proposed)) {
			log.warning(EventName.commandRefused, {failure: kind, detail});
		}

		if (proposed.isOk) {
			proposalEnded();
		} else {
			setTimeout(proposalEnded, failedProposalDelayMilliseconds);
		}
	}

	const effects: HandlerTable<LeaderEffect, [], void> = {
		propose({commands}) {
			void propose(commands);
		},
		answerDelegation({answer}) {
			delegationAnswer = answer;
		},
	};

	function step(event: LeaderEvent): void {
		if (leaderState === undefined) {
			return;
		}

		const next = stepLeader(leaderState, event);
		leaderState = next.state;
		for (const effect of next.effects) {
			dispatch(effects, effect);
		}
	}

	function tick(): void {
		step({kind: 'ticked', now: monotonicNow(), control: holder.state()});
	}

	async function startLeading(elected: ControlVoter): Promise<void> {
		const read = await elected.read();
		if (read.isOk && elected.isLeader() && leaderState === undefined) {
			leaderState = createLeader(monotonicNow(), holder.state(), terms, hash);
			tickTimer = setInterval(tick, tickMilliseconds);
		}
	}

	function delegate(request: DelegationRequest, now: number, quorumHeardAt: number): WithCatchUp<DelegationAnswer> {
		delegationAnswer = undefined;
		step({
			kind: 'delegationRequested', now, quorumContactAt: quorumHeardAt, control: holder.state(), request,
		});
		const answer = delegationAnswer ?? {termMilliseconds: 0, shares: []};
		return {answer, catchUp: holder.catchUpAfter(request.applied)};
	}

	function seat(request: SeatRequest): CatchUp {
		step({
			kind: 'seatRequested', now: monotonicNow(), control: holder.state(), request,
		});
		return holder.catchUpAfter(request.applied);
	}

	return {
		isLeading: () => leaderState !== undefined,
		async handleDelegation(request) {
			const now = monotonicNow();
			const quorumHeardAt = voter()?.quorumContactAt(now);
			if (leaderState === undefined || quorumHeardAt === undefined) {
				return err(cachedLeader.notLeader());
			}

			const {ownership, applied} = holder.state();
			return checkDelegation(request, ownership, applied).map(() => delegate(request, now, quorumHeardAt));
		},
		async handleSeat(request) {
			if (leaderState === undefined) {
				return err(cachedLeader.notLeader());
			}

			const seated = seatedInstances(holder.state().ownership);
			return checkIncarnation(seated, request.instance).map(() => seat(request));
		},
		roleChanged() {
			leaderState = undefined;
			clearInterval(tickTimer);
			const elected = voter();
			if (elected?.isLeader() === true) {
				void startLeading(elected);
			}
		},
		stop() {
			clearInterval(tickTimer);
		},
	};
}
