/**
 * Splits a contracted limit into the part that control divides and the static
 * reserves of the availability zones, which a zone continues to use while it is
 * partitioned from control. The parts never sum to more than the limit.
 */
import {type ContractedLimit, LimitScope, type ServiceContract} from '@dogwooddeck/model/contract';
import {type ZoneName} from '@dogwooddeck/model/identifiers';
import {type EffectiveLimit} from './unit.js';

/** The part of a limit that one divider hands out. */
export type LimitPart = {
	readonly limit: EffectiveLimit;
	/** In counted items per interval. */
	readonly amount: number;
};

/** The reserve of one listed zone, rounded down to a whole number. */
function zoneAmount(contract: ServiceContract, {cutReserve = 0}: ContractedLimit, {amount, scope}: EffectiveLimit): number {
	const zones = new Set(contract.upstream.zones).size;
	return zones === 0 || scope === LimitScope.instance ? 0 : Math.floor(amount * cutReserve / zones);
}

/** The part that the steward of a zone divides; 0 if the contract doesn't list the zone. */
export function zonePart(contract: ServiceContract, contracted: ContractedLimit, limit: EffectiveLimit, zone: ZoneName): LimitPart {
	return {limit, amount: contract.upstream.zones.includes(zone) ? zoneAmount(contract, contracted, limit) : 0};
}

/** The part that control divides: the limit less the reserves. */
export function controlPart(contract: ServiceContract, contracted: ContractedLimit, limit: EffectiveLimit): LimitPart {
	const zones = new Set(contract.upstream.zones).size;
	return {limit, amount: limit.amount - (zones * zoneAmount(contract, contracted, limit))};
}
