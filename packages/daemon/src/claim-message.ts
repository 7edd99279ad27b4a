/**
 * Schemas and parsers of the messages, answers and reports about claims (exactly-once
 * records of operations) that other instances send.
 */
import {Outcome} from '@dogwooddeck/model/outcome';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type LogIndex} from '@dogwooddeck/model/identifiers';
import {type ClaimsView} from '@dogwooddeck/routing/claim-rosters';
import {
	type ClaimAnswer, type ClaimEnded, ClaimPurpose, type ClaimRequest, ClaimVerdict,
} from '@dogwooddeck/routing/claim';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';

/** A message to an instance that holds claims. */
export type ClaimMessage = ClaimRequest | ClaimEnded;

/** The report of an instance about the claims that it holds. */
export type ClaimReport = {
	/** The reporting instance: another incarnation may answer at the address of an earlier one. */
	readonly instance: InstanceIdentity;
	/** The index of the newest log entry that the instance has applied. */
	readonly applied: LogIndex;
	/** The index of the roster whose holders have acknowledged copies of all its records; 0 while acknowledgements are missing. */
	readonly copiedThrough: LogIndex;
};

/** The longest header field, and so the longest key, that Node.js accepts from a caller. */
const maximumCallerTextLength = 16_384;
const maximumNameLength = 128;

const name = v.pipe(v.string(), v.minLength(1), v.maxLength(maximumNameLength));
const callerText = v.pipe(v.string(), v.maxLength(maximumCallerTextLength));
const nonNegativeInteger = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const duration = v.pipe(v.number(), v.finite());
const identity = v.object({name, incarnation: nonNegativeInteger});
const operation = v.object({service: name, key: callerText, operationKey: callerText});
const token = v.object({claimant: identity, sequence: nonNegativeInteger});
const outcome = v.picklist(Object.values(Outcome));
const answer = v.exactOptional(v.object({
	status: v.pipe(nonNegativeInteger, v.minValue(100), v.maxValue(599)), headers: v.array(v.string()), body: v.string(),
}));

const status = v.variant('kind', [
	v.object({kind: v.literal('running'), remainingMilliseconds: duration}),
	v.object({kind: v.literal('ended'), outcome, answer}),
]);

const messageSchema = v.variant('kind', [
	v.object({
		kind: v.literal('claim-request'),
		purpose: v.picklist(Object.values(ClaimPurpose)),
		operation,
		fingerprint: name,
		token,
		holder: identity,
		rosterIndex: nonNegativeInteger,
		status,
		lifetimeMilliseconds: duration,
	}),
	v.object({
		kind: v.literal('claim-ended'), operation, token, holder: identity, outcome, answer,
	}),
]);

const answerFields = {
	kind: v.literal('claim-answer'), token, holder: identity, rosterIndex: nonNegativeInteger,
};

const {taken: _taken, ...verdictsWithoutStatus} = ClaimVerdict;

const answerSchema = v.variant('verdict', [
	v.object({...answerFields, verdict: v.literal(ClaimVerdict.taken), status}),
	v.object({...answerFields, verdict: v.picklist(Object.values(verdictsWithoutStatus))}),
]);

const seats = v.array(v.object({name, incarnation: nonNegativeInteger, zone: name}));
const reportSchema = v.object({instance: identity, applied: nonNegativeInteger, copiedThrough: nonNegativeInteger});
const viewSchema = v.object({
	newest: nonNegativeInteger, earlier: v.array(v.object({roster: v.object({index: nonNegativeInteger, seats}), unsettled: seats})),
});

function parseJson(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		return undefined;
	}
}

function parseMessage<Schema extends v.GenericSchema>(schema: Schema, body: string, subject: string): Result<v.InferOutput<Schema>, Failure> {
	const result = v.safeParse(schema, parseJson(body));
	return result.success
		? ok(result.output)
		: err(failure(FailureKind.malformed, `${subject} can't be read: ${v.getDotPath(result.issues[0]) ?? 'no object'}`));
}

/** Parses a message, as JSON. Fails with `malformed`. */
export function readClaimMessage(body: string): Result<ClaimMessage, Failure> {
	return parseMessage(messageSchema, body, 'the claim message');
}

/** Parses a holder's answer, as JSON. Fails with `malformed`. */
export function readClaimAnswer(body: string): Result<ClaimAnswer, Failure> {
	return parseMessage(answerSchema, body, 'the answer to a claim');
}

/** Parses an instance's report of the claims that it holds, as JSON. Fails with `malformed`. */
export function readClaimReport(body: string): Result<ClaimReport, Failure> {
	return parseMessage(reportSchema, body, 'the report of claims');
}

/** Parses the rosters by which an instance sends its requests, as JSON. Fails with `malformed`, also if the instance has no complete view. */
export function readClaimsView(body: string): Result<ClaimsView, Failure> {
	return parseMessage(viewSchema, body, 'the view of claims');
}
