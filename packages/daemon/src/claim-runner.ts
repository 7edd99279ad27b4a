/**
 * Runs the claims of non-idempotent operations: carries messages between this
 * instance and the holders, and follows the seated instances.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type ClaimEnded} from '@dogwooddeck/routing/claim';
import {type TextHash} from '@dogwooddeck/routing/text-hash';
import {type ClaimDesk, createClaimDesk} from '@dogwooddeck/upstream-client/claim-desk';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {err, ok, type Result} from 'true-myth/result';
import {type ClaimMessage, readClaimAnswer, readClaimMessage} from './claim-message.js';
import {type ControlHolder} from './control-holder.js';

/** The claims of this instance. */
export type ClaimRunner = {
	readonly claim: ClaimDesk['claim'];
	/** Takes a message of another instance, as JSON. */
	readonly take: (body: string) => Result<string, Failure>;
	readonly stop: () => void;
};

/** How long a claim is remembered. */
export const claimLifetimeMilliseconds: Milliseconds = 3_600_000;
/** How long the holders before the last change of the seats are asked beside the present ones. */
const copyingMilliseconds: Milliseconds = 10_000;
/** After this long every instance that still holds a lease has applied an entry. */
const spreadMilliseconds: Milliseconds = 5000;
const askMilliseconds: Milliseconds = 400;
const tellPauses: readonly Milliseconds[] = [0, 500, 2000];
const sweepMilliseconds: Milliseconds = 1000;
const holderBounds = {records: 200_000, answerBytes: 16_777_216};

/** Starts the claims. */
export function startClaims(self: InstanceIdentity, control: ControlHolder, clients: PeerClients, hash: TextHash): ClaimRunner {
	const seenAt = new Map<LogIndex, MonotonicTime>();

	function addressOf(instance: InstanceIdentity): string | undefined {
		return Object.values(control.state().ownership.rosters)
			.flatMap(({members}) => members)
			.find(member => sameInstance(member, instance))?.peerAddress;
	}

	async function send(message: ClaimMessage): Promise<Result<string, Failure>> {
		const address = addressOf(message.holder);
		return address === undefined
			? err(failure(FailureKind.unreachable, `${message.holder.name} is not seated any more`))
			: clients.call(address, 'claim', JSON.stringify(message), askMilliseconds);
	}

	/** Ends are sent again until they arrive: resends rest on them. */
	async function insist(ended: ClaimEnded): Promise<void> {
		for (const duration of tellPauses) {
			await pause(duration);
			const told = await send(ended);
			if (told.isOk) {
				return;
			}
		}
	}

	const desk = createClaimDesk({
		self, hash, bounds: holderBounds, lifetimeMilliseconds: claimLifetimeMilliseconds, copyingMilliseconds, rosters: [], rostersComplete: true, now: monotonicNow(),
	}, {
		async ask(request) {
			const answer = await send(request);
			return answer.andThen(text => readClaimAnswer(text));
		},
		tell(ended) {
			void insist(ended);
		},
	}, monotonicNow);

	function followSeatings(): void {
		const now = monotonicNow();
		for (const roster of [...control.state().seatings].reverse()) {
			if (!seenAt.has(roster.index)) {
				seenAt.set(roster.index, now);
				desk.rosterApplied(roster);
			}
		}
	}

	function sweep(): void {
		const now = monotonicNow();
		const spread = [...seenAt].filter(([, at]) => now - at >= spreadMilliseconds).map(([index]) => index);
		desk.sweep(Math.max(0, ...spread));
	}

	control.listen(followSeatings);
	const sweeping = setInterval(sweep, sweepMilliseconds);

	return {
		claim(wish, decided) {
			return desk.claim(wish, decided);
		},
		take(body) {
			return readClaimMessage(body).map(message => {
				const answer = desk.receive(message);
				return answer === undefined ? '' : JSON.stringify(answer);
			});
		},
		stop() {
			clearInterval(sweeping);
		},
	};
}
