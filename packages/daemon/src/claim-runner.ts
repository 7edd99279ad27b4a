/**
 * Runs the claims of non-idempotent operations: asks and answers as claimant
 * and as holder, and copies records when the seated instances change.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Seating} from '@dogwooddeck/control/state';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type Milliseconds, type MonotonicTime, sameInstance, type ServiceName,
} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	type ClaimAnswer, type ClaimDecision, type ClaimEnded, type ClaimRequest, operationText,
} from '@dogwooddeck/routing/claim';
import {
	createHolder, type HolderEffect, type HolderEvent, stepHolder,
} from '@dogwooddeck/routing/claim-holder';
import {claimHolders} from '@dogwooddeck/routing/claim-holders';
import {
	beginClaim, type ClaimantEffect, type ClaimantEvent, type ClaimantState, ClaimPhase, stepClaimant,
} from '@dogwooddeck/routing/claimant';
import {type TextHash} from '@dogwooddeck/routing/text-hash';
import {type OpenClaim} from '@dogwooddeck/upstream-client/request-path';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlHolder} from './control-holder.js';

/** An operation that is to be claimed. */
export type ClaimWish = {
	readonly service: ServiceName;
	readonly key: string;
	readonly operationKey: string;
	readonly fingerprint: string;
	/** From now until nothing of the operation is in flight any more. */
	readonly runsForMilliseconds: Milliseconds;
};

/** The claims of this instance. */
export type ClaimRunner = {
	readonly claim: (wish: ClaimWish, decided: (decision: ClaimDecision) => void) => OpenClaim;
	/** Takes a message of another instance, as JSON. */
	readonly take: (body: string) => Result<string, Failure>;
	readonly stop: () => void;
};

/** How long a claim is remembered. */
export const claimLifetimeMilliseconds: Milliseconds = 3_600_000;
/** A seating that another followed may still be in use for this long: a lease, a deadline and the copying. */
const earlierSeatingMilliseconds: Milliseconds = 10_000;
const askMilliseconds: Milliseconds = 400;
const sweepMilliseconds: Milliseconds = 10_000;
const holderBounds = {records: 200_000, answerBytes: 16_777_216};

type Message = ClaimRequest | ClaimEnded;

function readMessage(body: string): Message | undefined {
	try {
		const message = JSON.parse(body) as Message;
		const known = message.kind === 'claim-request' || message.kind === 'claim-ended';
		return known && typeof message.operation?.operationKey === 'string' && typeof message.holder?.name === 'string'
			&& typeof message.token?.sequence === 'number'
			? message
			: undefined;
	} catch {
		return undefined;
	}
}

/** Starts the claims. */
export function startClaims(self: InstanceIdentity, control: ControlHolder, clients: PeerClients, hash: TextHash): ClaimRunner {
	let holder = createHolder(self, holderBounds);
	let sequence = 0;
	const replacedAt = new Map<number, MonotonicTime>();
	let newest: Seating | undefined;

	function addressOf(instance: InstanceIdentity): string | undefined {
		return Object.values(control.state().ownership.rosters)
			.flatMap(({members}) => members)
			.find(member => sameInstance(member, instance))?.peerAddress;
	}

	async function send(message: Message): Promise<ClaimAnswer | undefined> {
		if (sameInstance(message.holder, self)) {
			return takeAsHolder(message);
		}

		const address = addressOf(message.holder);
		if (address === undefined) {
			return undefined;
		}

		const answer = await clients.call(address, 'claim', JSON.stringify(message), askMilliseconds);
		return answer.isOk && answer.value !== '' ? JSON.parse(answer.value) as ClaimAnswer : undefined;
	}

	async function copy(message: Message): Promise<void> {
		const answer = await send(message);
		if (answer !== undefined) {
			stepAsHolder({kind: 'swept', now: monotonicNow()});
		}
	}

	let holderAnswer: ClaimAnswer | undefined;
	const holderEffects: HandlerTable<HolderEffect, [], void> = {
		answer({answer}) {
			holderAnswer = answer;
		},
		send({message}) {
			void copy(message);
		},
	};

	function stepAsHolder(event: HolderEvent): void {
		const next = stepHolder(holder, event);
		holder = next.state;
		for (const effect of next.effects) {
			dispatch(holderEffects, effect);
		}
	}

	function takeAsHolder(message: Message): ClaimAnswer | undefined {
		holderAnswer = undefined;
		stepAsHolder({kind: 'message', now: monotonicNow(), message});
		return holderAnswer;
	}

	function noteSeatings(): void {
		const {seatings} = control.state();
		const [current] = seatings;
		if (current === undefined || current.index === newest?.index) {
			return;
		}

		const now = monotonicNow();
		for (const {index} of seatings.slice(1)) {
			replacedAt.set(index, replacedAt.get(index) ?? now);
		}

		newest = current;
		stepAsHolder({
			kind: 'roster', now, roster: current, hash,
		});
	}

	function usableSeatings(now: MonotonicTime): readonly Seating[] {
		const [current, ...earlier] = control.state().seatings;
		const recent = earlier.filter(({index}) => now - (replacedAt.get(index) ?? now) < earlierSeatingMilliseconds);
		return current === undefined ? [] : [current, ...recent];
	}

	function claim(wish: ClaimWish, decided: (decision: ClaimDecision) => void): OpenClaim {
		const operation = {service: wish.service, key: wish.key, operationKey: wish.operationKey};
		const seatings = usableSeatings(monotonicNow());
		sequence += 1;
		let state: ClaimantState | undefined;

		async function ask(request: ClaimRequest): Promise<void> {
			const answer = await send(request);
			step(answer === undefined ? {kind: 'unreachable', holder: request.holder} : {kind: 'answered', answer});
		}

		const effects: HandlerTable<ClaimantEffect, [], void> = {
			ask({request}) {
				void ask(request);
			},
			tell({ended}) {
				void send(ended);
			},
			decide({decision}) {
				decided(decision);
			},
		};

		function carryOut(next: ReturnType<typeof stepClaimant>): void {
			state = next.state;
			for (const effect of next.effects) {
				dispatch(effects, effect);
			}
		}

		function step(event: ClaimantEvent): void {
			if (state !== undefined) {
				carryOut(stepClaimant(state, event));
			}
		}

		carryOut(beginClaim({
			operation,
			fingerprint: wish.fingerprint,
			token: {claimant: self, sequence},
			holders: claimHolders(seatings, operationText(operation), hash),
			rosterIndex: seatings[0]?.index ?? 0,
			runsForMilliseconds: wish.runsForMilliseconds,
			lifetimeMilliseconds: claimLifetimeMilliseconds,
		}));
		return {
			giveUp() {
				if (state?.phase === ClaimPhase.asking) {
					step({kind: 'given-up'});
				}
			},
			finished(outcome, answer) {
				step(answer === undefined ? {kind: 'finished', outcome} : {kind: 'finished', outcome, answer});
			},
		};
	}

	control.listen(noteSeatings);
	const sweeping = setInterval(() => {
		stepAsHolder({kind: 'swept', now: monotonicNow()});
	}, sweepMilliseconds);

	return {
		claim,
		take(body) {
			const message = readMessage(body);
			if (message === undefined) {
				return err(failure(FailureKind.malformed, 'the claim message can\'t be read'));
			}

			const answer = takeAsHolder(message);
			return ok(answer === undefined ? '' : JSON.stringify(answer));
		},
		stop() {
			clearInterval(sweeping);
		},
	};
}
