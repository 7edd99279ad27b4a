/**
 * What the answers between instances may hold. A duration past its bound would
 * be a lease that never ends.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import {
	amount, type FieldCheck, list, message, optional, whole,
} from './field-check.js';
import {
	callerText, instanceIdentity, name, service, shareHolder,
} from './message-parts.js';
import {type PeerCall} from './methods.js';

const longestTermMilliseconds = 60_000;

const term = amount(longestTermMilliseconds);
const catchUp = message({entries: list(message({index: whole()})), state: optional(message({index: whole()}))});
const share = message({
	service, limit: name, caller: callerText, amount: amount(), validMilliseconds: amount(), holder: shareHolder, sequence: whole(),
});
const nothing = message({});

const checks: Readonly<Record<PeerCall, FieldCheck>> = {
	deliver: nothing,
	renewLease: message({
		steward: instanceIdentity,
		holdMilliseconds: term,
		controlMilliseconds: term,
		shares: list(share),
		catchUp: optional(catchUp),
		supportAskedAt: optional(amount()),
	}),
	support: message({supporter: instanceIdentity, applied: whole(), supported: optional(instanceIdentity)}),
	delegate: message({termMilliseconds: term, shares: list(share), catchUp: optional(catchUp)}),
	seat: message({catchUp: optional(catchUp)}),
	fetchState: catchUp,
	notify: nothing,
	propose: message({index: whole()}),
	joinVoters: nothing,
	claim: nothing,
	collect: nothing,
};

/** Checks the fields of a decoded answer. Fails with `malformed`, and names the first field that is wrong. */
export function checkAnswer(call: PeerCall, wire: unknown): Result<undefined, Failure> {
	const problem = checks[call](wire);
	return problem === undefined ? ok(undefined) : err(failure(FailureKind.malformed, `the answer to ${call}${problem}`));
}
