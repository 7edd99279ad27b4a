/**
 * Calls to other instances about claims, also to those that gave up their seats
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

const askMilliseconds: Milliseconds = 400;

/** What an instance is asked to tell about its claims. */
export const ClaimSubject = {
	/** A `ClaimReport`. */
	report: 'claims',
	/** A `ClaimsView`, or null. */
	view: 'claims-view',
} as const;

/** The other instances, as far as their addresses are known. */
export class ClaimPeers {
	readonly #clients: PeerClients;
	readonly #addresses = new Map<string, string>();

	constructor(clients: PeerClients) {
		this.#clients = clients;
	}

	/** Takes the addresses of the seated instances in; of the others, those of the instances that are awaited are kept. */
	follow(seated: readonly InstanceRecord[], awaited: readonly InstanceIdentity[]): void {
		const wanted = new Set([...seated, ...awaited].map(seat => incarnationKey(seat)));
		for (const known of this.#addresses.keys()) {
			if (!wanted.has(known)) {
				this.#addresses.delete(known);
			}
		}

		for (const member of seated) {
			this.#addresses.set(incarnationKey(member), member.peerAddress);
		}
	}

	/** Brings a message to its holder. Fails where that can't be reached in time. */
	async send(message: ClaimMessage): Promise<Result<string, Failure>> {
		return this.#call(message.holder, 'claim', JSON.stringify(message));
	}

	/** The report of an instance; undefined if it can't be reached, or another life answers. */
	async report(seat: InstanceIdentity): Promise<ClaimReport | undefined> {
		const told = await this.#call(seat, 'collect', ClaimSubject.report);
		const report = told.andThen(text => readClaimReport(text)).unwrapOr(undefined);
		return report !== undefined && sameInstance(report.instance, seat) ? report : undefined;
	}

	/** The view of an instance. Fails where it can't be reached; undefined if it has no whole view. */
	async view(seat: InstanceIdentity): Promise<Result<ClaimsView | undefined, Failure>> {
		const told = await this.#call(seat, 'collect', ClaimSubject.view);
		return told.map(text => readClaimsView(text).unwrapOr(undefined));
	}

	async #call(seat: InstanceIdentity, call: 'claim' | 'collect', body: string): Promise<Result<string, Failure>> {
		const address = this.#addresses.get(incarnationKey(seat));
		return address === undefined
			? err(failure(FailureKind.unreachable, `${seat.name} is not seated any more`))
			: this.#clients.call(address, call, body, askMilliseconds);
	}
}
