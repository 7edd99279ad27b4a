/**
 * Coordinates the claims of one instance (exactly-once records of operations):
 * connects the forwarder, which waits for decisions, with the other instances,
 * which hold claims.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	type ClaimAnswer, type ClaimDecision, type ClaimEnded, ClaimPurpose, type ClaimRequest, type ClaimSeat, type Operation,
} from '@dogwooddeck/routing/claim';
import {copiedThrough} from '@dogwooddeck/routing/claim-holder';
import {type ClaimsView} from '@dogwooddeck/routing/claim-rosters';
import {
	awaitedReports, type ClaimsEffect, type ClaimsEvent, type ClaimsOptions, type ClaimsState, claimsView, createClaims, stepClaims,
} from '@dogwooddeck/routing/claims';
import {type Result} from 'true-myth';
import {type OpenClaim} from './request-path.js';

/** Sends messages to other instances. */
export type ClaimTransport = {
	/** Sends a request to its holder and returns the answer. Fails if the holder can't be reached in time. */
	ask(request: ClaimRequest): Promise<Result<ClaimAnswer, Failure>>;
	/** Notifies the holder that an operation ended, if the holder can be reached. */
	tell(ended: ClaimEnded): void;
};

/** The operation that a request claims. */
export type ClaimIntent = {
	readonly operation: Operation;
	readonly fingerprint: string;
	/** Time from now until no attempt of the operation is in flight. */
	readonly runsForMilliseconds: Milliseconds;
};

type TimedRosterEvent = Extract<ClaimsEvent, {readonly kind: 'roster' | 'rosters-missed' | 'view-told' | 'copies-told'}>;
type Timeless<Event> = Event extends unknown ? Omit<Event, 'now'> : never;

/** A change to the rosters or a report about their holders. */
export type ClaimRosterEvent = Timeless<TimedRosterEvent>;

/** The state of an instance's claims. */
export type ClaimState = {
	/** The log index of the newest roster received; 0 for none. */
	readonly newest: LogIndex;
	/** The log index of the roster whose holders have acknowledged copies of all records held here; 0 while some are missing. */
	readonly copiedThrough: LogIndex;
	/** The instances that have not reported whether their records are copied, while claims wait for the report. */
	readonly awaited: readonly ClaimSeat[];
	/** What a starting instance is sent; undefined while rosters may be missing. */
	readonly view: ClaimsView | undefined;
};

/** The claims of one instance. */
export type ClaimCoordinator = {
	/** Claims an operation and calls `decided` once. */
	claim(intent: ClaimIntent, decided: (decision: ClaimDecision) => void): OpenClaim;
	/** Handles a message from another instance; a request is answered synchronously. */
	receive(message: ClaimRequest | ClaimEnded): ClaimAnswer | undefined;
	/** Applies a roster change or a report about holders. */
	learn(event: ClaimRosterEvent): void;
	/** Returns the state of this instance's records and rosters for reporting to others. */
	standing(): ClaimState;
	/** Drops expired records. Every live instance has applied the log up to the entry `acknowledged`. */
	sweep(acknowledged: LogIndex): void;
};

class TransportedClaimCoordinator implements ClaimCoordinator {
	static readonly #effects: HandlerTable<ClaimsEffect, [TransportedClaimCoordinator], void> = {
		send(effect, coordinator) {
			void coordinator.#send(effect.message);
		},
		answer(effect, coordinator) {
			coordinator.#answer = effect.answer;
		},
		decide(effect, coordinator) {
			const decided = coordinator.#pendingDecisions.get(effect.sequence);
			coordinator.#pendingDecisions.delete(effect.sequence);
			decided?.(effect.decision);
		},
	};

	readonly #transport: ClaimTransport;
	readonly #now: () => MonotonicTime;
	readonly #pendingDecisions = new Map<number, (decision: ClaimDecision) => void>();
	#state: ClaimsState;
	#answer: ClaimAnswer | undefined;

	constructor(options: ClaimsOptions, transport: ClaimTransport, now: () => MonotonicTime) {
		this.#state = createClaims(options);
		this.#transport = transport;
		this.#now = now;
	}

	claim(intent: ClaimIntent, decided: (decision: ClaimDecision) => void): OpenClaim {
		const sequence = this.#state.sequence + 1;
		this.#pendingDecisions.set(sequence, decided);
		this.#step({kind: 'begun', now: this.#now(), ...intent});
		return {
			giveUp: () => {
				this.#pendingDecisions.delete(sequence);
				this.#step({kind: 'given-up', now: this.#now(), sequence});
			},
			finished: (outcome, answer) => {
				this.#step({
					kind: 'finished', now: this.#now(), sequence, outcome, ...(answer === undefined ? {} : {answer}),
				});
			},
		};
	}

	receive(message: ClaimRequest | ClaimEnded): ClaimAnswer | undefined {
		this.#answer = undefined;
		this.#step({kind: 'message', now: this.#now(), message});
		return this.#answer;
	}

	learn(event: ClaimRosterEvent): void {
		this.#step({...event, now: this.#now()});
	}

	standing(): ClaimState {
		const state = this.#state;
		return {
			newest: state.rosters[0]?.roster.index ?? 0,
			copiedThrough: copiedThrough(state.holder),
			awaited: awaitedReports(state),
			view: claimsView(state, this.#now()),
		};
	}

	sweep(acknowledged: LogIndex): void {
		this.#step({kind: 'swept', now: this.#now(), acknowledged});
	}

	#step(event: ClaimsEvent): void {
		const {state, effects} = stepClaims(this.#state, event);
		this.#state = state;
		for (const effect of effects) {
			dispatch(TransportedClaimCoordinator.#effects, effect, this);
		}
	}

	async #send(message: ClaimRequest | ClaimEnded): Promise<void> {
		if (message.kind === 'claim-ended') {
			this.#transport.tell(message);
			return;
		}

		const answer = await this.#transport.ask(message);
		const now = this.#now();
		if (answer.isErr) {
			this.#step({kind: 'unreachable', now, request: message});
		} else {
			this.#step(message.purpose === ClaimPurpose.copy
				? {
					kind: 'copied', now, request: message, verdict: answer.value.verdict,
				}
				: {kind: 'answered', now, answer: answer.value});
		}
	}
}

/** Creates the coordinator of an instance that has just started. */
export function createClaimCoordinator(options: ClaimsOptions, transport: ClaimTransport, now: () => MonotonicTime): ClaimCoordinator {
	return new TransportedClaimCoordinator(options, transport, now);
}
