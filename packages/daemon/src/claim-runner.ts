/**
 * Runs the claims of non-idempotent operations: carries messages between this
 * instance and the holders, and follows the seated instances.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type Seating} from '@dogwooddeck/control/state';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type ClaimEnded} from '@dogwooddeck/routing/claim';
import {
	acknowledgedBy, type ClaimSpread, noteApplied, seatsBehind, spreadOf,
} from '@dogwooddeck/routing/claim-spread';
import {type TextHash} from '@dogwooddeck/routing/text-hash';
import {type ClaimDesk, createClaimDesk} from '@dogwooddeck/upstream-client/claim-desk';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {err, ok, type Result} from 'true-myth/result';
import {type ClaimMessage, readClaimAnswer, readClaimMessage} from './claim-message.js';
import {type ControlHolder} from './control-holder.js';
import {readMemberReport} from './operator-surface.js';

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
/** After this long an instance that has lost its seat holds no lease any more. */
const spreadMilliseconds: Milliseconds = 5000;
const askMilliseconds: Milliseconds = 400;
const tellPauses: readonly Milliseconds[] = [0, 500, 2000];
const sweepMilliseconds: Milliseconds = 1000;
const holderBounds = {records: 200_000, answerBytes: 16_777_216};

/** Starts the claims. */
export function startClaims(self: InstanceIdentity, control: ControlHolder, clients: PeerClients, hash: TextHash): ClaimRunner {
	const seenAt = new Map<LogIndex, MonotonicTime>();

	let spread: ClaimSpread = new Map();

	function addressOf(instance: InstanceIdentity): string | undefined {
		return seatedInstances(control.state().ownership).find(member => sameInstance(member, instance))?.peerAddress;
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

	async function askApplied(seat: InstanceIdentity): Promise<void> {
		const address = addressOf(seat);
		const answer = address === undefined ? undefined : await clients.call(address, 'collect', 'member', askMilliseconds);
		const report = answer?.isOk === true ? readMemberReport(answer.value) : undefined;
		if (report !== undefined) {
			spread = noteApplied(spread, seat, report.applied);
		}
	}

	/** What all seats have applied; those that are not known to be up to date are asked, for the next sweep. */
	function acknowledged(newest: Seating): LogIndex {
		spread = noteApplied(spreadOf(spread, newest), self, control.state().applied);
		for (const seat of seatsBehind(spread, newest)) {
			void askApplied(seat);
		}

		return acknowledgedBy(spread, newest);
	}

	function sweep(): void {
		const now = monotonicNow();
		const old = [...seenAt].filter(([, at]) => now - at >= spreadMilliseconds).map(([index]) => index);
		const [newest] = control.state().seatings;
		desk.sweep(newest === undefined ? 0 : Math.min(acknowledged(newest), Math.max(0, ...old)));
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
