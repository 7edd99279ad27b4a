/**
 * Questions about a set of voters, and which changes of it are allowed.
 */
import {type VoterIdentity, type VoterSet} from './message.js';

/** A set without members: what a new folder knows. */
export const emptyVoterSet: VoterSet = {voters: [], learners: []};

/** Whether two identities name the same folder of the same instance. */
export function sameVoter(one: VoterIdentity, other: VoterIdentity): boolean {
	return one.name === other.name && one.folder === other.folder;
}

/** Whether a list holds an identity. */
export function includesVoter(list: readonly VoterIdentity[], voter: VoterIdentity): boolean {
	return list.some(member => sameVoter(member, voter));
}

/** All that the leader replicates to, the leader among them. */
export function membersOf(voterSet: VoterSet): readonly VoterIdentity[] {
	return [...voterSet.voters, ...voterSet.learners];
}

/** The number of voters that is a majority. */
export function majorityOf(voterSet: VoterSet): number {
	return Math.floor(voterSet.voters.length / 2) + 1;
}

/** Whether the voters in a list are a majority of the set. Others in the list don't count. */
export function isMajority(voterSet: VoterSet, list: readonly VoterIdentity[]): boolean {
	const count = voterSet.voters.filter(voter => includesVoter(list, voter)).length;
	return voterSet.voters.length > 0 && count >= majorityOf(voterSet);
}

/** The identities of one list that another does not hold. */
export function without(list: readonly VoterIdentity[], other: readonly VoterIdentity[]): readonly VoterIdentity[] {
	return list.filter(voter => !includesVoter(other, voter));
}

/** Why a set can't follow another, as a sentence; undefined where it can. Majorities of the two must meet. */
export function voterChangeProblem(from: VoterSet, to: VoterSet, leader: VoterIdentity): string | undefined {
	const added = without(to.voters, from.voters);
	const removed = without(from.voters, to.voters);
	const names = membersOf(to).map(voter => `${voter.name}\n${voter.folder}`);
	const problems: ReadonlyArray<readonly [boolean, string]> = [
		[new Set(names).size !== names.length, 'A member is named twice.'],
		[new Set(to.voters.map(voter => voter.name)).size !== to.voters.length, 'Two voters have one name.'],
		[added.length + removed.length > 1, 'Only one voter may be added or removed at a time.'],
		[without(added, from.learners).length > 0, 'A new voter has to be a learner first.'],
		[!includesVoter(to.voters, leader), 'The leader can\'t remove itself: hand over leadership first.'],
	];
	return problems.find(([applies]) => applies)?.[1];
}
