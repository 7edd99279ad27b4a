/**
 * Takes a change of items in: for each name the highest version stands, and a
 * change that is not valid changes nothing at all.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {isSafeRecordKey} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {
	type Item, type ItemChange, type ItemKind, type Items, type Route, standing,
} from './item.js';

/** A route may keep a caller waiting this long at most, in milliseconds. */
export const longestTimeoutMilliseconds = 600_000;

/** A route's objective stays this far below its timeout plus this, in milliseconds. */
export const objectiveSlackMilliseconds = 60_000;

function routeProblem({name, item}: Extract<ItemChange, {readonly kind: 'route'}>): string | undefined {
	const route = item.value;
	if (route === undefined) {
		return undefined;
	}

	const checks: ReadonlyArray<readonly [boolean, string]> = [
		[!route.pathPrefix.startsWith('/'), 'the path prefix does not begin with a slash'],
		[!(route.timeoutMilliseconds > 0 && route.timeoutMilliseconds <= longestTimeoutMilliseconds), 'the timeout is not above 0 and at most ten minutes'],
		[route.objectiveMilliseconds >= route.timeoutMilliseconds + objectiveSlackMilliseconds, 'the objective is a minute or more above the timeout'],
		[!(route.targets.reduce((sum, {weight}) => sum + weight, 0) > 0), 'the weights add up to 0'],
		[route.targets.some(({weight}) => weight < 0), 'a weight is below 0'],
	];
	const problem = checks.find(([applies]) => applies)?.[1];
	return problem === undefined ? undefined : `route ${name}: ${problem}`;
}

function nameProblem({name}: ItemChange): string | undefined {
	return isSafeRecordKey(name) && name !== '' ? undefined : `the name ${JSON.stringify(name)} can't be used`;
}

function sameItem(one: Item<unknown>, other: Item<unknown>): boolean {
	return one.document === other.document && (one.value === undefined) === (other.value === undefined);
}

function held(items: Items, {kind, name}: ItemChange): Item<unknown> | undefined {
	const known: Readonly<Record<string, Item<unknown>>> = items[kind];
	return known[name];
}

function conflictProblem(items: Items, change: ItemChange): string | undefined {
	const known = held(items, change);
	return known?.version === change.item.version && !sameItem(known, change.item)
		? `${change.kind} ${change.name}: version ${known.version} stands with other content`
		: undefined;
}

/** Copies the items of each kind that changes once: a change may bring thousands. */
function setItems(items: Items, changes: readonly ItemChange[]): Items {
	const copies: Partial<Record<ItemKind, Record<string, Item<unknown>>>> = {};
	for (const {kind, name, item} of changes) {
		const known = (copies[kind] ?? items[kind])[name];
		if (known === undefined || known.version < item.version) {
			copies[kind] ??= {...items[kind]};
			copies[kind][name] = item;
		}
	}

	return Object.keys(copies).length === 0 ? items : {...items, ...copies as Partial<Items>};
}

function unknownService(targets: ReadonlyArray<readonly [string, Route]>, isKnown: (service: string) => boolean): string | undefined {
	for (const [name, route] of targets) {
		const unknown = route.targets.find(({service}) => !isKnown(service));
		if (unknown !== undefined) {
			return `route ${name}: there is no service ${unknown.service}`;
		}
	}

	return undefined;
}

/** A route that an overtaken change names again may go to a service that was dropped since. Routes that are not named lose a service only where one is dropped. */
function unknownTarget(changed: Items, changes: readonly ItemChange[]): string | undefined {
	const sent = changes.flatMap(change => change.kind === 'route' && change.item.value !== undefined ? [[change.name, change.item.value] as const] : []);
	const inForce = sent.filter(([name, route]) => changed.route[name]?.value === route);
	const drops = changes.some(({kind, item}) => kind === 'service' && item.value === undefined);
	return unknownService(drops ? standing(changed.route) : inForce, service => changed.service[service]?.value !== undefined)
		?? unknownService(sent, service => changed.service[service] !== undefined);
}

function firstProblem(items: Items, changed: Items, changes: readonly ItemChange[]): Failure | undefined {
	const invalid = changes.map(change => nameProblem(change) ?? (change.kind === 'route' ? routeProblem(change) : undefined)).find(problem => problem !== undefined)
		?? unknownTarget(changed, changes);
	if (invalid !== undefined) {
		return failure(FailureKind.settingsInvalid, invalid);
	}

	const conflict = changes.map(change => conflictProblem(items, change)).find(problem => problem !== undefined);
	return conflict === undefined ? undefined : failure(FailureKind.conflict, conflict);
}

/** Whether a change is valid and changes nothing, as it was taken before or was overtaken. */
export function isNoOp(items: Items, changes: readonly ItemChange[]): boolean {
	return changeItems(items, changes).map(changed => changed === items).unwrapOr(false);
}

/**
 * The items after a change. Items of lower or equal versions change nothing, and
 * a change that was taken before is taken again. Fails with `settingsInvalid`,
 * and with `conflict` where a version stands with other content.
 */
export function changeItems(items: Items, changes: readonly ItemChange[]): Result<Items, Failure> {
	const changed = setItems(items, changes);
	const problem = firstProblem(items, changed, changes);
	return problem === undefined ? ok(changed) : err(problem);
}
