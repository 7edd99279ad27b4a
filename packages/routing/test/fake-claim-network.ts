/**
 * Simulated instances that claim operations over a network that loses, duplicates, delays
 * and reorders messages, while instances are lost, restart and apply rosters with delay.
 */
import {type InstanceIdentity} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {acknowledgedBy, type AppliedIndexes, recordApplied} from '@dogwooddeck/routing/applied-indexes';
import {
	type Operation, type ClaimEnded, ClaimPurpose, type ClaimRequest, type ClaimAnswer, type ClaimDecision, type ClaimRoster, type StoredAnswer,
} from '@dogwooddeck/routing/claim';
import {
	awaitedReports, type ClaimsEffect, type ClaimsEvent, type ClaimsState, claimsView, createClaims, stepClaims,
} from '@dogwooddeck/routing/claims';
import {copiedThrough} from '@dogwooddeck/routing/claim-holder';
import {type CopyReport} from '@dogwooddeck/routing/claim-rosters';
import {type TextHash} from '@dogwooddeck/routing/text-hash';

export const lifetimeMilliseconds = 60_000;
export const runsForMilliseconds = 1500;

/** One decision to run, and its outcome. */
export type Run = {
	readonly operation: string;
	readonly entry: string;
	readonly sequence: number;
	readonly at: number;
	outcome: Outcome | undefined;
	readonly answer: StoredAnswer;
};

type Packet = {readonly from: InstanceIdentity; readonly to: InstanceIdentity; readonly content: ClaimRequest | ClaimEnded | ClaimAnswer; readonly copyRequest?: ClaimRequest};
type Member = {
	claims: ClaimsState;
	applied: number;
	hasView: boolean;
	appliedIndexes: AppliedIndexes;
	readonly begun: Map<number, {readonly operation: string; readonly at: number; decided: boolean}>;
};

const seats = [
	{name: 'a', zone: 'noord-1'},
	{name: 'b', zone: 'noord-1'},
	{name: 'c', zone: 'noord-2'},
	{name: 'd', zone: 'noord-2'},
	{name: 'e', zone: 'zuid-1'},
	{name: 'f', zone: 'zuid-2'},
];

export class FakeClaimNetwork {
	now = 0;
	readonly runs: Run[] = [];
	readonly decisions: Array<{readonly entry: string; readonly operation: string; readonly decision: ClaimDecision}> = [];
	readonly rosters: ClaimRoster[];
	packets: Packet[] = [];
	readonly #members = new Map<string, Member>();
	readonly #hash: TextHash;
	#inside: ReadonlySet<string> = new Set();

	readonly #rostersAtStart: number;
	readonly #adoptsView: boolean;
	#reports: Array<{readonly to: InstanceIdentity; readonly report: CopyReport}> = [];

	/**
	 * `rostersAtStart`: how many of the newest rosters an instance has when it starts.
	 * `adoptsView`: whether it treats them as incomplete, and adopts the view of another instance.
	 */
	constructor(hash: TextHash, rostersAtStart = Infinity, adoptsView = false) {
		this.#adoptsView = adoptsView;
		this.#rostersAtStart = rostersAtStart;
		this.#hash = hash;
		this.rosters = [{index: 1, seats: seats.map(seat => ({...seat, incarnation: 1}))}];
		for (const seat of seats) {
			this.#start(seat.name, 1);
		}
	}

	/** The names of the running instances, sorted. */
	get live(): string[] {
		return [...this.#members.keys()].sort();
	}

	/** Partitions the instances of some zones from the others; an empty list heals the partition. */
	partition(zones: readonly string[]): void {
		this.#inside = new Set(seats.filter(({zone}) => zones.includes(zone)).map(({name}) => name));
	}

	isInside(name: string): boolean {
		return this.#inside.has(name);
	}

	begin(entry: string, operation: string): void {
		const member = this.#members.get(entry);
		if (member !== undefined) {
			member.begun.set(member.claims.sequence + 1, {operation, at: this.now, decided: false});
			this.#step(entry, {
				kind: 'begun', now: this.now, operation: operationOf(operation), fingerprint: 'same', runsForMilliseconds,
			});
		}
	}

	finish(run: Run, outcome: Outcome): void {
		const member = this.#members.get(run.entry);
		if (member?.begun.has(run.sequence) && run.outcome === undefined) {
			run.outcome = outcome;
			this.#step(run.entry, {
				kind: 'finished', now: this.now, sequence: run.sequence, outcome, ...(outcome === Outcome.ran ? {answer: run.answer} : {}),
			});
		}
	}

	/** Delivers a packet; with `keep` it stays in the network and is delivered again later. */
	deliver(position: number, keep = false): void {
		const packet = this.packets[position];
		if (packet === undefined) {
			return;
		}

		if (this.isInside(packet.from.name) !== this.isInside(packet.to.name)) {
			this.lose(position);
			return;
		}

		this.packets = keep ? this.packets : this.packets.filter(other => other !== packet);
		const member = this.#members.get(packet.to.name);
		if (member?.claims.self.incarnation !== packet.to.incarnation && packet.content.kind !== 'claim-request') {
			return;
		}

		if (member === undefined) {
			this.#unreachable(packet);
		} else if (packet.content.kind === 'claim-answer' && packet.copyRequest !== undefined) {
			this.#step(packet.to.name, {
				kind: 'copied', now: this.now, request: packet.copyRequest, verdict: packet.content.verdict,
			});
		} else if (packet.content.kind === 'claim-answer') {
			this.#step(packet.to.name, {kind: 'answered', now: this.now, answer: packet.content});
		} else {
			this.#step(packet.to.name, {kind: 'message', now: this.now, message: packet.content}, packet.from);
		}
	}

	lose(position: number): void {
		const packet = this.packets[position];
		if (packet !== undefined) {
			this.packets = this.packets.filter(other => other !== packet);
			this.#unreachable(packet);
		}
	}

	kill(name: string): void {
		this.#members.delete(name);
	}

	/** Adds a roster with a new incarnation of an instance and starts it; the others apply the roster later. */
	restart(name: string): void {
		const newest = this.rosters[0]!;
		const seat = seats.find(candidate => candidate.name === name)!;
		const incarnation = 1 + Math.max(0, ...this.rosters.flatMap(roster => roster.seats).filter(other => other.name === name).map(other => other.incarnation));
		this.rosters.unshift({index: newest.index + 1, seats: [...newest.seats.filter(other => other.name !== name), {...seat, incarnation}]});
		this.#start(name, incarnation);
	}

	/** Adds a roster without an instance. */
	unseat(name: string): void {
		const newest = this.rosters[0]!;
		if (newest.seats.length > 2) {
			this.rosters.unshift({index: newest.index + 1, seats: newest.seats.filter(other => other.name !== name)});
		}
	}

	/** Applies the next missing roster at an instance. */
	applyNextRoster(name: string): void {
		const member = this.#members.get(name);
		const next = this.rosters.findLast(roster => roster.index > (member?.applied ?? Number.POSITIVE_INFINITY));
		if (member !== undefined && next !== undefined) {
			member.applied = next.index;
			this.#step(name, {kind: 'roster', now: this.now, roster: next});
		}
	}

	/** Advances the clock: undecided claims past their time are given up, and every instance sweeps and requests reports. */
	advance(milliseconds: number): void {
		this.now += milliseconds;
		for (const name of this.live) {
			this.#giveUpExpired(name);
			this.#step(name, {kind: 'swept', now: this.now, acknowledged: this.#acknowledged(name)});
			this.#adoptView(name);
		}

		this.deliverReports();
		for (const name of this.live) {
			this.requestReports(name);
		}
	}

	/** Requests a copy report from every instance that one can reach, as the sweep does. The reports arrive later, by `deliverReports`. */
	requestReports(name: string): void {
		const claims = this.#members.get(name)?.claims;
		const requesterRosterIndex = claims?.rosters[0]?.roster.index ?? 0;
		for (const other of claims === undefined ? [] : this.#reachable(name)) {
			const {self, holder} = other.claims;
			this.#reports.push({to: claims!.self, report: {seat: self, requesterRosterIndex, copiedThrough: copiedThrough(holder)}});
		}
	}

	/** Delivers the requested reports. */
	deliverReports(): void {
		const reports = this.#reports;
		this.#reports = [];
		for (const {to, report} of reports) {
			if (this.#members.get(to.name)?.claims.self.incarnation === to.incarnation) {
				this.#step(to.name, {kind: 'copies-told', now: this.now, report});
			}
		}
	}

	/** The names of the instances whose copy reports one instance still needs. */
	missingReports(name: string): readonly string[] {
		return awaitedReports(this.#members.get(name)!.claims).map(seat => seat.name);
	}

	/** Delivers all packets in order. */
	settle(): void {
		while (this.packets.length > 0) {
			this.deliver(0);
		}
	}

	/** Queries the reachable instances for their applied index, as the sweep does. */
	#acknowledged(name: string): number {
		const member = this.#members.get(name)!;
		member.appliedIndexes = this.#reachable(name).reduce((spread, {claims, applied}) => recordApplied(spread, claims.self, applied), member.appliedIndexes);
		return acknowledgedBy(member.appliedIndexes, member.claims.rosters[0]!.roster);
	}

	/** An instance that has just started adopts the view of another one. */
	#adoptView(name: string): void {
		const member = this.#members.get(name)!;
		for (const other of this.#adoptsView && !member.hasView ? this.#reachable(name) : []) {
			const view = other === member ? undefined : claimsView(other.claims, this.now);
			if (!member.hasView && view?.newest === member.claims.rosters[0]!.roster.index) {
				member.hasView = true;
				this.#step(name, {kind: 'view-told', now: this.now, view});
			}
		}
	}

	#reachable(name: string): Member[] {
		return [...this.#members].filter(([other]) => this.isInside(other) === this.isInside(name)).map(([, other]) => other);
	}

	#giveUpExpired(name: string): void {
		for (const [sequence, claim] of this.#members.get(name)!.begun) {
			if (!claim.decided && this.now - claim.at >= runsForMilliseconds) {
				this.#step(name, {kind: 'given-up', now: this.now, sequence});
			}
		}
	}

	#start(name: string, incarnation: number): void {
		this.#members.set(name, {
			applied: this.rosters[0]!.index,
			hasView: false,
			appliedIndexes: new Map(),
			begun: new Map(),
			claims: createClaims({
				self: {name, incarnation},
				hash: this.#hash,
				bounds: {records: 1000, answerBytes: 10_000},
				lifetimeMilliseconds,
				rosters: this.rosters.slice(0, this.#rostersAtStart),
				rostersComplete: !this.#adoptsView || this.rosters.length <= this.#rostersAtStart,
				now: this.now,
			}),
		});
	}

	#unreachable(packet: Packet): void {
		const sender = this.#members.get(packet.from.name);
		if (packet.content.kind === 'claim-request' && sender?.claims.self.incarnation === packet.from.incarnation) {
			this.#step(packet.from.name, {kind: 'unreachable', now: this.now, request: packet.content});
		}
	}

	#step(name: string, event: ClaimsEvent, from?: InstanceIdentity): void {
		const member = this.#members.get(name)!;
		const {state, effects} = stepClaims(member.claims, event);
		member.claims = state;
		for (const effect of effects) {
			this.#applyEffect(name, effect, event, from);
		}
	}

	#applyEffect(name: string, effect: ClaimsEffect, event: ClaimsEvent, from: InstanceIdentity | undefined): void {
		const member = this.#members.get(name)!;
		if (effect.kind === 'decide') {
			this.#recordDecision(name, member, effect);
		} else if (effect.kind === 'send') {
			this.packets.push({from: member.claims.self, to: effect.message.holder, content: effect.message});
		} else {
			const isCopy = event.kind === 'message' && event.message.kind === 'claim-request' && event.message.purpose === ClaimPurpose.copy;
			this.packets.push({
				from: member.claims.self, to: from ?? effect.answer.token.claimant, content: effect.answer, ...(isCopy ? {copyRequest: event.message} : {}),
			});
		}
	}

	#recordDecision(name: string, member: Member, effect: Extract<ClaimsEffect, {kind: 'decide'}>): void {
		const claim = member.begun.get(effect.sequence)!;
		claim.decided = true;
		this.decisions.push({entry: name, operation: claim.operation, decision: effect.decision});
		if (effect.decision.kind === 'run') {
			this.runs.push({
				operation: claim.operation,
				entry: name,
				sequence: effect.sequence,
				at: this.now,
				outcome: undefined,
				answer: {status: 200, headers: [], body: `${claim.operation} ${this.runs.length}`},
			});
		}
	}
}

export function operationOf(operation: string): Operation {
	return {service: 'bermrand/booking', key: 'verge-1', operationKey: operation};
}
