/**
 * Operators' orders to evacuate availability zones and to restore them, and the
 * commands that change the record of them.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type ZoneName} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {err, ok, type Result} from 'true-myth/result';

/** The restoration of a zone, at the log index of its order. */
export type Restoration = {
	readonly index: LogIndex;
	/** Whether its upstreams are granted keys like all others again. */
	readonly isWarm: boolean;
};

/** The zones with orders. A zone is in at most one of the two records, and in none before its first evacuation. */
export type ZoneOrders = {
	/** The zones whose upstreams are sent no requests, by name, with the log index of the order. */
	readonly evacuatedZones: Readonly<Record<ZoneName, LogIndex>>;
	/** The zones that were evacuated before. */
	readonly restoredZones: Readonly<Record<ZoneName, Restoration>>;
};

/**
 * An operator's order. `seen` is the log index up to which the instance that
 * received it had applied changes: an order that was delayed on its way must not
 * undo a later one.
 */
export type ZoneOrder =
	| {readonly kind: 'zoneEvacuated'; readonly zone: ZoneName; readonly seen: LogIndex}
	| {readonly kind: 'zoneRestored'; readonly zone: ZoneName; readonly seen: LogIndex};

/** The commands that the leader proposes about zones. */
export type ZoneCommand =
	| ZoneOrder
	/** The upstreams of a zone that was restored at `restoredAt` have had the time to become warm. */
	| {readonly kind: 'zoneWarmed'; readonly zone: ZoneName; readonly restoredAt: LogIndex};

/** No orders. */
export const noZoneOrders: ZoneOrders = {evacuatedZones: {}, restoredZones: {}};

function without<Value>(zones: Readonly<Record<ZoneName, Value>>, zone: ZoneName): Readonly<Record<ZoneName, Value>> {
	return Object.fromEntries(Object.entries(zones).filter(([name]) => name !== zone));
}

function outdated({zone, seen}: ZoneOrder, index: LogIndex): Result<ZoneOrders, Failure> {
	return err(failure(FailureKind.notReady, `${zone} has a later order, at ${index}: this one was received at ${seen}`));
}

/** Whether a zone is evacuated. */
export function isEvacuated({evacuatedZones}: Pick<ZoneOrders, 'evacuatedZones'>, zone: ZoneName): boolean {
	return Object.hasOwn(evacuatedZones, zone);
}

/** Whether an order has no effect, because it is in force already. */
export function isInForce(orders: ZoneOrders, {kind, zone}: ZoneOrder): boolean {
	return (kind === 'zoneEvacuated') === isEvacuated(orders, zone);
}

const handlers: HandlerTable<ZoneCommand, [ZoneOrders, LogIndex], Result<ZoneOrders, Failure>> = {
	zoneEvacuated(command, orders, index) {
		const restored = orders.restoredZones[command.zone];
		if (isInForce(orders, command)) {
			return ok(orders);
		}

		return restored !== undefined && restored.index > command.seen
			? outdated(command, restored.index)
			: ok({evacuatedZones: {...orders.evacuatedZones, [command.zone]: index}, restoredZones: without(orders.restoredZones, command.zone)});
	},
	zoneRestored(command, orders, index) {
		const evacuated = orders.evacuatedZones[command.zone];
		if (evacuated === undefined || isInForce(orders, command)) {
			return ok(orders);
		}

		return evacuated > command.seen
			? outdated(command, evacuated)
			: ok({evacuatedZones: without(orders.evacuatedZones, command.zone), restoredZones: {...orders.restoredZones, [command.zone]: {index, isWarm: false}}});
	},
	zoneWarmed({zone, restoredAt}, orders) {
		return orders.restoredZones[zone]?.index === restoredAt
			? ok({...orders, restoredZones: {...orders.restoredZones, [zone]: {index: restoredAt, isWarm: true}}})
			: ok(orders);
	},
};

/** The kinds of zone commands. */
export const zoneCommandKinds = new Set<string>(Object.keys(handlers));

/** Applies the command of the log entry at `index`. Fails with `notReady` if the zone has a later order than the command's sender knew of. */
export function applyZoneCommand(orders: ZoneOrders, command: ZoneCommand, index: LogIndex): Result<ZoneOrders, Failure> {
	return dispatch(handlers, command, orders, index);
}
