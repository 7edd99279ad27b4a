/**
 * The operator API of an instance: its routes, and the authority that each requires.
 */
import {wallNow} from '@dogwooddeck/clock/monotonic';
import {
	type Authority, authorityOf, hashToken, requireOperator, requireTeam,
} from '@dogwooddeck/configuration/authority';
import {
	authorHeader, declareLostConfirmation, type ConfigurationAnswer, type HistoryAnswer, longestAuthor, type MemberAnswer, type MembersAnswer, type OwnerAnswer,
	type OwnersAnswer, parseApplyRequest, parseDrainRequest, parseMoveRequest, parseTokenRequest, parseZoneDeclareLostRequest, type StatusAnswer, type WriteAnswer,
} from '@dogwooddeck/configuration/messages';
import {revisionField} from '@dogwooddeck/configuration/field';
import {
	contractOf, type ConfigurationAccepted, type ConfigurationCommand, subtreeOf, teamOf,
} from '@dogwooddeck/configuration/tree';
import {type OperatorRequest} from '@dogwooddeck/control/command';
import {requireServedAgain} from '@dogwooddeck/control/served-again';
import {type ControlAccepted, type ControlState} from '@dogwooddeck/control/state';
import {type OperatorApi, type ApiHandler, type ApiRequest} from '@dogwooddeck/front/api';
import {upstreamOf, upstreamsOf} from '@dogwooddeck/membership/registry';
import {
	type Assignment, AssignmentPhase, assignmentsInUse, type PinnedKey,
} from '@dogwooddeck/model/assignment';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type OperationIdentifier, type TeamName} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {ReleaseReason} from '@dogwooddeck/ownership/command';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';

/** The status that an instance reports to another. */
export type MemberReport = {readonly applied: number; readonly voter: boolean};

const memberReport = v.object({applied: revisionField, voter: v.boolean()});

/** Parses the report of an instance, as JSON. Returns undefined if it is invalid, which is treated as no answer. */
export function parseMemberReport(text: string): MemberReport | undefined {
	try {
		const read = v.safeParse(memberReport, JSON.parse(text));
		return read.success ? read.output : undefined;
	} catch {
		return undefined;
	}
}

/** The collaborators of the operator API. */
export type OperatorApiDependencies = {
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly status: () => Omit<StatusAnswer, 'applied' | 'revisions'>;
	/** Requests the report of another instance; undefined if it can't be reached. */
	readonly requestMemberReport: (member: InstanceRecord) => Promise<MemberReport | undefined>;
	readonly announce: ApiHandler;
	readonly burn: ApiHandler;
};

type Permission = (state: ControlState, authority: Authority) => Result<Authority, Failure>;

const anyPermission: Permission = (_state, authority) => ok(authority);
const teamPermission = (team: TeamName): Permission => (_state, authority) => requireTeam(authority, team);

function authorize({token}: ApiRequest, state: ControlState, permission: Permission): Result<Authority, Failure> {
	return authorityOf(state.configuration, hashToken(token)).andThen(authority => permission(state, authority));
}

function requireQueryValue({query}: ApiRequest, name: string): Result<string, Failure> {
	const value = query[name];
	return value === undefined || value === '' ? err(failure(FailureKind.malformed, `the query lacks "${name}"`)) : ok(value);
}

function requireAuthor(author: string): Result<string, Failure> {
	return author.length > longestAuthor
		? err(failure(FailureKind.malformed, `"${authorHeader}" is longer than ${longestAuthor} characters`))
		: ok(author);
}

function ownerAnswer(state: ControlState, assignment: Assignment, pinned: readonly PinnedKey[]): OwnerAnswer {
	const key = pinned.find(({slot}) => slot === assignment.slot)?.key;
	const keyField = key === undefined ? {} : {key};
	if (assignment.phase === AssignmentPhase.vacant) {
		return {slot: assignment.slot, phase: assignment.phase, ...keyField};
	}

	const zone = upstreamOf(state.membership, assignment.owner)?.zone;
	return {
		slot: assignment.slot,
		phase: assignment.phase,
		upstream: assignment.owner.name,
		incarnation: assignment.owner.incarnation,
		fence: assignment.fence,
		...keyField,
		...(zone === undefined ? {} : {zone}),
	};
}

function ownersAnswer(state: ControlState, service: string): Result<OwnersAnswer, Failure> {
	const assignments = state.ownership.services[service];
	return assignments === undefined
		? err(failure(FailureKind.notFound, `there is no service ${service}`))
		: ok({
			service,
			index: state.applied,
			owners: assignmentsInUse(assignments, state.ownership.policies[service]?.slots ?? 0).map(assignment => ownerAnswer(state, assignment, assignments.pinned)),
		});
}

/** Creates the operator API. */
export function createOperatorApi(dependencies: OperatorApiDependencies): OperatorApi {
	const {holder, control} = dependencies;

	async function configure(command: ConfigurationCommand): Promise<Result<ConfigurationAccepted, Failure>> {
		const accepted = await control.submit(command);
		return accepted.andThen(({configuration}) => configuration === undefined
			? err(failure(FailureKind.internal, 'the change was accepted without an answer'))
			: ok(configuration));
	}

	async function submitCommand(operation: OperationIdentifier, command: OperatorRequest['command']): Promise<Result<WriteAnswer, Failure>> {
		const accepted: Result<ControlAccepted, Failure> = await control.submit({kind: 'operatorAsked', operation, command});
		return accepted.map(({index}) => ({operation, index}));
	}

	/** Creates a handler that parses the body, checks the authority that the request requires, and executes it. */
	function createWriteHandler<Read>(
		parse: (body: unknown) => Result<Read, Failure>,
		permission: (read: Read) => Permission,
		execute: (read: Read, request: ApiRequest) => Promise<Result<unknown, Failure>>,
	): ApiHandler {
		return async request => {
			const authenticated = authorize(request, holder.state(), anyPermission);
			const read = authenticated.andThen(() => parse(request.body));
			const allowed = read.andThen(body => authorize(request, holder.state(), permission(body)).map(() => body));
			return allowed.isOk ? execute(allowed.value, request) : err(allowed.error);
		};
	}

	function createReadHandler(name: string, team: (value: string) => TeamName, answer: (state: ControlState, value: string) => Result<unknown, Failure>): ApiHandler {
		return async request => {
			const state = holder.state();
			return authorize(request, state, anyPermission)
				.andThen(() => requireQueryValue(request, name))
				.andThen(value => authorize(request, state, teamPermission(team(value))).andThen(() => answer(state, value)));
		};
	}

	async function memberAnswer(member: InstanceRecord): Promise<MemberAnswer> {
		const report = await dependencies.requestMemberReport(member);
		return {
			...member, applied: report?.applied ?? 0, alive: report !== undefined, voter: report?.voter ?? false,
		};
	}

	async function members(request: ApiRequest): Promise<Result<unknown, Failure>> {
		const state = holder.state();
		const allowed = authorize(request, state, anyPermission);
		if (allowed.isErr) {
			return err(allowed.error);
		}

		const seated = seatedInstances(state.ownership);
		const answer: MembersAnswer = {
			instances: await Promise.all(seated.map(async member => memberAnswer(member))),
			upstreams: Object.keys(state.membership.services).flatMap(service => upstreamsOf(state.membership, service)),
		};
		return ok(answer);
	}

	function statusAnswer(state: ControlState): StatusAnswer {
		return {
			...dependencies.status(),
			applied: state.applied,
			revisions: state.configuration.teams.map(({team, revision}) => ({team, revision})),
		};
	}

	return {
		announce: dependencies.announce,
		apply: createWriteHandler(parseApplyRequest, ({team}) => teamPermission(team), async (read, {author}) => {
			const checked = requireAuthor(author).andThen(() => requireServedAgain(read.services));
			return checked.isErr
				? err(checked.error)
				: configure({
					kind: 'subtreeApplied', ...read, author, at: wallNow(),
				});
		}),
		token: createWriteHandler(parseTokenRequest, () => (_state, authority) => requireOperator(authority), async ({team, operation, token}) => configure({
			kind: 'tokenSet', team, operation, tokenHash: hashToken(token), at: wallNow(),
		})),
		move: createWriteHandler(parseMoveRequest, ({service}) => teamPermission(teamOf(service)), async ({operation, ...request}) => submitCommand(operation, {kind: 'moveWished', ...request})),
		drain: createWriteHandler(parseDrainRequest, ({service}) => teamPermission(teamOf(service)), async ({operation, ...request}) => submitCommand(operation, {kind: 'drainAsked', ...request})),
		zoneDeclareLost: createWriteHandler(parseZoneDeclareLostRequest, () => (_state, authority) => requireOperator(authority), async ({zone, operation, confirm}) =>
			confirm === declareLostConfirmation(zone)
				? submitCommand(operation, {kind: 'zoneReleased', zone, reason: ReleaseReason.declaredLost})
				: err(failure(FailureKind.malformed, `"confirm" must read: ${declareLostConfirmation(zone)}`))),
		configuration: createReadHandler('team', team => team, (state, team) => {
			const {revision, services} = subtreeOf(state.configuration, team);
			return ok<ConfigurationAnswer, Failure>({team, revision, services});
		}),
		history: createReadHandler('team', team => team, (state, team) => ok<HistoryAnswer, Failure>({team, entries: subtreeOf(state.configuration, team).history})),
		owners: createReadHandler('service', teamOf, (state, service) => contractOf(state.configuration, service) === undefined
			? err(failure(FailureKind.notFound, `there is no service ${service}`))
			: ownersAnswer(state, service)),
		async status(request) {
			const state = holder.state();
			return authorize(request, state, anyPermission).map(() => statusAnswer(state));
		},
		members,
		async burn(request) {
			const allowed = authorize(request, holder.state(), anyPermission);
			return allowed.isOk ? dependencies.burn(request) : err(allowed.error);
		},
	};
}
