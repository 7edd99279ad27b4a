/** Tests the conversion of legacy units, and admission by fixed and sliding windows. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	CountedQuantity, LimitScope, Rounding, WindowForm, type LegacyUnit,
} from '@dogwooddeck/model/contract';
import {admit, createBucket, usedShare} from '@dogwooddeck/limits/bucket';
import {effectiveLimit, type EffectiveLimit} from '@dogwooddeck/limits/unit';

const unit: LegacyUnit = {
	name: 'batch', counts: CountedQuantity.requests, countedPerUnit: 7, intervalMilliseconds: 1000, window: WindowForm.fixed, burst: 1, rounding: Rounding.down, scope: LimitScope.deployment,
};

const quoted: ReadonlyArray<{readonly name: string; readonly amount: number; readonly unit: Partial<LegacyUnit>; readonly quotedIn?: string; readonly expected: number | string}> = [
	{
		name: 'rounded down', amount: 2.5, unit: {}, expected: 17,
	},
	{
		name: 'rounded to the nearest', amount: 2.5, unit: {rounding: Rounding.nearest}, expected: 18,
	},
	{
		name: 'rounded up', amount: 2.1, unit: {rounding: Rounding.up}, expected: 15,
	},
	{
		name: 'undeclared', amount: 2, unit: {}, quotedIn: 'bale', expected: 'unit-undeclared',
	},
	{
		name: 'in another letter case', amount: 2, unit: {}, quotedIn: 'Batch', expected: 'unit-undeclared',
	},
	{
		name: 'negative', amount: -1, unit: {}, expected: 'settings-invalid',
	},
	{
		name: 'not a number', amount: Number.NaN, unit: {}, expected: 'settings-invalid',
	},
	{
		name: 'a unit that counts nothing', amount: 1, unit: {countedPerUnit: 0}, expected: 'settings-invalid',
	},
	{
		name: 'a unit without an interval', amount: 1, unit: {intervalMilliseconds: 0}, expected: 'settings-invalid',
	},
	{
		name: 'a burst below the limit', amount: 1, unit: {burst: 0.5}, expected: 'settings-invalid',
	},
];

for (const {name, amount, unit: changes, quotedIn = 'batch', expected} of quoted) {
	test(`unit: a limit ${name}`, () => {
		const result = effectiveLimit({name: 'l', amount, unit: quotedIn}, [{...unit, ...changes}]);
		assert.equal(result.match({Ok: limit => limit.amount as number | string, Err: ({kind}) => kind}), expected);
	});
}

const limit: EffectiveLimit = {
	amount: 3, intervalMilliseconds: 1000, window: WindowForm.fixed, burst: 1, counts: CountedQuantity.requests, scope: LimitScope.deployment,
};

/** A request: its time, cost and share, and whether it is admitted. */
type AdmissionRequest = readonly [number, number, number, boolean];

const admissions: ReadonlyArray<{readonly name: string; readonly limit: EffectiveLimit; readonly requests: readonly AdmissionRequest[]}> = [
	{name: 'a fixed window starts at whole intervals', limit, requests: [[900, 3, 3, true], [950, 1, 3, false], [1000, 3, 3, true], [1999, 1, 3, false]]},
	{name: 'a wall clock that is set back reopens no window', limit, requests: [[2000, 3, 3, true], [1000, 1, 3, false], [2500, 1, 3, false]]},
	{name: 'a share that shrinks still counts earlier use', limit, requests: [[100, 2, 3, true], [200, 1, 2, false], [300, 1, 3, true]]},
	{name: 'no share admits nothing', limit, requests: [[100, 1, 0, false]]},
	{name: 'a fixed burst carries over what was unused', limit: {...limit, burst: 2}, requests: [[100, 1, 3, true], [1100, 5, 3, true], [1200, 1, 3, false], [2100, 4, 3, false], [2200, 3, 3, true]]},
	{name: 'a sliding window has no edge', limit: {...limit, window: WindowForm.sliding}, requests: [[900, 3, 3, true], [1500, 1, 3, false], [1890, 1, 3, false], [1920, 3, 3, true]]},
	{name: 'a sliding burst is spread over its intervals', limit: {...limit, window: WindowForm.sliding, burst: 2}, requests: [[100, 6, 3, true], [1900, 1, 3, false], [2200, 6, 3, true]]},
];

for (const {name, limit: held, requests} of admissions) {
	test(`bucket: ${name}`, () => {
		let state = createBucket(held);
		for (const [now, cost, share, expected] of requests) {
			const admission = admit(state, now, now, cost, share);
			assert.equal(admission.admitted, expected, `at ${now}`);
			assert.equal(admission.retryAfterMilliseconds > 0, !expected);
			state = admission.state;
		}
	});
}

const reports: ReadonlyArray<{readonly name: string; readonly window: WindowForm; readonly now: number; readonly skew: number; readonly expected: number}> = [
	{
		name: 'the current window', window: WindowForm.fixed, now: 950, skew: 0, expected: 3,
	},
	{
		name: 'a window that may be current at another instance', window: WindowForm.fixed, now: 1050, skew: 100, expected: 3,
	},
	{
		name: 'a window that has ended at every instance', window: WindowForm.fixed, now: 1200, skew: 100, expected: 1,
	},
	{
		name: 'a sliding window', window: WindowForm.sliding, now: 1050, skew: 0, expected: 4,
	},
	{
		name: 'a sliding window that has ended', window: WindowForm.sliding, now: 2100, skew: 0, expected: 0,
	},
];

for (const {name, window, now, skew, expected} of reports) {
	test(`bucket: use is reported for ${name}`, () => {
		const used = admit(createBucket({...limit, window, amount: 9}), 900, 900, 3, 9).state;
		const later = now < 1000 ? used : admit(used, 1020, 1020, 1, 9).state;
		assert.equal(usedShare(later, now, now, skew), expected);
	});
}
