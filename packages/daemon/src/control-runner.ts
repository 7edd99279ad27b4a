/**
 * Runs this process's part in control: the leader's decisions while it leads,
 * and the way to the leader while it does not.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type VoterIdentity, type VoterSet} from '@dogwooddeck/consensus/message';
import {includesVoter, sameVoter} from '@dogwooddeck/consensus/voter-set';
import {type ControlCommand, decodePassedOn, encodeCommands} from '@dogwooddeck/control/command';
import {
	createLeader, type LeaderEffect, type LeaderEvent, type LeaderState, stepLeader,
} from '@dogwooddeck/control/leader';
import {type ControlAccepted} from '@dogwooddeck/control/state';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName, type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';
import {
	type DelegationAnswer, type DelegationRequest, type SeatRequest,
} from '@dogwooddeck/model/lease';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {
	type CatchUp, type PeerCalls, type WithCatchUp,
} from '@dogwooddeck/wire/methods';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlHolder} from './control-holder.js';
import {checkDelegation, checkLife} from './peer-check.js';
import {type InstanceSettings} from './settings.js';
import {firstAnswer, type VoterRunner} from './voter-runner.js';

/** This process's part in control. */
export type ControlRunner = {
	/** Sends a command to the leader. Ends when it is accepted and applied there, or refused. */
	readonly submit: (command: ControlCommand) => Promise<Result<ControlAccepted, Failure>>;
	/** Calls the leader, wherever it is. */
	readonly callLeader: <Call extends 'delegate' | 'seat' | 'propose' | 'joinVoters'>(
		call: Call,
		request: PeerCalls[Call]['request'],
	) => Promise<Result<PeerCalls[Call]['answer'], Failure>>;
	readonly takeDelegation: (request: DelegationRequest) => Promise<Result<WithCatchUp<DelegationAnswer>, Failure>>;
	readonly takeSeat: (request: SeatRequest) => Promise<Result<CatchUp, Failure>>;
	readonly takeProposal: (payload: string) => Promise<Result<PeerCalls['propose']['answer'], Failure>>;
	readonly takeVoter: (joining: VoterIdentity) => Promise<Result<undefined, Failure>>;
	/** The voter's role has changed. */
	readonly roleChanged: () => void;
	readonly leader: () => InstanceName | undefined;
	readonly stop: () => void;
};

/** What the runner needs. */
export type ControlSurroundings = {
	readonly settings: InstanceSettings;
	readonly terms: LeaseTerms;
	readonly hash: SlotHash;
	readonly holder: ControlHolder;
	readonly clients: PeerClients;
	readonly log: Log;
	/** Absent on instances that don't vote. */
	readonly voter: () => VoterRunner | undefined;
};

const tickMilliseconds: Milliseconds = 50;
/** The pause after a refused proposal. */
const refusedMilliseconds: Milliseconds = 50;
const callMilliseconds: Milliseconds = 1000;
const proposeMilliseconds: Milliseconds = 5000;

const timeouts: Readonly<Record<'delegate' | 'seat' | 'propose' | 'joinVoters', Milliseconds>> = {
	delegate: callMilliseconds,
	seat: callMilliseconds,
	propose: proposeMilliseconds,
	joinVoters: proposeMilliseconds,
};

/** The voter set after the next single step that takes a joining folder in, or undefined if nothing is left to do. */
function nextVoterSet({voters, learners}: VoterSet, joining: VoterIdentity): VoterSet | undefined {
	if (includesVoter(voters, joining)) {
		return undefined;
	}

	if (!includesVoter(learners, joining)) {
		const others = learners.filter(({name}) => name !== joining.name);
		return others.length < learners.length ? {voters, learners: others} : {voters, learners: [...learners, joining]};
	}

	const earlier = voters.filter(({name}) => name !== joining.name);
	return earlier.length < voters.length
		? {voters: earlier, learners}
		: {voters: [...voters, joining], learners: learners.filter(learner => !sameVoter(learner, joining))};
}

/** Starts the runner. */
export function startControl(surroundings: ControlSurroundings): ControlRunner {
	const {settings, holder, clients, log} = surroundings;
	const addresses = new Map(settings.control.voters.map(({name, peerAddress}) => [name, peerAddress]));
	let leading: LeaderState | undefined;
	let lastLeader: InstanceName | undefined;
	let joiningVoters = false;
	/** Runs while this voter leads. */
	let ticking: NodeJS.Timeout | undefined;
	const stewards = new Map<ZoneName, InstanceName>();

	function notLeader(): Failure {
		const leader = surroundings.voter()?.leader() ?? lastLeader;
		return failure(FailureKind.notLeader, `${settings.name} does not lead`, leader === undefined ? {} : {leader});
	}

	async function propose(commands: readonly ControlCommand[]): Promise<void> {
		const proposed = await surroundings.voter()!.propose(encodeCommands(commands));
		const refusals = proposed.isOk ? proposed.value.answers.filter(answer => answer.isErr) : [proposed];
		for (const refusal of refusals) {
			log.warning(EventName.commandRefused, {failure: refusal.isErr ? refusal.error.kind : '', detail: refusal.isErr ? refusal.error.detail : ''});
		}

		const ended = () => {
			step({kind: 'proposalEnded', now: monotonicNow(), control: holder.state()});
		};

		if (proposed.isOk) {
			ended();
		} else {
			setTimeout(ended, refusedMilliseconds);
		}
	}

	let delegationAnswer: DelegationAnswer | undefined;
	const effects: HandlerTable<LeaderEffect, [], void> = {
		propose({commands}) {
			void propose(commands);
		},
		answerDelegation({answer}) {
			delegationAnswer = answer;
		},
	};

	function step(event: LeaderEvent): void {
		if (leading === undefined) {
			return;
		}

		const next = stepLeader(leading, event);
		leading = next.state;
		for (const effect of next.effects) {
			dispatch(effects, effect);
		}
	}

	function tick(): void {
		step({kind: 'ticked', now: monotonicNow(), control: holder.state()});
	}

	async function begin(): Promise<void> {
		const voter = surroundings.voter()!;
		const read = await voter.read();
		if (read.isOk && voter.isLeader() && leading === undefined) {
			leading = createLeader(monotonicNow(), holder.state(), surroundings.terms, surroundings.hash);
			ticking = setInterval(tick, tickMilliseconds);
		}
	}

	async function takeDelegation(request: DelegationRequest): Promise<Result<WithCatchUp<DelegationAnswer>, Failure>> {
		const now = monotonicNow();
		const quorumHeardAt = surroundings.voter()?.quorumHeardAt(now);
		if (leading === undefined || quorumHeardAt === undefined) {
			return err(notLeader());
		}

		const checked = checkDelegation(request, holder.state().ownership, holder.state().applied);
		if (checked.isErr) {
			return err(checked.error);
		}

		stewards.set(request.zone, request.steward.name);
		delegationAnswer = undefined;
		step({
			kind: 'delegationRequested', now, quorumHeardAt, control: holder.state(), request,
		});
		const answer = delegationAnswer ?? {termMilliseconds: 0, shares: []};
		return ok({answer, catchUp: holder.after(request.applied)});
	}

	async function takeSeat(request: SeatRequest): Promise<Result<CatchUp, Failure>> {
		if (leading === undefined) {
			return err(notLeader());
		}

		const seated = seatedInstances(holder.state().ownership);
		const checked = checkLife(seated, request.instance);
		if (checked.isErr) {
			return err(checked.error);
		}

		step({
			kind: 'seatRequested', now: monotonicNow(), control: holder.state(), request,
		});
		return ok(holder.after(request.applied));
	}

	async function takeProposal(payload: string): Promise<Result<PeerCalls['propose']['answer'], Failure>> {
		const voter = surroundings.voter();
		if (!voter?.isLeader()) {
			return err(notLeader());
		}

		const command = decodePassedOn(payload);
		if (command.isErr) {
			return err(command.error);
		}

		const proposed = await voter.propose(payload);
		return proposed.andThen(committed => firstAnswer(committed))
			.map(accepted => ({index: accepted.index, answer: JSON.stringify(accepted)}));
	}

	async function takeVoter(joining: VoterIdentity): Promise<Result<undefined, Failure>> {
		const voter = surroundings.voter();
		if (!voter?.isLeader()) {
			return err(notLeader());
		}

		if (!addresses.has(joining.name)) {
			return err(failure(FailureKind.forbidden, `${joining.name} is not listed as a voter`));
		}

		const voterSet = nextVoterSet(voter.voterSet(), joining);
		if (voterSet === undefined || joiningVoters) {
			return ok(undefined);
		}

		joiningVoters = true;
		log.event(EventName.voterJoining, {voter: joining.name, folder: joining.folder});
		const changed = await voter.changeVoters(voterSet);
		joiningVoters = false;
		return changed.map(() => undefined);
	}

	const local: {readonly [Call in 'delegate' | 'seat' | 'propose' | 'joinVoters']: (request: PeerCalls[Call]['request']) => Promise<Result<PeerCalls[Call]['answer'], Failure>>} = {
		delegate: takeDelegation,
		seat: takeSeat,
		propose: takeProposal,
		joinVoters: takeVoter,
	};

	async function callOne<Call extends keyof typeof local>(
		name: InstanceName,
		call: Call,
		request: PeerCalls[Call]['request'],
	): Promise<Result<PeerCalls[Call]['answer'], Failure>> {
		if (name === settings.name) {
			return local[call](request);
		}

		return clients.call<Call>(addresses.get(name)!, call, request, timeouts[call]);
	}

	const passedOn: ReadonlySet<FailureKind> = new Set([FailureKind.notLeader, FailureKind.unreachable, FailureKind.notReady]);

	async function callLeader<Call extends keyof typeof local>(
		call: Call,
		request: PeerCalls[Call]['request'],
	): Promise<Result<PeerCalls[Call]['answer'], Failure>> {
		const first = surroundings.voter()?.leader() ?? lastLeader;
		const waiting = [...new Set([...(first === undefined ? [] : [first]), ...addresses.keys()])];
		let sentUnanswered = false;
		while (waiting.length > 0) {
			const name = waiting.shift()!;
			const answer = await callOne(name, call, request);
			if (answer.isOk || !passedOn.has(answer.error.kind)) {
				lastLeader = answer.isOk ? name : lastLeader;
				return answer;
			}

			sentUnanswered ||= answer.error.kind === FailureKind.unreachable;
			const hint = answer.error.leader;
			if (hint !== undefined && waiting.includes(hint)) {
				waiting.splice(waiting.indexOf(hint), 1);
				waiting.unshift(hint);
			}
		}

		return err(call === 'propose' && sentUnanswered
			? failure(FailureKind.outcomeUnknown, 'no leader answered; send the same operation again')
			: failure(FailureKind.noQuorum, 'no leader of control can be reached'));
	}

	holder.listen(control => {
		if (leading === undefined) {
			return;
		}

		for (const [zone, name] of stewards) {
			const steward = control.ownership.rosters[zone]?.members.find(member => member.name === name);
			if (steward !== undefined && name !== settings.name) {
				void clients.call(steward.peerAddress, 'notify', control.applied, callMilliseconds);
			}
		}
	});

	return {
		async submit(command) {
			const answer = await callLeader('propose', encodeCommands([command]));
			return answer.map(({answer: text}) => JSON.parse(text) as ControlAccepted);
		},
		callLeader,
		takeDelegation,
		takeSeat,
		takeProposal,
		takeVoter,
		roleChanged() {
			leading = undefined;
			clearInterval(ticking);
			if (surroundings.voter()?.isLeader() === true) {
				void begin();
			}
		},
		leader: () => surroundings.voter()?.leader() ?? lastLeader,
		stop() {
			clearInterval(ticking);
		},
	};
}
