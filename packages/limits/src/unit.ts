/**
 * Converts limits that are quoted in declared legacy units to counted items.
 */
import {
	Rounding, WindowForm, type ContractedLimit, type CountedQuantity, type LegacyUnit, type LimitScope,
} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';

/** A limit in whole counted items. */
export type EffectiveLimit = {
	/** Counted items per interval. */
	readonly amount: number;
	readonly intervalMilliseconds: Milliseconds;
	readonly window: WindowForm;
	/** What may be used at once, as a multiple of the amount; at least 1. */
	readonly burst: number;
	readonly counts: CountedQuantity;
	readonly scope: LimitScope;
};

const roundings: Readonly<Record<Rounding, (value: number) => number>> = {
	[Rounding.down]: value => Math.floor(value),
	[Rounding.nearest]: value => Math.round(value),
	[Rounding.up]: value => Math.ceil(value),
};

function problemOf(limit: ContractedLimit, unit: LegacyUnit): string | undefined {
	const problems: ReadonlyArray<readonly [boolean, string]> = [
		[!(limit.amount >= 0 && Number.isFinite(limit.amount)), 'The amount must be a finite number of at least 0.'],
		[!(unit.countedPerUnit > 0 && Number.isFinite(unit.countedPerUnit)), 'The unit must count more than 0.'],
		[!(unit.intervalMilliseconds > 0 && Number.isFinite(unit.intervalMilliseconds)), 'The interval of the unit must be longer than 0 ms.'],
		[!(unit.burst >= 1 && Number.isFinite(unit.burst)), 'The burst of the unit must be at least 1.'],
	];
	return problems.find(([applies]) => applies)?.[1];
}

/** Returns the limit in counted items. Fails with `unitUndeclared` if the unit is not declared, and with `settingsInvalid` if a number is out of range. */
export function effectiveLimit(limit: ContractedLimit, units: readonly LegacyUnit[]): Result<EffectiveLimit, Failure> {
	const unit = units.find(({name}) => name === limit.unit);
	if (unit === undefined) {
		return err(failure(FailureKind.unitUndeclared, `The limit ${limit.name} is quoted in ${limit.unit}, which is not a declared unit.`));
	}

	const problem = problemOf(limit, unit);
	if (problem !== undefined) {
		return err(failure(FailureKind.settingsInvalid, `The limit ${limit.name}: ${problem}`));
	}

	const {intervalMilliseconds, window, burst, counts, scope} = unit;
	const amount = roundings[unit.rounding](limit.amount * unit.countedPerUnit);
	return ok({
		amount, intervalMilliseconds, window, burst, counts, scope,
	});
}

/** How long past use counts against a limit. In a sliding window, a burst is spread over `burst` intervals. */
export function windowMilliseconds(limit: EffectiveLimit): Milliseconds {
	return limit.window === WindowForm.sliding ? limit.intervalMilliseconds * limit.burst : limit.intervalMilliseconds;
}
