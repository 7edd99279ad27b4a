/**
 * A small entry instance for tests: the forwarder over HTTP, with one owner for
 * all keys, and claims that go to the other entries of the same group.
 */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Result} from 'true-myth';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {Importance} from '@dogwooddeck/model/contract';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {type Admission, createAdmission} from '@dogwooddeck/routing/admission';
import {type ClaimDecision, type ClaimRoster} from '@dogwooddeck/routing/claim';
import {fingerprintOf} from '@dogwooddeck/routing/claim-fingerprint';
import {type RequestHead} from '@dogwooddeck/routing/target';
import {type TextHash} from '@dogwooddeck/routing/text-hash';
import {type ClaimCoordinator, createClaimCoordinator} from '@dogwooddeck/upstream-client/claim-coordinator';
import {createUpstreamClient, type UpstreamClient} from '@dogwooddeck/upstream-client/client';
import {forward} from '@dogwooddeck/upstream-client/forward';
import {
	type AttemptReport, type OpenClaim, type OpenedRequest, type RequestOwner, type RequestPath, type RequestReport,
} from '@dogwooddeck/upstream-client/request-path';

export type EntrySettings = {
	readonly upstreamAddress: () => string;
	readonly deadlineMilliseconds: number;
	readonly idempotent: boolean;
	readonly attempts: number;
	/** Whether the lease still holds right before the first byte. */
	readonly holdsLease?: () => boolean;
	readonly desk?: ClaimCoordinator;
};

type Opened = OpenedRequest & {readonly head: RequestHead};

export class Entry implements RequestPath<Opened, RequestOwner> {
	readonly attempts: AttemptReport[] = [];
	readonly reports: RequestReport[] = [];
	address = '';
	readonly client: UpstreamClient = createUpstreamClient({connectTimeoutMilliseconds: 500, idleMilliseconds: 60_000});
	readonly #settings: EntrySettings;
	readonly #server: Server;
	readonly #admission: Admission = createAdmission({slots: 64, instances: 1, queueLength: 64});

	constructor(settings: EntrySettings) {
		this.#settings = settings;
		this.#server = createServer((request, response) => {
			forward({client: this.client, path: this}, request, response);
		});
	}

	async start(): Promise<this> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
		return this;
	}

	/** Ends like a lost process: connections of callers break. */
	async stop(): Promise<void> {
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeAllConnections();
		await closed;
		await this.client.close();
	}

	now(): number {
		return monotonicNow();
	}

	open(head: RequestHead): Result<Opened, Failure> {
		const {deadlineMilliseconds, idempotent, attempts} = this.#settings;
		return Result.ok({
			head,
			deadline: this.now() + deadlineMilliseconds,
			idempotent,
			importance: Importance.high,
			retry: {attempts, budgetRatio: 1, backoffMilliseconds: 2},
			largestBodyBytes: 1000,
			notRunStatuses: [503, 421],
			claims: head.headers[HeaderName.idempotencyKey] !== undefined,
		});
	}

	locate(): Result<RequestOwner, Failure> {
		return Result.ok({
			address: this.#settings.upstreamAddress(), connections: 64, slot: 1, fence: 7, admission: this.#admission,
		});
	}

	mayStart(): boolean {
		return this.#settings.holdsLease?.() ?? true;
	}

	allowsRetry(): boolean {
		return true;
	}

	attemptStarted(): void {
		// Nothing is booked.
	}

	attemptEnded(_opened: Opened, _owner: RequestOwner, report: AttemptReport): void {
		this.attempts.push(report);
	}

	claim(opened: Opened, body: Uint8Array | undefined, decided: (decision: ClaimDecision) => void): OpenClaim {
		return this.#settings.desk!.claim({
			operation: {service: 'bermrand/booking', key: opened.head.path, operationKey: String(opened.head.headers[HeaderName.idempotencyKey])},
			fingerprint: fingerprintOf(opened.head, body),
			runsForMilliseconds: opened.deadline - this.now(),
		}, decided);
	}

	requestEnded(_opened: Opened | undefined, report: RequestReport): void {
		this.reports.push(report);
	}
}

const unreachable = failure(FailureKind.unreachable, 'the instance is lost');

/** The claims of a group of instances that reach each other within one process, and can be lost. */
export function createDesks(roster: ClaimRoster, hash: TextHash): {readonly desks: ReadonlyMap<string, ClaimCoordinator>; readonly lost: Set<string>} {
	const lost = new Set<string>();
	const desks = new Map<string, ClaimCoordinator>();
	for (const self of roster.seats) {
		desks.set(self.name, createClaimCoordinator({
			self: {name: self.name, incarnation: self.incarnation},
			hash,
			bounds: {records: 10_000, answerBytes: 10_000_000},
			lifetimeMilliseconds: 600_000,
			rosters: [roster],
			rostersComplete: true,
			now: monotonicNow(),
		}, {
			async ask(request) {
				const cut = lost.has(self.name) || lost.has(request.holder.name);
				const answer = cut ? undefined : desks.get(request.holder.name)!.receive(request);
				return answer === undefined ? Result.err(unreachable) : Result.ok(answer);
			},
			tell(ended) {
				if (!lost.has(self.name) && !lost.has(ended.holder.name)) {
					desks.get(ended.holder.name)!.receive(ended);
				}
			},
		}, monotonicNow));
	}

	return {desks, lost};
}
