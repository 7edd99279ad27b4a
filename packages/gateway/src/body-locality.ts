/**
 * Keeps large bodies in the region in which they arrive.
 *
 * Load pattern: a burst of requests with large bodies exceeds the room of a region's
 * upstreams. All traffic between regions shares one narrow link, on which each such
 * body delays many requests that have to cross it; the burst itself is over before
 * the bodies have crossed.
 */
import {BodySize} from '@dogwooddeck/directory/item';
import {Distance, type UpstreamCandidate} from './upstream-selection.js';

type Placed = Pick<UpstreamCandidate, 'distance'>;

const localCandidates: Readonly<Record<BodySize, <Candidate extends Placed>(candidates: readonly Candidate[]) => readonly Candidate[]>> = {
	[BodySize.ordinary]: candidates => candidates,
	[BodySize.large](candidates) {
		const near = candidates.filter(({distance}) => distance !== Distance.otherRegion);
		return near.length === 0 ? candidates : near;
	},
};

/** Returns the upstreams that a request with such a body may be sent to: large bodies leave the region only if none of its upstreams is available. */
export function keepLocal<Candidate extends Placed>(candidates: readonly Candidate[], size: BodySize): readonly Candidate[] {
	return localCandidates[size](candidates);
}
