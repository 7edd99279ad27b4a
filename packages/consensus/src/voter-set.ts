/**
 * Operations on voter sets: membership, majorities, and which changes are allowed.
 */
import {type VoterIdentity, type VoterSet} from './message.js';

/** A set without members, which a new folder begins with. */
export const emptyVoterSet: VoterSet = {voters: [], learners: []};

/** Whether two identities name the same folder of the same instance. */
export function sameVoter(one: VoterIdentity, other: VoterIdentity): boolean {
	return one.name === other.name && one.folder === other.folder;
}

/** A key for one folder of one instance. */
export function keyOfVoter({name, folder}: VoterIdentity): string {
	return `${name} ${folder}`;
}

/** Whether a list includes a voter. */
export function includesVoter(list: readonly VoterIdentity[], voter: VoterIdentity): boolean {
	return list.some(member => sameVoter(member, voter));
}

/** All members that have a copy of the log, including the leader. */
export function membersOf(voterSet: VoterSet): readonly VoterIdentity[] {
	return [...voterSet.voters, ...voterSet.learners];
}

/** The number of voters that makes a majority. */
export function majorityOf(voterSet: VoterSet): number {
	return Math.floor(voterSet.voters.length / 2) + 1;
}

/** Whether a list includes a majority of the set's voters. Others in the list don't count. */
export function isMajority(voterSet: VoterSet, list: readonly VoterIdentity[]): boolean {
	const count = voterSet.voters.filter(voter => includesVoter(list, voter)).length;
	return voterSet.voters.length > 0 && count >= majorityOf(voterSet);
}

/** The voters of one list that are not in another. */
export function votersNotIn(list: readonly VoterIdentity[], other: readonly VoterIdentity[]): readonly VoterIdentity[] {
	return list.filter(voter => !includesVoter(other, voter));
}

/** Why a set can't replace another, as a sentence; undefined if it can. Majorities of the two sets must overlap. */
export function voterChangeProblem(from: VoterSet, to: VoterSet, leader: VoterIdentity): string | undefined {
	const added = votersNotIn(to.voters, from.voters);
	const removed = votersNotIn(from.voters, to.voters);
	const names = membersOf(to).map(voter => `${voter.name}\n${voter.folder}`);
	const problems: ReadonlyArray<readonly [boolean, string]> = [
		[new Set(names).size !== names.length, 'A member is listed twice.'],
		[new Set(to.voters.map(voter => voter.name)).size !== to.voters.length, 'Two voters have the same name.'],
		[added.length + removed.length > 1, 'Only one voter may be added or removed at a time.'],
		[votersNotIn(added, from.learners).length > 0, 'A new voter must be a learner first.'],
		[!includesVoter(to.voters, leader), 'The leader can\'t remove itself: transfer leadership first.'],
	];
	return problems.find(([applies]) => applies)?.[1];
}
