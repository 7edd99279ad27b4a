/**
 * The calls between instances: for each, how its request and its answer are
 * translated between the model's types and protobuf.
 */
import {type ConsensusEnvelope, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {type CatchUp} from '@dogwooddeck/model/catch-up';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type LogIndex} from '@dogwooddeck/model/identifiers';
import {
	type DelegationAnswer, type DelegationRequest, type LeaseAnswer, type LeaseRequest, type Report, type SeatRequest, type SupportAnswer, type SupportRenewal, type SupportRequest,
} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {err, ok, type Result} from 'true-myth/result';
import type * as generated from './generated/peer.js';
import {envelopeFromWire, envelopeToWire} from './translate-consensus.js';

/** An answer that also brings its receiver up to date. */
export type WithCatchUp<Answer> = {readonly answer: Answer; readonly catchUp: CatchUp};

/** What each call takes and gives. */
export type PeerCalls = {
	deliver: {request: ConsensusEnvelope; answer: undefined};
	renewLease: {request: LeaseRequest; answer: WithCatchUp<LeaseAnswer>};
	support: {request: SupportRequest; answer: SupportAnswer};
	delegate: {request: DelegationRequest; answer: WithCatchUp<DelegationAnswer>};
	seat: {request: SeatRequest; answer: CatchUp};
	fetchState: {request: LogIndex; answer: CatchUp};
	notify: {request: LogIndex; answer: undefined};
	propose: {request: string; answer: {readonly index: LogIndex; readonly answer: string}};
	joinVoters: {request: VoterIdentity; answer: undefined};
	claim: {request: string; answer: string};
	collect: {request: string; answer: string};
};

/** The name of a call. */
export type PeerCall = keyof PeerCalls;

/** The four translations of one call. */
export type MethodCodec<Call extends PeerCall, WireRequest, WireAnswer> = {
	readonly requestToWire: (request: PeerCalls[Call]['request']) => WireRequest;
	readonly requestFromWire: (wire: WireRequest) => Result<PeerCalls[Call]['request'], Failure>;
	readonly answerToWire: (answer: PeerCalls[Call]['answer']) => WireAnswer;
	readonly answerFromWire: (wire: WireAnswer) => Result<PeerCalls[Call]['answer'], Failure>;
};

const missing = (part: string): Result<never, Failure> => err(failure(FailureKind.malformed, `the message lacks its ${part}`));

function identified(identity: InstanceIdentity | undefined): identity is InstanceIdentity {
	return identity !== undefined && identity.name !== '';
}

function recorded(record: InstanceRecord | undefined): record is InstanceRecord {
	return identified(record) && record.zone !== '' && record.region !== '' && record.peerAddress !== '';
}

const emptyWireReport: generated.Report = {
	announcements: [], evidence: [], slotLoads: [], keyLoads: [], demands: [],
};

function reportFrom(wire: generated.Report | undefined): Report {
	const report = wire ?? emptyWireReport;
	const evidence = report.evidence.filter(item => item.upstream !== undefined && item.seenBy !== undefined);
	return {...report, evidence: evidence as Report['evidence'], demands: report.demands as Report['demands']};
}

function reportTo(report: Report): generated.Report {
	return report;
}

function catchUpTo(catchUp: CatchUp): generated.CatchUp {
	return {entries: catchUp.entries, state: catchUp.state};
}

function catchUpFrom(wire: generated.CatchUp | undefined): CatchUp {
	const entries = wire?.entries ?? [];
	return wire?.state === undefined ? {entries} : {entries, state: wire.state};
}

const nothing = {
	answerToWire: (): generated.Empty => ({}),
	answerFromWire: (): Result<undefined, Failure> => ok(undefined),
};

const text = {
	requestToWire: (body: string): generated.ClaimMessage => ({body}),
	requestFromWire: (wire: generated.ClaimMessage): Result<string, Failure> => ok(wire.body),
	answerToWire: (body: string): generated.ClaimMessage => ({body}),
	answerFromWire: (wire: generated.ClaimMessage): Result<string, Failure> => ok(wire.body),
};

function renewalFrom(wire: generated.SupportRenewal | undefined): {readonly supportRenewal?: SupportRenewal} {
	return identified(wire?.steward) ? {supportRenewal: {steward: wire.steward, askedAt: wire.askedAt}} : {};
}

const renewLease: MethodCodec<'renewLease', generated.LeaseRequest, generated.LeaseAnswer> = {
	requestToWire: request => ({...request, report: reportTo(request.report), supportRenewal: request.supportRenewal}),
	requestFromWire: wire => recorded(wire.instance)
		? ok({
			instance: wire.instance,
			applied: wire.applied,
			drained: wire.drained,
			report: reportFrom(wire.report),
			...renewalFrom(wire.supportRenewal),
		})
		: missing('instance'),
	answerToWire: ({answer, catchUp}) => ({...answer, catchUp: catchUpTo(catchUp), supportAskedAt: answer.supportAskedAt}),
	answerFromWire(wire) {
		if (!identified(wire.steward)) {
			return missing('steward');
		}

		const {steward, holdMilliseconds, controlMilliseconds, shares, supportAskedAt} = wire;
		const answer = {
			steward, holdMilliseconds, controlMilliseconds, shares, ...(supportAskedAt !== undefined && {supportAskedAt}),
		};
		return ok({answer, catchUp: catchUpFrom(wire.catchUp)});
	},
};

const support: MethodCodec<'support', generated.SupportRequest, generated.SupportAnswer> = {
	requestToWire: request => request,
	requestFromWire: wire => identified(wire.candidate) && wire.zone !== ''
		? ok({zone: wire.zone, candidate: wire.candidate, applied: wire.applied})
		: missing('candidate'),
	answerToWire: answer => ({...answer, supported: answer.supported}),
	answerFromWire(wire) {
		if (!identified(wire.supporter)) {
			return missing('supporter');
		}

		const {granted, supporter, applied, supported} = wire;
		return ok({
			granted, supporter, applied, ...(identified(supported) ? {supported} : {}),
		});
	},
};

const delegate: MethodCodec<'delegate', generated.DelegationRequest, generated.DelegationAnswer> = {
	requestToWire: request => ({...request, report: reportTo(request.report), holders: request.holders ?? []}),
	requestFromWire: wire => identified(wire.steward) && wire.zone !== ''
		? ok({
			zone: wire.zone, steward: wire.steward, applied: wire.applied, drained: wire.drained, report: reportFrom(wire.report), holders: wire.holders,
		})
		: missing('steward'),
	answerToWire: ({answer, catchUp}) => ({...answer, catchUp: catchUpTo(catchUp)}),
	answerFromWire: wire => ok({
		answer: {termMilliseconds: wire.termMilliseconds, shares: wire.shares},
		catchUp: catchUpFrom(wire.catchUp),
	}),
};

const seat: MethodCodec<'seat', generated.SeatRequest, generated.SeatAnswer> = {
	requestToWire: request => ({...request, leaving: request.leaving ?? false}),
	requestFromWire: wire => recorded(wire.instance)
		? ok({instance: wire.instance, applied: wire.applied, leaving: wire.leaving})
		: missing('instance'),
	answerToWire: catchUp => ({catchUp: catchUpTo(catchUp)}),
	answerFromWire: wire => ok(catchUpFrom(wire.catchUp)),
};

const fetchState: MethodCodec<'fetchState', generated.CatchUpRequest, generated.CatchUp> = {
	requestToWire: applied => ({applied}),
	requestFromWire: wire => ok(wire.applied),
	answerToWire: catchUp => catchUpTo(catchUp),
	answerFromWire: wire => ok(catchUpFrom(wire)),
};

const propose: MethodCodec<'propose', generated.ProposeRequest, generated.ProposeAnswer> = {
	requestToWire: payload => ({payload}),
	requestFromWire: wire => ok(wire.payload),
	answerToWire: answer => answer,
	answerFromWire: wire => ok(wire),
};

const joinVoters: MethodCodec<'joinVoters', generated.JoinRequest, generated.Empty> = {
	requestToWire: joining => ({joining}),
	requestFromWire: wire => wire.joining === undefined || wire.joining.name === '' ? missing('voter') : ok(wire.joining),
	...nothing,
};

const collect: MethodCodec<'collect', generated.CollectRequest, generated.CollectAnswer> = {
	requestToWire: subject => ({subject}),
	requestFromWire: wire => ok(wire.subject),
	answerToWire: body => ({body}),
	answerFromWire: wire => ok(wire.body),
};

/** The translations of every call. */
export const methodCodecs = {
	deliver: {
		requestToWire: (envelope: ConsensusEnvelope) => envelopeToWire(envelope),
		requestFromWire: (wire: generated.ConsensusEnvelope) => envelopeFromWire(wire),
		...nothing,
	},
	renewLease,
	support,
	delegate,
	seat,
	fetchState,
	notify: {
		requestToWire: (applied: LogIndex): generated.Notice => ({applied}),
		requestFromWire: (wire: generated.Notice): Result<LogIndex, Failure> => ok(wire.applied),
		...nothing,
	},
	propose,
	joinVoters,
	claim: text,
	collect,
} as const;
