/**
 * Contracts and commands for tests.
 */
import {defaultContract, KeyLocation, type ServiceContract} from '@dogwooddeck/model/contract';
import {ConfigurationCommandKind, type ConfigurationState, type SubtreeApplied} from '../src/tree.js';

/** A contract with default values whose prefix is the service's own name. */
export function contract(name: string, more: Partial<ServiceContract> = {}): ServiceContract {
	return {
		...defaultContract, name, prefix: `/${name.split('/')[1]}`, key: {place: KeyLocation.path, segment: 0}, ...more,
	};
}

/** A team's whole subtree as a command. */
export function applied(operation: string, base: number, services: readonly ServiceContract[], team = 'bermrand'): SubtreeApplied {
	return {
		kind: ConfigurationCommandKind.subtreeApplied, team, operation, base, services, author: 'planner', at: 0,
	};
}

/** The state after a snapshot was written and read back. */
export function restarted(state: ConfigurationState): ConfigurationState {
	const snapshot = JSON.stringify(state);
	return JSON.parse(snapshot) as ConfigurationState;
}
