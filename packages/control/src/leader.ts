/**
 * The state machine of the leader of control: it receives the reports of the
 * zones' stewards (their elected lease distributors) and at each tick proposes
 * the commands that the control state requires. Its own state is volatile: the
 * next leader starts with an empty one.
 */
import {contractsOf} from '@dogwooddeck/configuration/tree';
import {controlPart} from '@dogwooddeck/limits/reserve';
import {createSharing, grantLimitShares} from '@dogwooddeck/limits/sharing';
import {advanceWatch, createWatch} from '@dogwooddeck/membership/watch';
import {
	type InstanceIdentity, type Milliseconds, type MonotonicTime, type ServiceName,
} from '@dogwooddeck/model/identifiers';
import {
	type DelegationAnswer, type DelegationRequest, type Report, type SeatRequest,
} from '@dogwooddeck/model/lease';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {createGrantor, stepGrantor} from '@dogwooddeck/ownership/grantor';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {createLoad, receiveLoad} from '@dogwooddeck/placement/load';
import {placementPolicies} from '@dogwooddeck/placement/policy';
import {type ControlCommand} from './command.js';
import {demandedPart} from './limit-part.js';
import {type LeaderState} from './leader-state.js';
import {proposals} from './proposals.js';
import {type ControlState} from './state.js';

/** An input of the leader. `control` is the leader's control state with every committed entry applied. */
export type LeaderEvent =
	| {readonly kind: 'ticked'; readonly now: MonotonicTime; readonly control: ControlState}
	| {
		readonly kind: 'delegationRequested';
		readonly now: MonotonicTime;
		readonly quorumContactAt: MonotonicTime;
		readonly control: ControlState;
		readonly request: DelegationRequest;
	}
	| {readonly kind: 'seatRequested'; readonly now: MonotonicTime; readonly control: ControlState; readonly request: SeatRequest}
	/** The pending proposal was applied or rejected. */
	| {readonly kind: 'proposalEnded'; readonly now: MonotonicTime; readonly control: ControlState};

/** An effect for the caller of `stepLeader` to carry out. */
export type LeaderEffect =
	| {readonly kind: 'propose'; readonly commands: readonly ControlCommand[]}
	| {readonly kind: 'answerDelegation'; readonly answer: DelegationAnswer};

/** The next state of the leader and its effects. */
export type LeaderTransition = Transition<LeaderState, LeaderEffect>;

/** The timeout of a pending proposal. It is safe to propose again: duplicate commands are rejected when they are applied. */
export const proposalTimeoutMilliseconds: Milliseconds = 3000;

/** Creates the state of a leader that was elected now and has applied its whole log. */
export function createLeader(now: MonotonicTime, control: ControlState, terms: LeaseTerms, hash: SlotHash): LeaderState {
	return {
		hash,
		watch: createWatch(now),
		grantor: createGrantor(now, control.applied, terms),
		loads: {},
		placements: {},
		planningInputs: {},
		targets: {},
		seats: {},
		lastContacts: {},
		sharing: createSharing(now, contractsOf(control.configuration).map(({name}) => name)),
	};
}

type EventOf<Kind extends LeaderEvent['kind']> = Extract<LeaderEvent, {readonly kind: Kind}>;

function reportedServices({slotLoads, keyLoads, evidence}: Report): ReadonlySet<ServiceName> {
	return new Set([...slotLoads, ...keyLoads, ...evidence.map(({upstream}) => upstream)].map(({service}) => service));
}

/** Loads decay with the time since their last update, so a service that a report doesn't name needs no update. */
function receiveLoads(state: LeaderState, {now, control, request}: EventOf<'delegationRequested'>): LeaderState['loads'] {
	const region = control.ownership.rosters[request.zone]?.region;
	if (region === undefined) {
		return state.loads;
	}

	const report = {now, region, ...request.report};
	const reported = reportedServices(request.report);
	const loads = contractsOf(control.configuration).map(({name, weigh}) => {
		const timeConstantMilliseconds = placementPolicies[weigh].smoothingMilliseconds;
		const load = {...state.loads[name] ?? createLoad(name, timeConstantMilliseconds, now), timeConstantMilliseconds};
		return [name, reported.has(name) ? receiveLoad(load, report) : load] as const;
	});
	return Object.fromEntries(loads);
}

function answerDemands(state: LeaderState, {now, control, request}: EventOf<'delegationRequested'>) {
	const demanded = request.report.demands.map(demand => ({demand, part: demandedPart(control, demand, controlPart)}));
	return grantLimitShares(state.sharing, demanded, seatedInstances(control.ownership).length, now);
}

function recordContacts(state: LeaderState, instances: readonly InstanceIdentity[], now: MonotonicTime): LeaderState['lastContacts'] {
	return {...state.lastContacts, ...Object.fromEntries(instances.map(({name}) => [name, now]))};
}

function delegationRequested(event: EventOf<'delegationRequested'>, state: LeaderState): LeaderTransition {
	const {now, quorumContactAt, control, request} = event;
	const granted = stepGrantor(state.grantor, {
		kind: 'delegationRequested', now, quorumContactAt, table: control.ownership, request,
	});
	const watch = advanceWatch(state.watch, {
		kind: 'reportReceived', now, report: request.report, reporter: {zone: request.zone, instance: request.steward.name},
	}).state;
	const {state: sharing, shares} = answerDemands(state, event);
	return {
		state: {
			...state, sharing, grantor: granted.state, watch, loads: receiveLoads(state, event), lastContacts: recordContacts(state, request.holders ?? [], now),
		},
		effects: granted.effects.map(effect => ({...effect, answer: {...effect.answer, shares}})),
	};
}

function seatRequested({now, control, request}: EventOf<'seatRequested'>, state: LeaderState): LeaderTransition {
	const grantor = stepGrantor(state.grantor, {
		kind: 'seatRequested', now, table: control.ownership, request,
	}).state;
	return {
		state: {
			...state, grantor, seats: {...state.seats, [request.instance.name]: request}, lastContacts: recordContacts(state, [request.instance], now),
		},
		effects: [],
	};
}

function ticked({now, control}: EventOf<'ticked' | 'proposalEnded'>, state: LeaderState): LeaderTransition {
	const grantor = stepGrantor(state.grantor, {kind: 'tableChanged', now, table: control.ownership}).state;
	if (state.proposedAt !== undefined && now - state.proposedAt < proposalTimeoutMilliseconds) {
		return {state: {...state, grantor}, effects: []};
	}

	const next = proposals({...state, grantor}, control, now);
	return next.commands.length === 0
		? {state: next.state, effects: []}
		: {state: {...next.state, proposedAt: now}, effects: [{kind: 'propose', commands: next.commands}]};
}

function proposalEnded(event: EventOf<'proposalEnded'>, state: LeaderState): LeaderTransition {
	const {proposedAt: _proposedAt, ...rest} = state;
	return ticked(event, rest);
}

const handlers: HandlerTable<LeaderEvent, [LeaderState], LeaderTransition> = {
	ticked,
	delegationRequested,
	seatRequested,
	proposalEnded,
};

/** Returns the leader's next state and the effects of an event. */
export function stepLeader(state: LeaderState, event: LeaderEvent): LeaderTransition {
	return dispatch(handlers, event, state);
}
