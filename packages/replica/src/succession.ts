/**
 * Succession of voters: keeps the target number of voters and replaces lost ones, one
 * voter change at a time. The leader evaluates it after each observation.
 */
import {type VoterIdentity, type VoterSet} from '@dogwooddeck/consensus/message';
import {includesVoter, sameVoter} from '@dogwooddeck/consensus/voter-set';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The leader's last contact with a control instance. */
export type VoterObservation = {readonly voter: VoterIdentity; readonly lastContactAt: MonotonicTime};

/** The inputs of the decision. */
export type SuccessionInput = {
	readonly now: MonotonicTime;
	readonly self: VoterIdentity;
	readonly voterSet: VoterSet;
	readonly observations: readonly VoterObservation[];
	/** The target number of voters: twice the number of losses to be tolerated, plus one. */
	readonly targetVoterCount: number;
};

/** A standby is considered only if it had contact with the leader this recently: less than the silence that makes a voter lost. */
export const standbyContactTimeoutMilliseconds: Milliseconds = 1500;

/**
 * A voter without contact for this long is replaced if a standby is present. Another voter may be lost for good 4 s after
 * the first one's instance was replaced; until then an election, two voter changes and their confirmation must be over.
 */
export const voterContactTimeoutMilliseconds: Milliseconds = 2000;

/** A learner without contact for this long is removed. */
export const learnerContactTimeoutMilliseconds: Milliseconds = 20_000;

type VoterStatus = {readonly present: readonly VoterIdentity[]; readonly lost: readonly VoterIdentity[]};

function lastContactAt({observations}: SuccessionInput, voter: VoterIdentity): MonotonicTime {
	return observations.find(observation => sameVoter(observation.voter, voter))?.lastContactAt ?? -Infinity;
}

/** A voter's folder is lost for good once its instance is observed with another one. */
function isReplaced({observations}: SuccessionInput, voter: VoterIdentity): boolean {
	const others = observations.filter(observation => observation.voter.name === voter.name);
	const newest = others.reduce<VoterObservation | undefined>((found, one) => found === undefined || one.lastContactAt > found.lastContactAt ? one : found, undefined);
	return newest !== undefined && !sameVoter(newest.voter, voter);
}

function classifyVoters(input: SuccessionInput): VoterStatus {
	const {now, self, voterSet} = input;
	const isSelf = (voter: VoterIdentity) => sameVoter(voter, self);
	const lost = voterSet.voters.filter(voter => !isSelf(voter) && (isReplaced(input, voter) || now - lastContactAt(input, voter) > voterContactTimeoutMilliseconds));
	const present = input.observations.filter(observation => now - observation.lastContactAt <= standbyContactTimeoutMilliseconds && !isReplaced(input, observation.voter)).map(({voter}) => voter);
	return {present, lost};
}

function addLearner({voterSet}: SuccessionInput, {present}: VoterStatus): VoterSet | undefined {
	const newcomer = present.find(voter => !includesVoter(voterSet.voters, voter) && !includesVoter(voterSet.learners, voter));
	return newcomer === undefined
		? undefined
		: {voters: voterSet.voters, learners: [...voterSet.learners.filter(({name}) => name !== newcomer.name), newcomer]};
}

function promoteStandby({voterSet, targetVoterCount}: SuccessionInput, {present, lost}: VoterStatus): VoterSet | undefined {
	const names = new Set(voterSet.voters.map(({name}) => name));
	const standby = voterSet.learners.find(learner => includesVoter(present, learner) && !names.has(learner.name));
	return standby === undefined || voterSet.voters.length - lost.length >= targetVoterCount
		? undefined
		: {voters: [...voterSet.voters, standby], learners: voterSet.learners.filter(learner => !sameVoter(learner, standby))};
}

/** Removes a lost voter once there are more voters than the target or, without a standby to promote, once its own instance has a new folder. */
function removeLostVoter(input: SuccessionInput, {lost}: VoterStatus): VoterSet | undefined {
	const {voterSet, targetVoterCount} = input;
	const removed = lost.find(voter => voterSet.voters.length > targetVoterCount || isReplaced(input, voter));
	return removed === undefined ? undefined : {voters: voterSet.voters.filter(voter => !sameVoter(voter, removed)), learners: voterSet.learners};
}

function demoteSurplusVoter({voterSet, targetVoterCount, self}: SuccessionInput): VoterSet | undefined {
	const surplus = voterSet.voters.length > targetVoterCount ? voterSet.voters.findLast(voter => !sameVoter(voter, self)) : undefined;
	return surplus === undefined
		? undefined
		: {voters: voterSet.voters.filter(voter => !sameVoter(voter, surplus)), learners: [...voterSet.learners, surplus]};
}

function removeLostLearner(input: SuccessionInput): VoterSet | undefined {
	const {voterSet, now} = input;
	const removed = voterSet.learners.find(learner => isReplaced(input, learner) || now - lastContactAt(input, learner) > learnerContactTimeoutMilliseconds);
	return removed === undefined ? undefined : {voters: voterSet.voters, learners: voterSet.learners.filter(learner => !sameVoter(learner, removed))};
}

/** The next voter set, or undefined if the current one should stay. */
export function nextVoterSet(input: SuccessionInput): VoterSet | undefined {
	const status = classifyVoters(input);
	return addLearner(input, status)
		?? promoteStandby(input, status)
		?? removeLostVoter(input, status)
		?? demoteSurplusVoter(input)
		?? removeLostLearner(input);
}
