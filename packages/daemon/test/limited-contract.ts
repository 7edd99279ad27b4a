/** A contract with one limit, for tests of the limiter. */
import {
	type ContractedLimit, CountedQuantity, defaultContract, LimitScope, Rounding, type ServiceContract, type LegacyUnit, WindowForm,
} from '@dogwooddeck/model/contract';
import {type ZoneName} from '@dogwooddeck/model/identifiers';

/** The terms of the limit, its unit and the zones of the service. */
export type LimitTerms = {
	readonly limit: Pick<ContractedLimit, 'amount' | 'cutReserve'>;
	readonly unit: Pick<LegacyUnit, 'intervalMilliseconds'> & Partial<LegacyUnit>;
	readonly zones?: readonly ZoneName[];
};

/** Creates the contract of a service whose every request counts against one limit. */
export function limitedContract({limit, unit, zones = []}: LimitTerms): ServiceContract {
	return {
		...defaultContract,
		name: 'team/service',
		prefix: '/schedule',
		key: {place: 'path', segment: 0},
		upstream: {...defaultContract.upstream, zones},
		units: [{
			name: 'piece',
			counts: CountedQuantity.requests,
			countedPerUnit: 1,
			window: WindowForm.sliding,
			burst: 1,
			rounding: Rounding.down,
			scope: LimitScope.deployment,
			...unit,
		}],
		limits: [{name: 'limit', unit: 'piece', ...limit}],
	};
}
