/** The strict check of a limit in trials: whether a window surely had more than the contract. */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type Sighting} from '@dogwooddeck/stand-in/watcher';

/** What the folders `limited` and `reserved` allow in one window. */
export const limit = 200;
/** The window of their limit. */
export const windowMilliseconds: Milliseconds = 10_000;

/** The most requests that were surely admitted within one window: sent after its start and answered before its end. */
export function mostInWindow(admitted: readonly Sighting[]): number {
	const inWindow = ({sentAt: from}: Sighting) => admitted.filter(({sentAt, endedAt}) => sentAt >= from && endedAt < from + windowMilliseconds);
	return Math.max(0, ...admitted.map(sighting => inWindow(sighting).length));
}
