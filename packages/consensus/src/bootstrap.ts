/**
 * Bootstraps a cluster. It happens only on an operator's explicit request; all initial
 * voters derive the same first log entry from the same list of names.
 */
import {type SavedState} from './voter-interface.js';
import {type VoterSet} from './message.js';

/**
 * The folder identity of every initial voter. A folder that is opened without
 * bootstrapping gets a random identity, so it never passes for an initial voter's.
 */
export const bootstrapFolder = 'founder';

const bootstrapTerm = 1;

/** The voter set of a cluster that is bootstrapped by the instances with these names. */
export function bootstrapVoterSet(names: readonly string[]): VoterSet {
	return {voters: [...new Set(names)].sort().map(name => ({name, folder: bootstrapFolder})), learners: []};
}

/** The state that an initial voter persists before its first start. The voter set is the first log entry. */
export function bootstrapCluster(names: readonly string[]): SavedState {
	return {
		hardState: {term: bootstrapTerm},
		entries: [{index: 1, term: bootstrapTerm, body: {kind: 'votersChanged', voterSet: bootstrapVoterSet(names)}}],
	};
}
