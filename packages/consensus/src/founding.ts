/**
 * How a cluster begins. Only an operator's explicit act founds one; all
 * founders derive the same first entry from the same list of names.
 */
import {type SavedState} from './machine.js';
import {type VoterSet} from './message.js';

/**
 * The folder identity of every founder. A folder that is opened without being
 * asked to found has a random one, so it is never taken for a founder's.
 */
export const founderFolder = 'founder';

const foundingTerm = 1;

/** The voter set of a cluster that is founded by the instances with these names. */
export function bootstrapVoterSet(names: readonly string[]): VoterSet {
	return {voters: [...new Set(names)].sort().map(name => ({name, folder: founderFolder})), learners: []};
}

/** What a founder persists before its first start. The voter set is the log's first entry. */
export function bootstrapCluster(names: readonly string[]): SavedState {
	return {
		hardState: {term: foundingTerm},
		entries: [{index: 1, term: foundingTerm, body: {kind: 'votersChanged', voterSet: bootstrapVoterSet(names)}}],
	};
}
