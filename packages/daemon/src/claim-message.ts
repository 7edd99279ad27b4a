/**
 * The form of the messages about claims that arrive from other instances.
 */
import {Outcome} from '@dogwooddeck/model/outcome';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type ClaimEnded, ClaimPurpose, type ClaimRequest} from '@dogwooddeck/routing/claim';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';

/** A message to a holder of claims. */
export type ClaimMessage = ClaimRequest | ClaimEnded;

/** The longest header field, and so the longest key, that Node.js takes from a caller. */
const longestCallerText = 16_384;
const longestName = 128;

const name = v.pipe(v.string(), v.minLength(1), v.maxLength(longestName));
const callerText = v.pipe(v.string(), v.maxLength(longestCallerText));
const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const duration = v.pipe(v.number(), v.finite());
const identity = v.object({name, incarnation: whole});
const operation = v.object({service: name, key: callerText, operationKey: callerText});
const token = v.object({claimant: identity, sequence: whole});
const outcome = v.picklist(Object.values(Outcome));
const answer = v.exactOptional(v.object({
	status: v.pipe(whole, v.minValue(100), v.maxValue(599)), headers: v.array(v.string()), body: v.string(),
}));

const messageSchema = v.variant('kind', [
	v.object({
		kind: v.literal('claim-request'),
		purpose: v.picklist(Object.values(ClaimPurpose)),
		operation,
		fingerprint: name,
		token,
		holder: identity,
		rosterIndex: whole,
		status: v.variant('kind', [
			v.object({kind: v.literal('running'), remainingMilliseconds: duration}),
			v.object({kind: v.literal('ended'), outcome, answer}),
		]),
		lifetimeMilliseconds: duration,
	}),
	v.object({
		kind: v.literal('claim-ended'), operation, token, holder: identity, outcome, answer,
	}),
]);

function parsed(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		return undefined;
	}
}

/** Reads a message, as JSON. Fails with `malformed`. */
export function readClaimMessage(body: string): Result<ClaimMessage, Failure> {
	const read = v.safeParse(messageSchema, parsed(body));
	return read.success
		? ok(read.output)
		: err(failure(FailureKind.malformed, `the claim message can't be read: ${v.getDotPath(read.issues[0]) ?? 'no object'}`));
}
