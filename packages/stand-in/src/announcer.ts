/**
 * Announces a stand-in upstream to the system, again and again, and keeps the
 * grants that come back.
 */
import {request} from 'undici';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type FenceNumber, type Milliseconds, type Slot} from '@dogwooddeck/model/identifiers';
import {type Announcement} from '@dogwooddeck/model/registry';

/** How a stand-in upstream reaches the system. */
export type AnnouncerOptions = {
	/** The operator addresses of instances, as `IP:port`; the next is tried after a failure. */
	readonly addresses: readonly string[];
	/** The bearer token. */
	readonly token: string;
	readonly intervalMilliseconds: Milliseconds;
	/** Called when an instance asks for a later incarnation. */
	readonly superseded?: () => void;
};

/** The right to serve one slot. */
export type Grant = {readonly slot: Slot; readonly fence: FenceNumber};

/** What an instance answers. */
export type AnnouncementAnswer = {
	readonly accepted: boolean;
	readonly grants: readonly Grant[];
};

/** Announces until it is stopped. */
export type Announcer = {
	/** The grants by the newest answer. */
	readonly grants: readonly Grant[];
	/** How many announcements were accepted. */
	readonly accepted: number;
	stop(): void;
};

/** An answer, or the problem that was told; empty: neither came. */
type Answered = Partial<AnnouncementAnswer> & {readonly kind?: string};

const timeoutMilliseconds = 300;

async function announce(address: string, token: string, announcement: Announcement): Promise<Answered> {
	try {
		const {body} = await request(`http://${address}/announce`, {
			method: 'POST',
			headers: {'content-type': 'application/json', authorization: `Bearer ${token}`},
			body: JSON.stringify(announcement),
			headersTimeout: timeoutMilliseconds,
			bodyTimeout: timeoutMilliseconds,
		});
		return await body.json() as Answered;
	} catch {
		return {};
	}
}

class RepeatingAnnouncer implements Announcer {
	grants: readonly Grant[] = [];
	accepted = 0;
	readonly #options: AnnouncerOptions;
	readonly #announcement: () => Announcement;
	#next = 0;
	#timer: NodeJS.Timeout | undefined;
	#stopped = false;

	constructor(options: AnnouncerOptions, announcement: () => Announcement) {
		this.#options = options;
		this.#announcement = announcement;
		void this.#repeat();
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}

	async #announceOnce(): Promise<boolean> {
		const {addresses, token} = this.#options;
		const answer = await announce(addresses[this.#next % addresses.length]!, token, this.#announcement());
		if (answer.kind === FailureKind.superseded) {
			this.#options.superseded?.();
		}

		if (answer.accepted !== true) {
			return false;
		}

		this.accepted++;
		this.grants = answer.grants ?? [];
		return true;
	}

	async #repeat(): Promise<void> {
		const {addresses, intervalMilliseconds} = this.#options;
		for (let tries = 0; tries < addresses.length && !this.#stopped; tries++) {
			if (await this.#announceOnce()) {
				break;
			}

			this.#next++;
		}

		if (!this.#stopped) {
			this.#timer = setTimeout(() => {
				void this.#repeat();
			}, intervalMilliseconds);
		}
	}
}

/** Starts to announce. `announcement` is called for each. */
export function startAnnouncer(options: AnnouncerOptions, announcement: () => Announcement): Announcer {
	return new RepeatingAnnouncer(options, announcement);
}
