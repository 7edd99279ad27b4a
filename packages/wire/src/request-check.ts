/**
 * What the requests between instances may hold. The bounds are those of the
 * settings and of the operators' surface, so that nothing which was taken
 * there is refused here.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import {
	amount, type FieldCheck, formed, list, message, optional, text, whole,
} from './field-check.js';
import {
	callerText, instanceIdentity, name, service, shareHolder,
} from './message-parts.js';
import {type PeerCall} from './methods.js';

/** The longest payload of a proposal: several times the largest body of the operators' surface. */
const longestPayload = 16_777_216;
const longestSubject = 64;
const longestKind = 64;
const largestSlot = 131_072;

const upstreamName = formed(/^[\w.:\-]{1,128}$/v, 'the name of an upstream');
const address = formed(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'an address');
const divider = formed(/^(?:control|zone)$/v, 'a divider of limits');
const folder = formed(/^[\w\-]{1,64}$/v, 'the identity of a folder');

const voterIdentity = message({name, folder});
const voterSet = message({voters: list(voterIdentity), learners: list(voterIdentity)});
const logEntry = message({
	index: whole(), term: whole(), kind: text(longestKind), voterSet: optional(voterSet),
});
const envelope = message({
	from: voterIdentity,
	to: voterIdentity,
	kind: text(longestKind),
	term: whole(),
	lastIndex: whole(),
	lastTerm: whole(),
	previousIndex: whole(),
	previousTerm: whole(),
	entries: list(logEntry),
	committed: whole(),
	round: whole(),
	index: whole(),
	snapshot: optional(message({index: whole(), term: whole(), voterSet: optional(voterSet)})),
});

const instanceRecord = message({
	name, incarnation: whole(), region: name, zone: name, peerAddress: address, callerAddress: address, operatorAddress: address,
});
const announcement = message({
	service, name: upstreamName, incarnation: whole(), region: name, zone: name, address, load: amount(1),
});
const evidence = message({
	upstream: message({service, name: upstreamName, incarnation: whole()}),
	answered: whole(),
	failed: whole(),
	timedOut: whole(),
	shed: whole(),
	inFlight: whole(),
	meanLatencyMilliseconds: amount(),
	seenBy: instanceIdentity,
});
const demand = message({
	service, limit: name, caller: callerText, divider, wanted: amount(), holder: shareHolder, sequence: whole(), held: amount(), usable: amount(),
});
const report = message({
	announcements: list(announcement),
	evidence: list(evidence),
	slotLoads: list(message({service, slot: whole(largestSlot), requests: whole()})),
	keyLoads: list(message({service, key: callerText, requests: whole()})),
	demands: list(demand),
});

const supportRenewal = message({steward: instanceIdentity, askedAt: amount()});

const checks: Readonly<Record<PeerCall, FieldCheck>> = {
	deliver: envelope,
	renewLease: message({
		instance: instanceRecord, applied: whole(), drained: whole(), report: optional(report), supportRenewal: optional(supportRenewal),
	}),
	support: message({zone: name, candidate: instanceIdentity, applied: whole()}),
	delegate: message({
		zone: name, steward: instanceIdentity, applied: whole(), drained: whole(), report: optional(report), holders: list(instanceIdentity),
	}),
	seat: message({instance: instanceRecord, applied: whole()}),
	fetchState: message({applied: whole()}),
	notify: message({applied: whole()}),
	propose: message({payload: text(longestPayload)}),
	joinVoters: message({joining: voterIdentity}),
	claim: message({body: text(Number.MAX_SAFE_INTEGER)}),
	collect: message({subject: text(longestSubject)}),
};

/** Checks the fields of a decoded request. Fails with `malformed`, and names the first field that is wrong. */
export function checkRequest(call: PeerCall, wire: unknown): Result<undefined, Failure> {
	const problem = checks[call](wire);
	return problem === undefined ? ok(undefined) : err(failure(FailureKind.malformed, `${call}${problem}`));
}
