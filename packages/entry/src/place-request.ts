/**
 * The place of one request at an upstream whose room the entries of a zone share:
 * asks the keeper for it, checks that the granted upstream may be used, and tells
 * the keeper how the attempt ended.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {RefusalCause} from '@dogwooddeck/room/message';
import {type PlaceTerms} from '@dogwooddeck/room/room-share';
import {type AttemptResult} from './attempt.js';
import {Refusal} from './refusals.js';
import {type CachedService, type CachedUpstream} from './service-table.js';
import {
	type PlaceEnd, placeEnd, type PlaceHolder, type Placement, type SharedRoom,
} from './shared-room.js';
import {type UpstreamChoice} from './upstream-choice.js';

/** Receives the outcome; one of these is called, once for each time that a place is asked for. */
export type PlaceListener = {
	/** The request may be sent to the upstream now. */
	readonly onPlace: (upstream: CachedUpstream, now: MonotonicTime) => void;
	/** The keeper refuses the request and expects room after `wait`. */
	readonly onRefused: (refusal: Refusal, wait: Milliseconds) => void;
	/** There is no place: the choice is restricted to what no keeper grants. */
	readonly onAlone: () => void;
};

/** What the place is needed for. */
export type PlaceNeed = Pick<PlaceTerms, 'priority' | 'startBy' | 'deadline'> & {
	/** With less time than this left until the deadline, nothing is sent. */
	readonly minimumMilliseconds: Milliseconds;
	/** A number between 0 and 1, which selects among equally near zones. */
	readonly random: number;
};

const refusals: Readonly<Record<RefusalCause, Refusal>> = {
	[RefusalCause.noTimeToWait]: Refusal.noTimeToWait,
	[RefusalCause.waitedTooLong]: Refusal.waitedTooLong,
};

/** Asks for places of one request, one after the other. */
export class PlaceRequest {
	readonly #sharedRoom: SharedRoom;
	readonly #service: CachedService;
	readonly #choice: UpstreamChoice;
	#place: PlaceHolder | undefined;

	constructor(sharedRoom: SharedRoom, service: CachedService, choice: UpstreamChoice) {
		this.#sharedRoom = sharedRoom;
		this.#service = service;
		this.#choice = choice;
	}

	/** Asks for a place. `whenReady` calls back once closed connections of callers have been noticed, unless the caller has left. */
	ask(need: PlaceNeed, whenReady: (callback: () => void) => void, listener: PlaceListener): void {
		const {priority, startBy, deadline, random} = need;
		const handlers: HandlerTable<Placement, [], void> = {
			send: ({upstream}) => {
				this.#use(upstream, need, listener);
			},
			refuse({cause, retryWithin}) {
				listener.onRefused(refusals[cause], retryWithin);
			},
			alone: () => {
				this.#goAlone(listener);
			},
		};
		this.#choice.restrictTo(undefined);
		const {nearest, others} = this.#choice.zones;
		const first = Math.floor(random * nearest.length);
		const homeZones = [...nearest.slice(first), ...nearest.slice(0, first)];
		this.#place = this.#sharedRoom.request(this.#service.name, {
			priority, startBy, deadline, homeZones, otherZones: [...homeZones.slice(1), ...others],
		}, placement => {
			whenReady(() => {
				dispatch(handlers, placement);
			});
		});
	}

	/** Returns the place as its attempt has ended. */
	finish(result: AttemptResult): void {
		this.release(placeEnd(result));
	}

	/** Returns the place, or ends the wait for it. */
	release(end?: PlaceEnd): void {
		this.#choice.hasPlace = false;
		this.#place?.release(end);
		this.#place = undefined;
	}

	#use(granted: string, {deadline, minimumMilliseconds}: PlaceNeed, listener: PlaceListener): void {
		const now = monotonicNow();
		const upstream = deadline - now < minimumMilliseconds ? undefined : this.#choice.findAvailable(granted, now);
		if (upstream === undefined) {
			this.release({hasFailed: true});
			this.#goAlone(listener);
		} else {
			this.#choice.hasPlace = true;
			listener.onPlace(upstream, now);
		}
	}

	#goAlone({onAlone}: PlaceListener): void {
		this.#choice.restrictTo(upstream => this.#sharedRoom.mayUseAlone(this.#service, upstream));
		onAlone();
	}
}
