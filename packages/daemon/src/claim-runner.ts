/**
 * Runs the claims of non-idempotent operations: carries messages between this
 * instance and the holders, and follows the seated instances.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance, type ServiceName,
} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	type ClaimAnswer, type ClaimDecision, type ClaimEnded, type ClaimRequest,
} from '@dogwooddeck/routing/claim';
import {
	type ClaimsEffect, type ClaimsEvent, createClaims, stepClaims,
} from '@dogwooddeck/routing/claims';
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

type Message = ClaimRequest | ClaimEnded;

/** How long a claim is remembered. */
export const claimLifetimeMilliseconds: Milliseconds = 3_600_000;
/** How long the holders before the last change of the seats are asked beside the present ones. */
const copyingMilliseconds: Milliseconds = 10_000;
/** After this long every instance that still holds a lease has applied an entry. */
const spreadMilliseconds: Milliseconds = 5000;
const askMilliseconds: Milliseconds = 400;
const copyPauses: readonly Milliseconds[] = [0, 500, 2000];
const sweepMilliseconds: Milliseconds = 1000;
const holderBounds = {records: 200_000, answerBytes: 16_777_216};

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

async function pause(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

/** Starts the claims. */
export function startClaims(self: InstanceIdentity, control: ControlHolder, clients: PeerClients, hash: TextHash): ClaimRunner {
	let state = createClaims({
		self, hash, bounds: holderBounds, lifetimeMilliseconds: claimLifetimeMilliseconds, copyingMilliseconds, rosters: [], rostersComplete: true, now: monotonicNow(),
	});
	const seenAt = new Map<LogIndex, MonotonicTime>();
	const deciding = new Map<number, (decision: ClaimDecision) => void>();
	let answer: ClaimAnswer | undefined;

	function addressOf(instance: InstanceIdentity): string | undefined {
		return Object.values(control.state().ownership.rosters)
			.flatMap(({members}) => members)
			.find(member => sameInstance(member, instance))?.peerAddress;
	}

	async function sendOnce(message: Message): Promise<ClaimAnswer | '' | undefined> {
		const address = addressOf(message.holder);
		const sent = address === undefined ? undefined : await clients.call(address, 'claim', JSON.stringify(message), askMilliseconds);
		if (sent === undefined || sent.isErr) {
			return undefined;
		}

		return sent.value === '' ? '' : JSON.parse(sent.value) as ClaimAnswer;
	}

	async function ask(request: ClaimRequest): Promise<void> {
		const received = await sendOnce(request);
		step(received === undefined || received === ''
			? {kind: 'unreachable', now: monotonicNow(), request}
			: {kind: 'answered', now: monotonicNow(), answer: received});
	}

	function noteCopied(message: Message): void {
		if (message.kind === 'claim-request') {
			step({kind: 'copied', now: monotonicNow(), request: message});
		}
	}

	/** Ends and copies are sent again until they arrive: later claims rest on them. */
	async function insist(message: Message): Promise<void> {
		for (const duration of copyPauses) {
			await pause(duration);
			if (await sendOnce(message) !== undefined) {
				noteCopied(message);
				return;
			}
		}
	}

	const effects: HandlerTable<ClaimsEffect, [], void> = {
		send({message}) {
			const isQuestion = message.kind === 'claim-request' && sameInstance(message.token.claimant, self) && state.open.has(message.token.sequence);
			void (isQuestion ? ask(message) : insist(message));
		},
		answer(effect) {
			answer = effect.answer;
		},
		decide({sequence, decision}) {
			const decided = deciding.get(sequence);
			deciding.delete(sequence);
			decided?.(decision);
		},
	};

	function step(event: ClaimsEvent): void {
		const next = stepClaims(state, event);
		state = next.state;
		for (const effect of next.effects) {
			dispatch(effects, effect);
		}
	}

	function followSeatings(): void {
		const now = monotonicNow();
		for (const roster of [...control.state().seatings].reverse()) {
			if (!seenAt.has(roster.index)) {
				seenAt.set(roster.index, now);
				step({kind: 'roster', now, roster});
			}
		}
	}

	function sweep(): void {
		const now = monotonicNow();
		const spread = [...seenAt].filter(([, at]) => now - at >= spreadMilliseconds).map(([index]) => index);
		step({kind: 'swept', now, acknowledged: Math.max(0, ...spread)});
	}

	function claim(wish: ClaimWish, decided: (decision: ClaimDecision) => void): OpenClaim {
		const sequence = state.sequence + 1;
		deciding.set(sequence, decided);
		step({
			kind: 'begun',
			now: monotonicNow(),
			operation: {service: wish.service, key: wish.key, operationKey: wish.operationKey},
			fingerprint: wish.fingerprint,
			runsForMilliseconds: wish.runsForMilliseconds,
		});
		return {
			giveUp() {
				deciding.delete(sequence);
				step({kind: 'given-up', now: monotonicNow(), sequence});
			},
			finished(outcome, stored) {
				step({
					kind: 'finished', now: monotonicNow(), sequence, outcome, ...(stored === undefined ? {} : {answer: stored}),
				});
			},
		};
	}

	control.listen(followSeatings);
	const sweeping = setInterval(sweep, sweepMilliseconds);

	return {
		claim,
		take(body) {
			const message = readMessage(body);
			if (message === undefined) {
				return err(failure(FailureKind.malformed, 'the claim message can\'t be read'));
			}

			answer = undefined;
			step({kind: 'message', now: monotonicNow(), message});
			const given = answer as ClaimAnswer | undefined;
			return ok(given === undefined ? '' : JSON.stringify(given));
		},
		stop() {
			clearInterval(sweeping);
		},
	};
}
