/** Finds what a demand is about in the contracts that an instance has applied. */
import {contractOf} from '@dogwooddeck/configuration/tree';
import {type LimitPart} from '@dogwooddeck/limits/reserve';
import {effectiveLimit, type EffectiveLimit} from '@dogwooddeck/limits/unit';
import {type ContractedLimit, type ServiceContract} from '@dogwooddeck/model/contract';
import {type LimitDemand} from '@dogwooddeck/model/share';
import {type ControlState} from './state.js';

/** The part of a limit that belongs to a divider. */
export type PartOfLimit = (contract: ServiceContract, contracted: ContractedLimit, limit: EffectiveLimit) => LimitPart;

/** The divider's part of the demanded limit; none where the contract has no such limit. */
export function demandedPart({configuration}: ControlState, demand: LimitDemand, partOf: PartOfLimit): LimitPart | undefined {
	const contract = contractOf(configuration, demand.service);
	const contracted = contract?.limits.find(({name}) => name === demand.limit);
	return contract === undefined || contracted === undefined
		? undefined
		: effectiveLimit(contracted, contract.units).map(limit => partOf(contract, contracted, limit)).unwrapOr(undefined);
}
