/**
 * Bounds how long a key may be without an owner after the loss of an upstream,
 * from the contract's deadline and the default durations of leases and verdicts.
 * Contracts are checked against the bound before a change is proposed, never
 * when entries are applied: the replicated state must not depend on the defaults
 * of one release.
 */
import {type ContractCheck} from '@dogwooddeck/configuration/contract-check';
import {problemsFailure} from '@dogwooddeck/configuration/strict-schema';
import {announcementTimeoutMilliseconds} from '@dogwooddeck/membership/view';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type ServiceName} from '@dogwooddeck/model/identifiers';
import {defaultLeaseTerms, timeToServeAgain, type TimeToServeAgain} from '@dogwooddeck/ownership/terms';
import {err, ok, type Result} from 'true-myth/result';

/** The time within which keys should be served again if the contract states none. */
export const defaultServedAgainMilliseconds: Milliseconds = 4000;

/** The bound for one service. */
export type ServedAgainBound = TimeToServeAgain & {
	readonly service: ServiceName;
	/** The time that the contract states, if any. */
	readonly withinMilliseconds?: Milliseconds;
	/** Whether the bound is more than the default. */
	readonly exceedsDefault: boolean;
};

/**
 * Returns the bound on the time from the loss of one upstream until its keys are
 * served again, provided that every zone has contact with control. Detection is
 * the time without announcements after which an upstream is declared lost.
 */
export function servedAgainBound(contract: ServiceContract): ServedAgainBound {
	const bound = timeToServeAgain(contract, defaultLeaseTerms, announcementTimeoutMilliseconds);
	const within = contract.servedAgainWithinMilliseconds;
	return {
		service: contract.name,
		...bound,
		...(within === undefined ? {} : {withinMilliseconds: within}),
		exceedsDefault: bound.totalMilliseconds > defaultServedAgainMilliseconds,
	};
}

function partsText(bound: ServedAgainBound): string {
	return [
		`detection ${bound.detectionMilliseconds}`,
		`revocation ${bound.revocationMilliseconds}`,
		`drain ${bound.drainMilliseconds}`,
		`grant ${bound.grantMilliseconds}`,
		`spread ${bound.spreadMilliseconds}`,
	].join(', ');
}

/** Reports a contract that states a shorter time than its bound. */
export const servedAgainProblems: ContractCheck = (contract, file) => {
	const bound = servedAgainBound(contract);
	return bound.withinMilliseconds === undefined || bound.totalMilliseconds <= bound.withinMilliseconds
		? []
		: [{
			file,
			path: 'served_again_within',
			reason: `is ${bound.withinMilliseconds} ms, but it may take ${bound.totalMilliseconds} ms (${partsText(bound)})`,
		}];
};

/** Rejects contracts that state a shorter time than their bound, with `settingsInvalid`. */
export function requireServedAgain(services: readonly ServiceContract[]): Result<readonly ServiceContract[], Failure> {
	const problems = services.flatMap(contract => servedAgainProblems(contract, contract.name));
	return problems.length === 0 ? ok(services) : err(problemsFailure(problems));
}
