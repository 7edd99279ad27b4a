/**
 * Deadline of a request: the longest one that the contract allows, or a shorter one
 * from the caller's `dogwooddeck-deadline` header.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {HeaderName} from '@dogwooddeck/model/headers';
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type RequestHead} from './target.js';

const wholeMilliseconds = /^\d{1,9}$/v;

/** Returns the deadline of a request received at `now`. A header value that is no whole number of milliseconds counts as absent. */
export function deadlineOf(contract: ServiceContract, head: RequestHead, now: MonotonicTime): MonotonicTime {
	const requested = head.headers[HeaderName.deadline];
	const longest = contract.longestDeadlineMilliseconds;
	return now + (typeof requested === 'string' && wholeMilliseconds.test(requested) ? Math.min(Number(requested), longest) : longest);
}
