/**
 * The processes of a simulated schedule, and the records kept about them.
 */
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {type FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {Process} from './simulation.js';
import {type InFlightTracker} from '@dogwooddeck/ownership/drain';
import {type LeaseState} from '@dogwooddeck/ownership/lease';
import {type StewardState} from '@dogwooddeck/ownership/steward-state';

/** The services, one for each partition policy. */
export const services = [
	{service: 'held', whenCut: PartitionPolicy.hold},
	{service: 'taken', whenCut: PartitionPolicy.takeOver},
];

/** The number of slots of each service. Each slot has two keys. */
export const slotCount = 4;

/** The parameters of a schedule. */
export type Plan = {
	readonly seed: number;
	readonly zones: readonly string[];
	readonly perZone: number;
	readonly loss: number;
	/** The rate per second of random moves and pins. */
	readonly moves: number;
	readonly driftRatio: number;
	readonly longestDeadlineMilliseconds: number;
};

/** A request that an instance refused. */
export type Refusal = {
	readonly at: number;
	readonly zone: string;
	readonly service: string;
	readonly ownerZone: string;
	readonly kind: FailureKind;
};

/** One request that was sent upstream. */
export type SentRequest = {
	readonly key: string;
	readonly service: string;
	readonly from: string;
	readonly upstream: Upstream;
	readonly startedAt: number;
	/** In true time: the latest time at which the upstream may run it, or when the upstream completed it. */
	until: number;
};

/** An upstream that serves both services. */
export class Upstream extends Process {
	highestFence = new Map<string, number>();

	constructor(name: string, zone: string, readonly checksFence: boolean) {
		super(name, zone, {offset: 0, rate: 1});
	}
}

/** One entry instance with its ownership state. */
export class Instance extends Process {
	record!: InstanceRecord;
	steward!: StewardState;
	lease!: LeaseState;
	inFlightTracker!: InFlightTracker;
	applied: LogIndex = 0;
	seatRequestedAt = -Infinity;
	/** When the steward's next tick is due, as computed after its last event. */
	dueAt = -Infinity;
}
