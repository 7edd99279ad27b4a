/**
 * The two forms in which a service's contract is written: as a team's TOML
 * file (lower-case keys with underscores, quantities with units) and as JSON
 * (the plain data of the model). Both give the same contract.
 */
import {
	CountedQuantity, defaultContract, defaultCutReserve, Importance, KeyLocation, LimitScope, Rounding, MovePreference, PartitionPolicy, WindowForm, type ServiceContract,
} from '@dogwooddeck/model/contract';
import * as v from 'valibot';
import {
	boundedList, boundedNumber, bounds, duration, headerField, methodField, nameField, oneOf, prefixField, queryField, routePathField,
	serviceNameField, size, statusField, wholeNumber,
} from './field.js';
import {strictObject} from './strict-schema.js';

const largestAmount = 1_000_000_000_000;
const largestSegment = 15;

const keySchema = v.variant('place', [
	strictObject({place: v.literal(KeyLocation.path), segment: wholeNumber(0, largestSegment)}),
	strictObject({place: v.literal(KeyLocation.header), name: headerField}),
	strictObject({place: v.literal(KeyLocation.query), name: queryField}),
], 'expected a place: "path", "header" or "query"');

const shared = {
	weigh: oneOf(MovePreference),
	target: v.pipe(v.number(), v.check(value => value > 0 && value < 1, 'expected a share above 0 and below 1')),
	periodDays: boundedNumber(1, 366),
	amount: v.pipe(v.number(), v.check(value => value > 0 && value <= largestAmount, `expected a number above 0, at most ${largestAmount}`)),
	perUnit: v.pipe(v.number(), v.check(value => value > 0 && value <= largestAmount, `expected a number above 0, at most ${largestAmount}`)),
	burst: boundedNumber(1, 1000),
	attempts: wholeNumber(1, 10),
	budgetRatio: boundedNumber(0, 1),
	reserve: boundedNumber(0, 1),
	parallel: wholeNumber(1, 10_000),
	connections: wholeNumber(1, 1_000_000),
	statuses: boundedList(statusField, 32),
	zones: boundedList(nameField, 64),
};

const routeEntries = {method: methodField, path: routePathField, idempotent: v.boolean()};

const jsonSchema = strictObject({
	name: serviceNameField,
	prefix: prefixField,
	key: keySchema,
	slots: wholeNumber(...bounds.slots),
	weigh: shared.weigh,
	whenCut: oneOf(PartitionPolicy),
	longestDeadlineMilliseconds: wholeNumber(...bounds.deadline),
	servedAgainWithinMilliseconds: v.exactOptional(wholeNumber(...bounds.servedAgain)),
	largestBodyBytes: wholeNumber(...bounds.body),
	routes: boundedList(strictObject({...routeEntries, importance: oneOf(Importance)})),
	upstream: strictObject({
		slots: shared.parallel,
		connections: shared.connections,
		checksFence: v.boolean(),
		notRunStatuses: shared.statuses,
		warmUpMilliseconds: wholeNumber(...bounds.warmUp),
		zones: shared.zones,
	}),
	retry: strictObject({
		attempts: shared.attempts, budgetRatio: shared.budgetRatio, backoffMilliseconds: wholeNumber(...bounds.backoff),
	}),
	units: boundedList(strictObject({
		name: nameField,
		counts: oneOf(CountedQuantity),
		countedPerUnit: shared.perUnit,
		intervalMilliseconds: wholeNumber(...bounds.interval),
		window: oneOf(WindowForm),
		burst: shared.burst,
		rounding: oneOf(Rounding),
		scope: oneOf(LimitScope),
	})),
	limits: boundedList(strictObject({
		name: nameField, amount: shared.amount, unit: nameField, callerHeader: v.exactOptional(headerField), cutReserve: v.exactOptional(shared.reserve),
	})),
	objectives: boundedList(strictObject({
		name: nameField,
		target: shared.target,
		withinMilliseconds: v.exactOptional(wholeNumber(...bounds.within)),
		periodDays: shared.periodDays,
	})),
});

/** A contract as JSON: every field stands, times in milliseconds, sizes in bytes. */
export const contractSchema: v.GenericSchema<unknown, ServiceContract> = jsonSchema;

const defaults = defaultContract;

const fileRoute = strictObject({...routeEntries, importance: v.optional(oneOf(Importance), Importance.high)});

const fileUpstream = v.pipe(
	strictObject({
		slots: v.optional(shared.parallel, defaults.upstream.slots),
		connections: v.optional(shared.connections, defaults.upstream.connections),
		checks_fence: v.optional(v.boolean(), defaults.upstream.checksFence),
		not_run_statuses: v.optional(shared.statuses, [...defaults.upstream.notRunStatuses]),
		warm_up: v.optional(duration(...bounds.warmUp), `${defaults.upstream.warmUpMilliseconds} ms`),
		zones: v.optional(shared.zones, [...defaults.upstream.zones]),
	}),
	v.transform(file => ({
		slots: file.slots,
		connections: file.connections,
		checksFence: file.checks_fence,
		notRunStatuses: file.not_run_statuses,
		warmUpMilliseconds: file.warm_up,
		zones: file.zones,
	})),
);

const fileRetry = v.pipe(
	strictObject({
		attempts: v.optional(shared.attempts, defaults.retry.attempts),
		budget_ratio: v.optional(shared.budgetRatio, defaults.retry.budgetRatio),
		backoff: v.optional(duration(...bounds.backoff), `${defaults.retry.backoffMilliseconds} ms`),
	}),
	v.transform(file => ({attempts: file.attempts, budgetRatio: file.budget_ratio, backoffMilliseconds: file.backoff})),
);

const fileUnit = v.pipe(
	strictObject({
		name: nameField,
		counts: oneOf(CountedQuantity),
		counted_per_unit: v.optional(shared.perUnit, 1),
		interval: duration(...bounds.interval),
		window: oneOf(WindowForm),
		burst: v.optional(shared.burst, 1),
		rounding: oneOf(Rounding),
		scope: oneOf(LimitScope),
	}),
	v.transform(({counted_per_unit: countedPerUnit, interval, ...unit}) => ({...unit, countedPerUnit, intervalMilliseconds: interval})),
);

const fileLimit = v.pipe(
	strictObject({
		name: nameField, amount: shared.amount, unit: nameField, caller_header: v.exactOptional(headerField), cut_reserve: v.optional(shared.reserve, defaultCutReserve),
	}),
	v.transform(({caller_header: callerHeader, cut_reserve: cutReserve, ...limit}) => ({...limit, cutReserve, ...(callerHeader === undefined ? {} : {callerHeader})})),
);

const fileObjective = v.pipe(
	strictObject({
		name: nameField,
		target: shared.target,
		within: v.exactOptional(duration(...bounds.within)),
		period_days: v.optional(shared.periodDays, 28),
	}),
	v.transform(({within, period_days: periodDays, ...objective}) => ({
		...objective, periodDays, ...(within === undefined ? {} : {withinMilliseconds: within}),
	})),
);

/** A contract as a team's TOML file; what the file leaves out has the default of the model. */
export const contractFileSchema = v.pipe(
	strictObject({
		prefix: prefixField,
		key: keySchema,
		slots: v.optional(wholeNumber(...bounds.slots), defaults.slots),
		weigh: v.optional(shared.weigh, defaults.weigh),
		when_cut: v.optional(oneOf(PartitionPolicy), defaults.whenCut),
		longest_deadline: v.optional(duration(...bounds.deadline), `${defaults.longestDeadlineMilliseconds} ms`),
		served_again_within: v.exactOptional(duration(...bounds.servedAgain)),
		largest_body: v.optional(size(...bounds.body), `${defaults.largestBodyBytes} B`),
		routes: v.optional(boundedList(fileRoute), []),
		upstream: v.optional(fileUpstream, {}),
		retry: v.optional(fileRetry, {}),
		units: v.optional(boundedList(fileUnit), []),
		limits: v.optional(boundedList(fileLimit), []),
		objectives: v.optional(boundedList(fileObjective), []),
	}),
	v.transform((file): Omit<ServiceContract, 'name'> => ({
		prefix: file.prefix,
		key: file.key,
		slots: file.slots,
		weigh: file.weigh,
		whenCut: file.when_cut,
		longestDeadlineMilliseconds: file.longest_deadline,
		...(file.served_again_within === undefined ? {} : {servedAgainWithinMilliseconds: file.served_again_within}),
		largestBodyBytes: file.largest_body,
		routes: file.routes,
		upstream: file.upstream,
		retry: file.retry,
		units: file.units,
		limits: file.limits,
		objectives: file.objectives,
	})),
);
