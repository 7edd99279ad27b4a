/**
 * The forms of the servers' answers. A server may be newer than the tool, so
 * fields that the tool doesn't know are let through.
 */
import {
	type ConfigurationAnswer, type HistoryAnswer, type MembersAnswer, type OwnersAnswer, type StatusAnswer,
} from '@dogwooddeck/configuration/messages';
import {contractSchema} from '@dogwooddeck/configuration/contract-schema';
import {type ConfigurationAccepted} from '@dogwooddeck/configuration/tree';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';

const optionalText = v.exactOptional(v.string());

/** The answer to `apply`. */
export const acceptedSchema: v.GenericSchema<unknown, ConfigurationAccepted> = v.looseObject({
	team: v.string(), operation: v.string(), revision: v.number(),
});

/** The answer to a write that is no `apply`. */
export const writeSchema: v.GenericSchema<unknown, {readonly operation: string}> = v.looseObject({operation: v.string()});

/** The answer to `get`. */
export const configurationSchema: v.GenericSchema<unknown, ConfigurationAnswer> = v.looseObject({
	team: v.string(), revision: v.number(), services: v.array(contractSchema),
});

/** The answer to `history`. */
export const historySchema: v.GenericSchema<unknown, HistoryAnswer> = v.looseObject({
	team: v.string(),
	entries: v.array(v.looseObject({
		revision: v.number(), operation: v.string(), author: v.string(), at: v.number(), summary: v.array(v.string()),
	})),
});

/** The answer to `owners`. */
export const ownersSchema = v.looseObject({
	service: v.string(),
	index: v.number(),
	owners: v.array(v.looseObject({
		slot: v.number(),
		phase: v.picklist(['vacant', 'granted', 'revoking']),
		key: optionalText,
		upstream: optionalText,
		incarnation: v.exactOptional(v.number()),
		zone: optionalText,
		fence: v.exactOptional(v.number()),
	})),
}) satisfies v.GenericSchema<unknown, OwnersAnswer>;

/** The answer to `status`. */
export const statusSchema: v.GenericSchema<unknown, StatusAnswer> = v.looseObject({
	instance: v.string(),
	incarnation: v.number(),
	region: v.string(),
	zone: v.string(),
	ready: v.boolean(),
	reason: v.string(),
	voter: v.boolean(),
	leader: optionalText,
	steward: optionalText,
	committed: v.number(),
	applied: v.number(),
	revisions: v.array(v.looseObject({team: v.string(), revision: v.number()})),
});

const placed = {
	name: v.string(), incarnation: v.number(), region: v.string(), zone: v.string(),
};

/** The answer to `members`. */
export const membersSchema: v.GenericSchema<unknown, MembersAnswer> = v.looseObject({
	instances: v.array(v.looseObject({
		...placed,
		peerAddress: v.string(),
		callerAddress: v.string(),
		operatorAddress: v.string(),
		applied: v.number(),
		alive: v.boolean(),
		voter: v.boolean(),
	})),
	upstreams: v.array(v.looseObject({
		...placed, service: v.string(), address: v.string(), phase: v.picklist(['serving', 'leaving', 'lost']),
	})),
});

/** Checks an answer's form. Fails with `internal`: the server broke its word. */
export function checkAnswer<Answer>(schema: v.GenericSchema<unknown, Answer>, body: unknown): Result<Answer, Failure> {
	const parsed = v.safeParse(schema, body);
	if (parsed.success) {
		return ok(parsed.output);
	}

	const [issue] = parsed.issues;
	return err(failure(FailureKind.internal, `the server's answer has another form at "${v.getDotPath(issue) ?? ''}"`));
}
