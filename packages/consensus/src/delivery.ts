/**
 * Flow control of replication: the messages that the transport has accepted and
 * whose outcome it has not reported yet. Their content is not sent again in the
 * meantime: copies would share the link with the original, and none might arrive.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';

/** An in-flight message with entries or a snapshot. */
export type Delivery = {
	/** Unique among the messages of this voter. */
	readonly number: number;
	/** The index of the first entry in the message; 0 for a snapshot, which replaces all entries up to its index. */
	readonly first: LogIndex;
	readonly last: LogIndex;
	readonly characters: number;
};

/**
 * The most characters that concurrent in-flight messages to a member carry together:
 * the size of one HTTP/2 frame, so that a later message doesn't overtake an earlier one.
 */
export const inFlightWindowCharacters = 16_384;

/** Whether the window has room for another message. A message of any length may be sent alone. */
export function hasWindowRoom(inFlight: readonly Delivery[], characters: number): boolean {
	return inFlight.length === 0 || inFlight.reduce((sum, delivery) => sum + delivery.characters, characters) <= inFlightWindowCharacters;
}

/** Whether an entry that a member lacks is in flight to it. */
export function isInFlight(inFlight: readonly Delivery[], index: LogIndex): boolean {
	return inFlight.some(({first}) => index >= first);
}
