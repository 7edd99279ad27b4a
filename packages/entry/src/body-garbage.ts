/**
 * Frees the pieces of bodies soon after they were copied.
 *
 * Each piece lies outside the heap, and the runtime collects such memory only once tens of megabytes of it have
 * gathered: as much as a small machine has beside the process. A collection of young objects frees them and takes
 * some milliseconds at most.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type Collect = (options: {readonly type: 'minor'}) => void;

/** The bytes of pieces between two collections. */
const collectAfterBytes = 4_194_304;

/** The pieces of all bodies that were received since the last collection. */
export class BodyGarbage {
	#bytes = 0;
	#collect: Collect | undefined;

	/** Counts a piece that is dropped or copied at once. */
	add(bytes: number): void {
		this.#bytes += bytes;
		if (this.#bytes >= collectAfterBytes) {
			this.#bytes = 0;
			this.#collect ??= findCollect();
			this.#collect({type: 'minor'});
		}
	}
}

/** The runtime gives the function only to contexts that are made under its flag. */
function findCollect(): Collect {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as Collect;
	setFlagsFromString('--no-expose-gc');
	return collect;
}
