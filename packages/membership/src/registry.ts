/**
 * The replicated registry of upstreams: which upstreams announced themselves,
 * with which incarnation, and which phase they are in. The state is JSON and is
 * never mutated.
 */
import {
	type Failure, FailureKind, failure,
} from '@dogwooddeck/model/failure';
import {
	type Incarnation, type LogIndex, type Milliseconds, type ServiceName, type UpstreamIdentity, type UpstreamName,
} from '@dogwooddeck/model/identifiers';
import {type Announcement, UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {err, ok, type Result} from 'true-myth/result';

/** The number of tombstones kept for each service. A tombstone keeps a removed incarnation from joining again. */
export const tombstonesPerService = 4096;

/** The last incarnation of an upstream whose record was removed. */
export type Tombstone = {
	readonly incarnation: Incarnation;
	/** The index of the log entry that removed the record. */
	readonly forgottenAt: LogIndex;
};

/** The upstreams of one service. */
export type ServiceMembership = {
	readonly upstreams: Readonly<Record<UpstreamName, UpstreamRecord>>;
	readonly tombstones: Readonly<Record<UpstreamName, Tombstone>>;
};

/** The registry of all services. */
export type MembershipState = {
	readonly services: Readonly<Record<ServiceName, ServiceMembership>>;
};

/** A command of the replicated log that changes the registry. */
export type MembershipCommand =
	/** An upstream announced itself with an incarnation that isn't in the registry. */
	| {readonly kind: 'upstreamJoined'; readonly record: UpstreamRecord}
	| {
		readonly kind: 'upstreamPhaseChanged';
		readonly upstream: UpstreamIdentity;
		readonly phase: UpstreamPhase;
		/** Set with `lost`: the time without contact before the verdict. */
		readonly silentMilliseconds?: Milliseconds;
	}
	/** Removes the record of an upstream that no longer serves. */
	| {readonly kind: 'upstreamForgotten'; readonly upstream: UpstreamIdentity};

/** The registry before the first log entry. */
export const emptyMembership: MembershipState = {services: {}};

const emptyService: ServiceMembership = {upstreams: {}, tombstones: {}};

/** Within one incarnation, the phase only advances. */
const phaseOrder: Readonly<Record<UpstreamPhase, number>> = {
	[UpstreamPhase.serving]: 0,
	[UpstreamPhase.leaving]: 1,
	[UpstreamPhase.lost]: 2,
};

function ownProperty<Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined {
	return Object.hasOwn(record, name) ? record[name] : undefined;
}

function without<Value>(record: Readonly<Record<string, Value>>, name: string): Readonly<Record<string, Value>> {
	return Object.fromEntries(Object.entries(record).filter(([key]) => key !== name));
}

function serviceOf(state: MembershipState, service: ServiceName): ServiceMembership {
	return ownProperty(state.services, service) ?? emptyService;
}

function withService(state: MembershipState, service: ServiceName, membership: ServiceMembership): MembershipState {
	return {services: {...state.services, [service]: membership}};
}

function withRecord(state: MembershipState, record: UpstreamRecord): MembershipState {
	const membership = serviceOf(state, record.service);
	return withService(state, record.service, {
		upstreams: {...membership.upstreams, [record.name]: record},
		tombstones: without(membership.tombstones, record.name),
	});
}

function superseded(upstream: UpstreamIdentity): Failure {
	return failure(
		FailureKind.superseded,
		`upstream ${upstream.name} of ${upstream.service} must announce itself with an incarnation after ${upstream.incarnation}`,
	);
}

/** Returns the records of a service's upstreams in all phases, sorted by name. */
export function upstreamsOf(state: MembershipState, service: ServiceName): readonly UpstreamRecord[] {
	const {upstreams} = serviceOf(state, service);
	return Object.keys(upstreams).sort().map(name => upstreams[name]!);
}

/** Returns the record of an upstream if its incarnation is the given one. */
export function upstreamOf(state: MembershipState, identity: UpstreamIdentity): UpstreamRecord | undefined {
	const record = ownProperty(serviceOf(state, identity.service).upstreams, identity.name);
	return record?.incarnation === identity.incarnation ? record : undefined;
}

/** Returns the latest incarnation admitted under a name, from its record or its tombstone. */
export function latestIncarnation(state: MembershipState, service: ServiceName, name: UpstreamName): Incarnation | undefined {
	const membership = serviceOf(state, service);
	return ownProperty(membership.upstreams, name)?.incarnation ?? ownProperty(membership.tombstones, name)?.incarnation;
}

/**
 * Checks whether an announcement may be accepted. Fails with `superseded` when
 * the upstream has a later incarnation or this one was declared lost: the
 * upstream must then announce itself with a later incarnation.
 */
export function checkAnnouncement(state: MembershipState, announcement: Announcement): Result<Announcement, Failure> {
	const {service, name, incarnation} = announcement;
	const latest = latestIncarnation(state, service, name);
	const record = upstreamOf(state, {service, name, incarnation});
	const isRegistered = record !== undefined && record.phase !== UpstreamPhase.lost;
	return latest === undefined || incarnation > latest || isRegistered ? ok(announcement) : err(superseded({service, name, incarnation: latest}));
}

function join(state: MembershipState, record: UpstreamRecord): Result<MembershipState, Failure> {
	if (record.phase === UpstreamPhase.lost) {
		return err(failure(FailureKind.malformed, `upstream ${record.name} can't join as lost`));
	}

	const latest = latestIncarnation(state, record.service, record.name);
	if (latest === undefined || record.incarnation > latest) {
		return ok(withRecord(state, record));
	}

	const current = upstreamOf(state, record);
	const isSameIncarnation = current !== undefined && current.phase !== UpstreamPhase.lost && current.address === record.address;
	return isSameIncarnation ? ok(state) : err(superseded({service: record.service, name: record.name, incarnation: latest}));
}

function findRecord(state: MembershipState, upstream: UpstreamIdentity): Result<UpstreamRecord, Failure> {
	const record = upstreamOf(state, upstream);
	if (record !== undefined) {
		return ok(record);
	}

	const latest = latestIncarnation(state, upstream.service, upstream.name);
	return latest !== undefined && latest >= upstream.incarnation
		? err(superseded({...upstream, incarnation: latest}))
		: err(failure(FailureKind.notFound, `no upstream ${upstream.name} of ${upstream.service} with incarnation ${upstream.incarnation}`));
}

type PhaseChange = Extract<MembershipCommand, {readonly kind: 'upstreamPhaseChanged'}>;

function changePhase(state: MembershipState, record: UpstreamRecord, {phase, silentMilliseconds}: PhaseChange): Result<MembershipState, Failure> {
	if (phaseOrder[phase] < phaseOrder[record.phase]) {
		return err(superseded(record));
	}

	const timeWithoutContact = silentMilliseconds === undefined ? {} : {silentMilliseconds};
	return ok(phase === record.phase ? state : withRecord(state, {...record, phase, ...timeWithoutContact}));
}

function boundTombstones(tombstones: Readonly<Record<UpstreamName, Tombstone>>): Readonly<Record<UpstreamName, Tombstone>> {
	const entries = Object.entries(tombstones);
	return entries.length <= tombstonesPerService
		? tombstones
		: Object.fromEntries(entries.sort(([, one], [, other]) => other.forgottenAt - one.forgottenAt).slice(0, tombstonesPerService));
}

function forget(state: MembershipState, record: UpstreamRecord, index: LogIndex): Result<MembershipState, Failure> {
	if (record.phase === UpstreamPhase.serving) {
		return err(failure(FailureKind.conflict, `upstream ${record.name} of ${record.service} is serving`));
	}

	const membership = serviceOf(state, record.service);
	const tombstone: Tombstone = {incarnation: record.incarnation, forgottenAt: index};
	return ok(withService(state, record.service, {
		upstreams: without(membership.upstreams, record.name),
		tombstones: boundTombstones({...membership.tombstones, [record.name]: tombstone}),
	}));
}

const handlers: HandlerTable<MembershipCommand, [MembershipState, LogIndex], Result<MembershipState, Failure>> = {
	upstreamJoined: ({record}, state) => join(state, record),
	upstreamPhaseChanged: (change, state) => findRecord(state, change.upstream).andThen(record => changePhase(state, record, change)),
	upstreamForgotten: ({upstream}, state, index) => findRecord(state, upstream).andThen(record => forget(state, record, index)),
};

/**
 * Applies a command of the log entry at `index`. Commands are idempotent. Fails
 * with `superseded` for an older or lost incarnation, `notFound`, `malformed`,
 * and `conflict` for forgetting an upstream that is serving.
 */
export function applyMembership(state: MembershipState, command: MembershipCommand, index: LogIndex): Result<MembershipState, Failure> {
	return dispatch(handlers, command, state, index);
}
