/**
 * The leader's part in the orders for availability zones: proposes each order once
 * and acknowledges it when it is committed.
 */
import {type DirectoryCommand} from '@dogwooddeck/directory/state';
import {isInForce, type ZoneOrder} from '@dogwooddeck/directory/zone-order';
import {ZoneTimes} from '@dogwooddeck/directory/zone-times';
import {type MeshCalls} from '@dogwooddeck/mesh/calls';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {type Result} from 'true-myth/result';
import {type DirectoryHolder} from './directory-voter.js';

/** The leader's part in the orders. */
export type ZoneCoordinator = {
	/** Proposes an order. Succeeds once it is in force and committed. */
	readonly order: (request: MeshCalls['orderZone']['request']) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	/** Returns the times of the orders that are in force at `now`. */
	readonly timesAt: (now: MonotonicTime) => ZoneTimes;
	/** Called when this instance becomes leader. */
	readonly begin: () => void;
};

/** The collaborators of the zone coordinator. */
export type ZoneCoordinatorDependencies = {
	readonly holder: DirectoryHolder;
	/** Confirms that this instance leads and has applied all committed entries. */
	readonly read: () => Promise<Result<LogIndex, Failure>>;
	readonly propose: (commands: readonly DirectoryCommand[]) => Promise<Result<LogIndex, Failure>>;
	readonly schedulePlan: () => void;
	readonly log: Log;
	readonly measures: Measures;
};

/** Creates the zone coordinator. */
export function createZoneCoordinator({
	holder, read, propose, schedulePlan, log, measures,
}: ZoneCoordinatorDependencies): ZoneCoordinator {
	let times = new ZoneTimes();
	holder.listen(({evacuatedZones}) => {
		measures.set(MeasureName.evacuatedZones, Object.keys(evacuatedZones).length);
	});

	/** An order in force needs no log entry, unless what the leader has applied was behind the log. */
	async function orderOnce(order: ZoneOrder): Promise<Result<LogIndex, Failure>> {
		if (!isInForce(holder.state(), order)) {
			return propose([order]);
		}

		const confirmed = await read();
		return confirmed.isErr || isInForce(holder.state(), order) ? confirmed : propose([order]);
	}

	return {
		async order({order}) {
			const ordered = await orderOnce(order);
			const outcome = ordered.isOk ? 'taken' : ordered.error.kind;
			measures.counter(MeasureName.zoneOrders, {order: order.kind, outcome}).value += 1;
			log.event(EventName.zoneOrdered, {
				order: order.kind, zone: order.zone, seen: order.seen, index: ordered.unwrapOr(0), outcome, detail: ordered.isOk ? undefined : ordered.error.detail,
			});
			if (ordered.isOk) {
				schedulePlan();
			}

			return ordered.map(index => ({index}));
		},
		timesAt(now) {
			times.update(holder.state(), now);
			return times;
		},
		begin() {
			times = new ZoneTimes();
		},
	};
}
