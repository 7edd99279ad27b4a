/**
 * How a failure is written as `application/problem+json` (RFC 9457), and read back.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import * as v from 'valibot';

/** The media type of a failure's body. */
export const problemMediaType = 'application/problem+json';

/** The HTTP status of each kind of failure. */
export const statusOfKind: Readonly<Record<FailureKind, number>> = {
	[FailureKind.malformed]: 400,
	[FailureKind.tooLarge]: 413,
	[FailureKind.unauthenticated]: 401,
	[FailureKind.forbidden]: 403,
	[FailureKind.notFound]: 404,
	[FailureKind.conflict]: 409,
	[FailureKind.settingsInvalid]: 422,
	[FailureKind.unitUndeclared]: 422,
	[FailureKind.noQuorum]: 503,
	[FailureKind.notLeader]: 421,
	[FailureKind.outcomeUnknown]: 504,
	[FailureKind.noOwner]: 503,
	[FailureKind.noLease]: 503,
	[FailureKind.limitReached]: 429,
	[FailureKind.overloaded]: 503,
	[FailureKind.deadlineExceeded]: 504,
	[FailureKind.upstreamFailed]: 502,
	[FailureKind.duplicate]: 409,
	[FailureKind.claimUnavailable]: 503,
	[FailureKind.notReady]: 503,
	[FailureKind.superseded]: 409,
	[FailureKind.storageDamaged]: 500,
	[FailureKind.storageFailed]: 500,
	[FailureKind.unreachable]: 502,
	[FailureKind.internal]: 500,
};

/** The body of an answer that tells of a failure. */
export type Problem = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly kind: FailureKind;
	readonly winningRevision?: number;
	readonly problems?: Failure['problems'];
	readonly retryAfterMilliseconds?: number;
	readonly leader?: string;
};

/** The body that tells of a failure. Where on a disk damage is stays in the log. */
export function problemOfFailure({kind, detail, location: _location, ...more}: Failure): Problem {
	return {
		type: `urn:dogwooddeck:failure:${kind}`,
		title: kind.replaceAll('-', ' '),
		status: statusOfKind[kind],
		detail,
		kind,
		...more,
	};
}

const problemSchema = v.object({
	kind: v.picklist(Object.values(FailureKind)),
	detail: v.string(),
	winningRevision: v.exactOptional(v.number()),
	problems: v.exactOptional(v.array(v.object({file: v.string(), path: v.string(), reason: v.string()}))),
	retryAfterMilliseconds: v.exactOptional(v.number()),
	leader: v.exactOptional(v.string()),
});

const kindOfForeignStatus: Readonly<Record<number, FailureKind>> = {
	401: FailureKind.unauthenticated,
	403: FailureKind.forbidden,
	404: FailureKind.notFound,
	409: FailureKind.conflict,
	413: FailureKind.tooLarge,
	429: FailureKind.limitReached,
	503: FailureKind.notReady,
};

/** The failure that an answer tells of. A body of another form gives a failure by its status. */
export function failureOfProblem(status: number, body: unknown): Failure {
	const parsed = v.safeParse(problemSchema, body);
	return parsed.success
		? parsed.output
		: failure(kindOfForeignStatus[status] ?? FailureKind.internal, `the server answered with status ${status} and no problem body`);
}
