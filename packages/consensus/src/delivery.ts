/**
 * Messages that the transport has taken and not yet told the end of. What they
 * bring is not sent again meanwhile: copies would share the link with the first
 * one, and none might arrive.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';

/** A message with entries or a snapshot that is under way to a member. */
export type Delivery = {
	/** Tells it from all others of this voter. */
	readonly number: number;
	/** The first entry that it brings; 0 for a snapshot, which stands for all entries up to its index. */
	readonly first: LogIndex;
	readonly last: LogIndex;
	readonly characters: number;
};

/**
 * Messages go out beside others while they carry no more than this together:
 * what one HTTP/2 frame holds, so that a later one doesn't overtake an earlier one.
 */
export const windowCharacters = 16_384;

/** Whether a message may go out beside those that are under way. One of any length may go alone. */
export function hasRoom(underWay: readonly Delivery[], characters: number): boolean {
	return underWay.length === 0 || underWay.reduce((sum, delivery) => sum + delivery.characters, characters) <= windowCharacters;
}

/** Whether an entry that a member lacks is under way to it. */
export function isUnderWay(underWay: readonly Delivery[], index: LogIndex): boolean {
	return underWay.some(({first}) => index >= first);
}
