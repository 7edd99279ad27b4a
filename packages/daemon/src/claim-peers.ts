/**
 * Calls to other instances about claims, including those that gave up their seats
 * and may still have copies to send.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, incarnationKey, type Milliseconds, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type ClaimsView} from '@dogwooddeck/routing/claim-rosters';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {err, type Result} from 'true-myth/result';
import {
	type ClaimMessage, type ClaimReport, readClaimReport, readClaimsView,
} from './claim-message.js';

const callTimeoutMilliseconds: Milliseconds = 400;

/** What is collected from an instance about its claims. */
export const ClaimSubject = {
	/** A `ClaimReport`. */
	report: 'claims',
	/** A `ClaimsView`, or null. */
	view: 'claims-view',
} as const;

/** Sends calls to the other instances whose addresses are recorded. */
export class ClaimPeers {
	readonly #clients: PeerClients;
	readonly #addresses = new Map<string, string>();

	constructor(clients: PeerClients) {
		this.#clients = clients;
	}

	/** Records the addresses of the seated instances. Of the others, only the addresses of awaited instances are kept. */
	updateAddresses(seated: readonly InstanceRecord[], awaitedSeats: readonly InstanceIdentity[]): void {
		const retainedKeys = new Set([...seated, ...awaitedSeats].map(seat => incarnationKey(seat)));
		for (const recordedKey of this.#addresses.keys()) {
			if (!retainedKeys.has(recordedKey)) {
				this.#addresses.delete(recordedKey);
			}
		}

		for (const member of seated) {
			this.#addresses.set(incarnationKey(member), member.peerAddress);
		}
	}

	/** Sends a message to its holder. Fails if the holder can't be reached within the timeout. */
	async send(message: ClaimMessage): Promise<Result<string, Failure>> {
		return this.#call(message.holder, 'claim', JSON.stringify(message));
	}

	/** Requests the report of an instance; undefined if it can't be reached or another incarnation answers. */
	async report(seat: InstanceIdentity): Promise<ClaimReport | undefined> {
		const answer = await this.#call(seat, 'collect', ClaimSubject.report);
		const report = answer.andThen(text => readClaimReport(text)).unwrapOr(undefined);
		return report !== undefined && sameInstance(report.instance, seat) ? report : undefined;
	}

	/** Requests the view of an instance; undefined if it has no complete view. Fails if the instance can't be reached. */
	async view(seat: InstanceIdentity): Promise<Result<ClaimsView | undefined, Failure>> {
		const answer = await this.#call(seat, 'collect', ClaimSubject.view);
		return answer.map(text => readClaimsView(text).unwrapOr(undefined));
	}

	async #call(seat: InstanceIdentity, call: 'claim' | 'collect', body: string): Promise<Result<string, Failure>> {
		const address = this.#addresses.get(incarnationKey(seat));
		return address === undefined
			? err(failure(FailureKind.unreachable, `${seat.name} has no seat any more`))
			: this.#clients.call(address, call, body, callTimeoutMilliseconds);
	}
}
