/**
 * Simulates leaders, stewards, routers and upstreams under a seeded schedule of
 * faults and checks that no two upstreams work on the same key at the same time.
 */
import assert from 'node:assert/strict';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type LogIndex} from '@dogwooddeck/model/identifiers';
import {emptyReport} from '@dogwooddeck/model/lease';
import {Leadership} from './leadership.js';
import {Simulation} from './simulation.js';
import {
	Instance, type Plan, type Refusal, services, slotCount, Upstream, type SentRequest,
} from './actors.js';
import {stewardDueAt} from '@dogwooddeck/ownership/due';
import {createInFlightTracker} from '@dogwooddeck/ownership/drain';
import {
	applyLeaseAnswer, createLease, isHeld, mayStart, isRequestDue, recordLeaseRequest,
} from '@dogwooddeck/ownership/lease';
import {longestRequestDeadline} from '@dogwooddeck/ownership/policy';
import {createSteward, stepSteward} from '@dogwooddeck/ownership/steward';
import {type StewardEffect, type StewardEvent} from '@dogwooddeck/ownership/steward-state';
import {supportedCandidate} from '@dogwooddeck/ownership/support';
import {
	applyOwnership, assignmentOf, emptyOwnership, type OwnershipCommand, type OwnershipState, slotFor,
} from '@dogwooddeck/ownership/table';
import {defaultLeaseTerms as terms} from '@dogwooddeck/ownership/terms';

/** A simulated deployment. */
export class Schedule {
	readonly simulation: Simulation;
	readonly states: OwnershipState[] = [emptyOwnership];
	readonly instances: Instance[] = [];
	readonly upstreams: Upstream[] = [];
	readonly leadership: Leadership;
	readonly violations: string[] = [];
	readonly sentRequests: SentRequest[] = [];
	readonly refused: Refusal[] = [];
	/** The number of support renewals that were piggybacked on lease requests. */
	renewals = 0;
	/** The number of separate calls that requested support. */
	supportCalls = 0;
	readonly #active = new Map<string, SentRequest[]>();

	constructor(readonly plan: Plan) {
		this.simulation = new Simulation(plan.seed, plan.loss);
		for (const zone of plan.zones) {
			for (let number = 0; number < plan.perZone; number += 1) {
				this.#addInstance(zone, number);
			}

			this.upstreams.push(new Upstream(`${zone}-first`, zone, true), new Upstream(`${zone}-second`, zone, false));
		}

		this.leadership = new Leadership(this);
		for (const {service, whenCut} of services) {
			this.append({
				kind: 'serviceOpened', service, slots: slotCount, policy: {whenCut, longestDeadlineMilliseconds: plan.longestDeadlineMilliseconds},
			});
		}

		for (const instance of this.instances) {
			this.boot(instance);
		}
	}

	/** Appends a committed entry. A command that conflicts with the table changes nothing. */
	append(command: OwnershipCommand): void {
		const state = this.states.at(-1)!;
		this.states.push(applyOwnership(state, command, this.states.length).unwrapOr(state));
	}

	/** Starts the current incarnation of an instance with fresh state. */
	boot(instance: Instance): void {
		const now = this.simulation.now(instance);
		instance.record = {...instance.record, incarnation: instance.incarnation};
		instance.steward = createSteward(instance.record, now, terms);
		instance.lease = createLease(terms);
		instance.inFlightTracker = createInFlightTracker(terms);
		instance.applied = 0;
		instance.seatRequestedAt = -Infinity;
		instance.dueAt = -Infinity;
		this.#scheduleTick(instance);
		this.#generateRequests(instance);
	}

	/** Returns the upstream that a table names as an owner. */
	upstreamOf(name: string): Upstream {
		return this.upstreams.find(upstream => upstream.name === name)!;
	}

	run(until: number): this {
		this.simulation.runUntil(until);
		return this;
	}

	#addInstance(zone: string, number: number): void {
		const {random} = this.simulation;
		const drift = this.plan.driftRatio * ((2 * random()) - 1);
		const instance = new Instance(`${zone}${number}`, zone, {offset: random() * 1e6, rate: 1 + drift});
		instance.record = {
			name: instance.name, incarnation: 1, region: zone[0]!, zone, peerAddress: '', callerAddress: '', operatorAddress: '',
		};
		this.instances.push(instance);
	}

	#scheduleTick(instance: Instance): void {
		this.#tick(instance);
		this.simulation.afterIn(instance, 20 + (this.simulation.random() * 10), () => {
			this.#scheduleTick(instance);
		});
	}

	#tick(instance: Instance): void {
		const now = this.simulation.now(instance);
		const {dueAt} = instance;
		const wasSteward = instance.steward.electedAt !== undefined;
		const effects = this.#step(instance, {kind: 'ticked', now});
		const hasChanged = effects.length > 0 || wasSteward !== (instance.steward.electedAt !== undefined);
		assert.ok(now >= dueAt || !hasChanged, `a tick at ${now} had an effect before it was due at ${dueAt}`);
		this.#requestLease(instance, now);
		const seated = this.states[instance.applied]!.rosters[instance.zone]?.members
			.some(member => member.name === instance.name && member.incarnation === instance.incarnation);
		if (seated !== true && now - instance.seatRequestedAt > 400) {
			instance.seatRequestedAt = now;
			this.#requestSeat(instance);
		}
	}

	#catchUp(instance: Instance, applied: LogIndex): void {
		if (applied > instance.applied) {
			instance.applied = applied;
			this.#step(instance, {
				kind: 'tableChanged', now: this.simulation.now(instance), applied, table: this.states[applied]!,
			});
			this.#requestLease(instance, this.simulation.now(instance));
		}
	}

	#step(instance: Instance, event: StewardEvent): readonly StewardEffect[] {
		const {state, effects} = stepSteward(instance.steward, event);
		instance.steward = state;
		instance.dueAt = stewardDueAt(state, event.now);
		for (const effect of effects) {
			this.#carryOut(instance, effect);
		}

		return effects;
	}

	#carryOut(instance: Instance, effect: StewardEffect): void {
		if (effect.kind === 'askSupport') {
			this.supportCalls += 1;
			const to = this.instances.find(other => other.name === effect.to.name)!;
			this.simulation.call(instance, to, () => {
				const answers = this.#step(to, {kind: 'supportRequested', now: this.simulation.now(to), request: effect.request});
				return answers.find(answer => answer.kind === 'answerSupport')?.answer;
			}, answer => {
				this.#step(instance, {
					kind: 'supportAnswered', now: this.simulation.now(instance), sentAt: effect.sentAt, answer,
				});
			});
		} else if (effect.kind === 'askDelegation') {
			this.leadership.requestDelegation(instance, effect.request, (answer, applied) => {
				this.#step(instance, {
					kind: 'delegationAnswered', now: this.simulation.now(instance), sentAt: effect.sentAt, applied: effect.request.applied, answer,
				});
				this.#catchUp(instance, applied);
			});
		}
	}

	#requestLease(instance: Instance, now: number): void {
		const {applied} = instance;
		const drained = instance.inFlightTracker.drainedIndex(this.states[applied]!, applied, now);
		if (!isRequestDue(instance.lease, now, applied, drained)) {
			return;
		}

		instance.lease = recordLeaseRequest(instance.lease, {now, applied, drained});
		const steward = this.#stewardFor(instance, now);
		const sent = steward === instance ? [] : this.#step(instance, {kind: 'leaseSent', now, to: this.#recordedIdentity(instance, steward)});
		const renewal = sent.find(effect => effect.kind === 'renewSupport')?.renewal;
		this.renewals += renewal === undefined ? 0 : 1;
		const request = {
			instance: instance.record, applied, drained, report: emptyReport, ...(renewal && {supportRenewal: renewal}),
		};
		const handle = () => {
			const answers = this.#step(steward, {kind: 'leaseRequested', now: this.simulation.now(steward), request});
			const answer = answers.find(effect => effect.kind === 'answerLease')?.answer;
			return answer === undefined ? undefined : {answer, applied: steward.applied};
		};

		const onAnswer = (result: {readonly answer: Parameters<typeof applyLeaseAnswer>[1]['answer']; readonly applied: LogIndex}) => {
			instance.lease = applyLeaseAnswer(instance.lease, {sentAt: now, answer: result.answer});
			this.#step(instance, {kind: 'leaseAnswered', now: this.simulation.now(instance), answer: result.answer});
			this.#catchUp(instance, result.applied);
		};

		if (steward === instance) {
			onAnswer(handle()!);
		} else {
			this.simulation.call(instance, steward, handle, onAnswer);
		}
	}

	#stewardFor(instance: Instance, now: number): Instance {
		const name = supportedCandidate(instance.steward.supporter, now)?.name;
		const peers = this.instances.filter(other => other.zone === instance.zone);
		return peers.find(other => other.name === name) ?? this.simulation.pick(peers)!;
	}

	/** Returns the incarnation of a steward that an instance's table names. */
	#recordedIdentity(instance: Instance, {name, record}: Instance): InstanceIdentity {
		const members = this.states[instance.applied]!.rosters[instance.zone]?.members;
		return members?.find(member => member.name === name) ?? record;
	}

	#requestSeat(instance: Instance): void {
		this.leadership.requestSeat(instance, {instance: instance.record, applied: instance.applied}, applied => {
			this.#catchUp(instance, applied);
		});
	}

	/** Generates callers' requests to one instance. */
	#generateRequests(instance: Instance): void {
		this.#sendRequest(instance);
		this.simulation.afterIn(instance, 5 + (this.simulation.random() * 20), () => {
			this.#generateRequests(instance);
		});
	}

	#sendRequest(instance: Instance): void {
		const {service} = this.simulation.pick(services)!;
		const home = Math.floor(this.simulation.random() * slotCount);
		const key = `${service}/${home}/${Math.floor(this.simulation.random() * 2)}`;
		const table = this.states[instance.applied]!;
		const assignments = table.services[service];
		const assignment = assignments && assignmentOf(table, service, slotFor(assignments, home, key));
		if (assignment === undefined || assignment.phase === 'vacant') {
			return;
		}

		const upstream = this.upstreamOf(assignment.owner.name);
		const held = isHeld(table.policies[service]!, upstream.zone, instance.zone);
		if (mayStart(instance.lease, this.simulation.now(instance), assignment, held)) {
			this.#start(instance, key, {service, slot: assignment.slot, fence: assignment.fence}, upstream);
		} else {
			this.refused.push({
				at: this.simulation.time, zone: instance.zone, service, ownerZone: upstream.zone, kind: assignment.phase === 'granted' ? FailureKind.noLease : FailureKind.noOwner,
			});
		}
	}

	#start(instance: Instance, key: string, {service, slot, fence}: {service: string; slot: number; fence: number}, upstream: Upstream): void {
		const {simulation} = this;
		const now = simulation.now(instance);
		const deadline = longestRequestDeadline(this.states[instance.applied]!.policies[service]!) * (0.2 + (0.8 * simulation.random()));
		const tracked = instance.inFlightTracker.start(service, slot, fence, now, now + deadline);
		const sentRequest = {
			key, service, from: instance.zone, upstream, startedAt: simulation.time, until: simulation.time + (deadline / instance.clock.rate),
		};
		this.#checkExclusive(sentRequest);
		const {inFlightTracker} = instance;
		let hasEnded = false;
		const end = (finish: (of: typeof tracked) => void) => {
			if (!hasEnded) {
				hasEnded = true;
				finish(tracked);
			}
		};

		if (simulation.random() < 0.1) {
			simulation.afterIn(instance, simulation.random() * deadline, () => {
				end(inFlightTracker.abandon);
			});
		}

		simulation.afterIn(instance, deadline, () => {
			end(inFlightTracker.abandon);
		});
		const executionMilliseconds = simulation.random() < 0.03 ? deadline : simulation.random() * 40;
		simulation.send(instance, upstream, () => {
			this.#execute(sentRequest, fence, executionMilliseconds, () => {
				simulation.send(upstream, instance, () => {
					end(inFlightTracker.end);
				});
			});
		});
	}

	#execute(sentRequest: SentRequest, fence: number, executionMilliseconds: number, answer: () => void): void {
		const {upstream, key} = sentRequest;
		const highest = upstream.highestFence.get(key) ?? 0;
		if (upstream.checksFence && fence < highest) {
			return;
		}

		upstream.highestFence.set(key, Math.max(fence, highest));
		this.simulation.afterIn(upstream, executionMilliseconds, () => {
			sentRequest.until = Math.min(sentRequest.until, this.simulation.time);
			answer();
		});
	}

	#checkExclusive(sentRequest: SentRequest): void {
		const active = (this.#active.get(sentRequest.key) ?? []).filter(other => other.until > this.simulation.time);
		const conflict = active.find(other => other.upstream !== sentRequest.upstream);
		if (conflict !== undefined) {
			this.violations.push(`at ${sentRequest.startedAt} ${sentRequest.key} was sent from zone ${sentRequest.from} to ${sentRequest.upstream.name}, while `
				+ `${conflict.upstream.name} worked on it for zone ${conflict.from} from ${conflict.startedAt} until ${conflict.until}`);
		}

		active.push(sentRequest);
		this.#active.set(sentRequest.key, active);
		this.sentRequests.push(sentRequest);
	}
}
