/**
 * Applies changes to configuration items: the highest version of each name wins,
 * and an invalid change is rejected as a whole.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {isSafeRecordKey} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {
	type Item, type ItemChange, type ItemKind, type Items, type Route, definedItems,
} from './item.js';

/** The maximum timeout of a route. */
export const maxTimeoutMilliseconds = 600_000;

/** A route's objective must be below its timeout plus this. */
export const objectiveSlackMilliseconds = 60_000;

function routeProblem({name, item}: Extract<ItemChange, {readonly kind: 'route'}>): string | undefined {
	const route = item.value;
	if (route === undefined) {
		return undefined;
	}

	const checks: ReadonlyArray<readonly [boolean, string]> = [
		[!route.pathPrefix.startsWith('/'), 'the path prefix does not start with a slash'],
		[!(route.timeoutMilliseconds > 0 && route.timeoutMilliseconds <= maxTimeoutMilliseconds), 'the timeout must be above 0 and at most ten minutes'],
		[route.objectiveMilliseconds >= route.timeoutMilliseconds + objectiveSlackMilliseconds, 'the objective exceeds the timeout by a minute or more'],
		[!(route.targets.reduce((sum, {weight}) => sum + weight, 0) > 0), 'the sum of the weights is not above 0'],
		[route.targets.some(({weight}) => weight < 0), 'a weight is negative'],
	];
	const problem = checks.find(([applies]) => applies)?.[1];
	return problem === undefined ? undefined : `route ${name}: ${problem}`;
}

function nameProblem({name}: ItemChange): string | undefined {
	return isSafeRecordKey(name) && name !== '' ? undefined : `the name ${JSON.stringify(name)} is not allowed`;
}

function sameItem(one: Item<unknown>, other: Item<unknown>): boolean {
	return one.document === other.document && (one.value === undefined) === (other.value === undefined);
}

function itemOf(items: Items, {kind, name}: ItemChange): Item<unknown> | undefined {
	const itemsOfKind: Readonly<Record<string, Item<unknown>>> = items[kind];
	return itemsOfKind[name];
}

function conflictProblem(items: Items, change: ItemChange): string | undefined {
	const current = itemOf(items, change);
	return current?.version === change.item.version && !sameItem(current, change.item)
		? `${change.kind} ${change.name}: version ${current.version} already exists with different content`
		: undefined;
}

/** Copies the items of each changed kind only once: a change may contain thousands of items. */
function setItems(items: Items, changes: readonly ItemChange[]): Items {
	const copies: Partial<Record<ItemKind, Record<string, Item<unknown>>>> = {};
	for (const {kind, name, item} of changes) {
		const current = (copies[kind] ?? items[kind])[name];
		if (current === undefined || current.version < item.version) {
			copies[kind] ??= {...items[kind]};
			copies[kind][name] = item;
		}
	}

	return Object.keys(copies).length === 0 ? items : {...items, ...copies as Partial<Items>};
}

function missingServiceProblem(targets: ReadonlyArray<readonly [string, Route]>, exists: (service: string) => boolean): string | undefined {
	for (const [name, route] of targets) {
		const missing = route.targets.find(({service}) => !exists(service));
		if (missing !== undefined) {
			return `route ${name}: there is no service ${missing.service}`;
		}
	}

	return undefined;
}

/**
 * Returns a description of the first route whose target service doesn't exist. A
 * route that arrives out of order, after a newer version, may name a service that
 * was dropped since. Routes outside of the change are checked only if it drops a
 * service.
 */
function targetProblem(changed: Items, changes: readonly ItemChange[]): string | undefined {
	const changedRoutes = changes.flatMap(change => change.kind === 'route' && change.item.value !== undefined ? [[change.name, change.item.value] as const] : []);
	const inForce = changedRoutes.filter(([name, route]) => changed.route[name]?.value === route);
	const dropsService = changes.some(({kind, item}) => kind === 'service' && item.value === undefined);
	return missingServiceProblem(dropsService ? definedItems(changed.route) : inForce, service => changed.service[service]?.value !== undefined)
		?? missingServiceProblem(changedRoutes, service => changed.service[service] !== undefined);
}

function firstProblem(items: Items, changed: Items, changes: readonly ItemChange[]): Failure | undefined {
	const invalid = changes.map(change => nameProblem(change) ?? (change.kind === 'route' ? routeProblem(change) : undefined)).find(problem => problem !== undefined)
		?? targetProblem(changed, changes);
	if (invalid !== undefined) {
		return failure(FailureKind.settingsInvalid, invalid);
	}

	const conflict = changes.map(change => conflictProblem(items, change)).find(problem => problem !== undefined);
	return conflict === undefined ? undefined : failure(FailureKind.conflict, conflict);
}

/** Whether a change is valid and has no effect, because it was applied before or newer versions exist. */
export function isNoOp(items: Items, changes: readonly ItemChange[]): boolean {
	return changeItems(items, changes).map(changed => changed === items).unwrapOr(false);
}

/**
 * Returns the items after a change. Items of lower or equal versions have no
 * effect, so a change may be applied again. Fails with `settingsInvalid`, and with
 * `conflict` if a version already exists with different content.
 */
export function changeItems(items: Items, changes: readonly ItemChange[]): Result<Items, Failure> {
	const changed = setItems(items, changes);
	const problem = firstProblem(items, changed, changes);
	return problem === undefined ? ok(changed) : err(problem);
}
