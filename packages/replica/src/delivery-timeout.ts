/**
 * The timeout for sending a message of the replicated log.
 */
import {type ConsensusMessage, messageCharacters} from '@dogwooddeck/consensus/message';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** The timeout of a message without content: a later one has replaced it by then. */
const minimumMilliseconds: Milliseconds = 1000;

/** A small part of the capacity of a link between regions (3,750), which requests, streams and other members share. */
const minimumCharactersPerMillisecond = 100;

/** The time after which a message is given up. If the peer is down, the connection fails sooner. */
export function deliveryTimeout(message: ConsensusMessage): Milliseconds {
	return minimumMilliseconds + Math.ceil(messageCharacters(message) / minimumCharactersPerMillisecond);
}
