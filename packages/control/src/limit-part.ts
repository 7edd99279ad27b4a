/** Looks up limits in the contracts that an instance has applied, and the part of each that a divider distributes. */
import {contractOf, contractsOf} from '@dogwooddeck/configuration/tree';
import {type LimitPart} from '@dogwooddeck/limits/reserve';
import {type NamedPart} from '@dogwooddeck/limits/sharing';
import {effectiveLimit, type EffectiveLimit} from '@dogwooddeck/limits/unit';
import {type ContractedLimit, type ServiceContract} from '@dogwooddeck/model/contract';
import {type LimitDemand} from '@dogwooddeck/model/share';
import {type ControlState} from './state.js';

/** Returns the part of a limit that belongs to a divider. */
export type PartOfLimit = (contract: ServiceContract, contracted: ContractedLimit, limit: EffectiveLimit) => LimitPart;

/** Returns the divider's parts of all limits. */
export function allParts({configuration}: ControlState, partOf: PartOfLimit): readonly NamedPart[] {
	return contractsOf(configuration).flatMap(contract => contract.limits.flatMap(contracted =>
		effectiveLimit(contracted, contract.units)
			.map(limit => [{service: contract.name, limit: contracted.name, part: partOf(contract, contracted, limit)}])
			.unwrapOr([])));
}

/** Returns the divider's part of the demanded limit; undefined if the contract has no such limit. */
export function demandedPart({configuration}: ControlState, demand: LimitDemand, partOf: PartOfLimit): LimitPart | undefined {
	const contract = contractOf(configuration, demand.service);
	const contracted = contract?.limits.find(({name}) => name === demand.limit);
	return contract === undefined || contracted === undefined
		? undefined
		: effectiveLimit(contracted, contract.units).map(limit => partOf(contract, contracted, limit)).unwrapOr(undefined);
}
