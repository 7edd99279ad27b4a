/**
 * How long a message of the replicated log may take.
 */
import {type ConsensusMessage, messageCharacters} from '@dogwooddeck/consensus/message';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** For a message that carries nothing: a later one has replaced it by then. */
const leastMilliseconds: Milliseconds = 1000;

/** A small part of a link between regions (3,750), which requests, streams and other members share. */
const slowestCharactersPerMillisecond = 100;

/** After this long a message is given up. A peer that is not there ends it sooner, by its connection. */
export function deliveryTimeout(message: ConsensusMessage): Milliseconds {
	return leastMilliseconds + Math.ceil(messageCharacters(message) / slowestCharactersPerMillisecond);
}
